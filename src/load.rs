//! How busy one upstream is, seen from the packets that pass its agent.
//!
//! A request counts from its first data until the first data of the answer.

use crate::{clock::Millis, member};

/// Share of a new sample in the mean time of service.
const SAMPLE: f64 = 0.1;

/// Samples before the mean says anything of the upstream's speed.
const MIN_SAMPLES: u32 = 20;

/// Time of service that is assumed until there are samples, in milliseconds.
const ASSUMED: f64 = 80.0;

/// Slots a second that give step 0, so that slow and fast upstreams lie inside the range.
const UNIT: f64 = 1.0;

/// Steps by which the measured capacity must differ before another one is stated.
const HYSTERESIS: u8 = 4;

/// The load of one upstream.
#[derive(Clone, Debug)]
pub struct Load {
    slots: u32,
    busy: u32,
    samples: u32,
    mean: f64,
    step: u8,
}

impl Load {
    /// An idle upstream with a number of slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        let mut load = Self {
            slots: slots.max(1),
            busy: 0,
            samples: 0,
            mean: ASSUMED,
            step: 0,
        };
        load.step = load.measured();
        load
    }

    /// Takes the number of slots that the upstream states.
    pub fn set_slots(&mut self, slots: u32) {
        if self.slots != slots.max(1) {
            self.slots = slots.max(1);
            self.step = self.measured();
        }
    }

    /// Notes a request that begins; gives whether a slot was free for it.
    pub const fn begin(&mut self) -> bool {
        self.busy += 1;
        self.busy <= self.slots
    }

    /// Notes a request that ends without an answer.
    pub const fn cancel(&mut self) {
        self.busy = self.busy.saturating_sub(1);
    }

    /// Notes an answer; `took` is its time of service, where it did not wait for a slot.
    pub fn complete(&mut self, took: Option<Millis>) {
        self.cancel();
        let Some(took) = took else {
            return;
        };
        self.samples = self.samples.saturating_add(1);
        self.mean += (millis(took) - self.mean) * SAMPLE;
    }

    /// Requests in hand.
    #[must_use]
    pub const fn busy(&self) -> u32 {
        self.busy
    }

    /// The upstream's slots.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Mean time of service.
    #[must_use]
    pub fn mean_time(&self) -> Millis {
        whole(self.mean)
    }

    /// Whether one more request, besides `expected` ones, finds a free slot.
    #[must_use]
    pub const fn has_free_slot(&self, expected: u32) -> bool {
        self.busy + expected < self.slots
    }

    /// Time until one more request, besides `expected` ones, finds a free slot and is served.
    #[must_use]
    pub fn expected_wait(&self, expected: u32) -> Millis {
        let ahead = (self.busy + expected + 1).saturating_sub(self.slots);
        whole(self.mean * (1.0 + f64::from(ahead) / f64::from(self.slots)))
    }

    /// The capacity to state, in steps of [`member::capacity`].
    pub fn capacity_step(&mut self) -> u8 {
        let measured = self.measured();
        if self.samples >= MIN_SAMPLES && measured.abs_diff(self.step) >= HYSTERESIS {
            self.step = measured;
        }
        self.step
    }

    fn measured(&self) -> u8 {
        member::capacity_step(f64::from(self.slots) * 1_000.0 / self.mean.max(1.0) / UNIT)
    }
}

#[expect(clippy::cast_precision_loss, reason = "spans are short")]
const fn millis(span: Millis) -> f64 {
    span.0 as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "spans are short and positive"
)]
const fn whole(span: f64) -> Millis {
    Millis(span as u64)
}
