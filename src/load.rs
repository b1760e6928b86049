//! Load and capacity estimate of one upstream, measured from the packets that pass its
//! agent.
//!
//! The service time of a request runs from its last data to the first data of the answer.

use crate::{
    clock::Millis, concurrency_limit::ConcurrencyLimit, member, moving_average::MovingAverage,
};

/// Weight of a new sample in the moving average of the service time, from which waits are
/// estimated.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Multiple of the average service time at which a sample is cut: one request of a heavy tail
/// does not make an idle upstream look slow.
const MAX_SAMPLE_FACTOR: f64 = 3.0;

/// Weight of a new sample in the moving average from which the capacity is reported. It is
/// small, because each change of a reported capacity goes to all nodes and moves flows, and
/// service times differ from request to request.
const CAPACITY_SMOOTHING_FACTOR: f64 = 0.01;

/// Number of samples before which the average does not change the reported capacity.
const MIN_SAMPLES: u32 = 20;

/// Initial value of the average service time, in milliseconds.
const INITIAL_MEAN_MS: f64 = 80.0;

/// Requests per second that correspond to capacity step 0. Chosen so that slow and fast
/// upstreams lie within the range of steps.
const UNIT_RATE: f64 = 1.0;

/// Difference in steps between measured and reported capacity at which the reported one
/// is updated.
const HYSTERESIS_STEPS: u8 = 4;

/// Number of slots for each of which one more flow, besides the first, is accepted ahead.
const LOOKAHEAD_SLOTS: u32 = 4;

/// Load of one upstream.
#[derive(Clone, Debug)]
pub struct Load {
    slots: u32,
    busy: u32,
    mean_ms: f64,
    /// Slower average of the service time, in milliseconds.
    capacity: MovingAverage,
    reported_step: u8,
    /// Measured limit on the concurrency, if it is in use.
    limit: Option<ConcurrencyLimit>,
}

impl Load {
    /// Creates the load of an idle upstream with this number of request slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        let mut load = Self {
            slots: slots.max(1),
            busy: 0,
            mean_ms: INITIAL_MEAN_MS,
            capacity: MovingAverage::default(),
            reported_step: 0,
            limit: None,
        };
        load.reported_step = load.measured_step();
        load
    }

    /// Creates the load of another run of the upstream, with the same slots and settings.
    #[must_use]
    pub fn restarted(&self) -> Self {
        let mut load = Self::new(self.slots);
        load.set_adaptive(self.limit.is_some());
        load
    }

    /// Sets whether the concurrency is limited by what the upstream is seen to take well.
    pub fn set_adaptive(&mut self, adaptive: bool) {
        self.limit = adaptive.then(|| ConcurrencyLimit::new(self.slots));
    }

    /// Sets the number of slots that the upstream reports.
    pub fn set_slots(&mut self, slots: u32) {
        if self.slots != slots.max(1) {
            self.slots = slots.max(1);
            self.set_adaptive(self.limit.is_some());
            self.reported_step = self.measured_step();
        }
    }

    /// Records the start of a request. Returns whether a slot was free for it.
    pub const fn begin(&mut self) -> bool {
        self.busy += 1;
        self.busy <= self.slots
    }

    /// Records a request that ended without an answer.
    pub const fn cancel(&mut self) {
        self.busy = self.busy.saturating_sub(1);
    }

    /// Records an answered request. `service_time` is `None` if the request had to wait
    /// for a slot, so that queueing does not count as service time.
    pub fn complete(&mut self, service_time: Option<Millis>) {
        self.cancel();
        let Some(service_time) = service_time else {
            return;
        };
        let sample = service_time.to_f64();
        let bounded = sample.min(self.mean_ms * MAX_SAMPLE_FACTOR);
        self.mean_ms += (bounded - self.mean_ms) * SMOOTHING_FACTOR;
        self.capacity.add(sample, CAPACITY_SMOOTHING_FACTOR);
    }

    /// Adapts the limit to the service time of a request that started while `running` requests
    /// were running.
    pub fn adapt(&mut self, running: u32, service_time: Millis, now: Millis) {
        let slots = self.slots;
        if let Some(limit) = self.limit.as_mut().filter(|_| running <= slots) {
            limit.record(running, service_time, slots, now);
        }
    }

    /// Returns the number of requests that the upstream is to serve at a time: its slots, or
    /// fewer if it does not take that many well.
    #[must_use]
    pub fn limit(&self) -> u32 {
        let limit = self.limit.as_ref().map(ConcurrencyLimit::limit);
        limit.unwrap_or(self.slots).min(self.slots)
    }

    /// Returns the number of outstanding requests.
    #[must_use]
    pub const fn busy(&self) -> u32 {
        self.busy
    }

    /// Returns the number of requests that the upstream serves at a time.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the moving average of the service time.
    #[must_use]
    pub fn mean_time(&self) -> Millis {
        Millis::from_f64(self.mean_ms)
    }

    /// Returns whether a slot is free for one more request, if `expected` others are
    /// about to start.
    #[must_use]
    pub fn has_free_slot(&self, expected: u32) -> bool {
        self.busy + expected < self.limit()
    }

    /// Returns whether one more waiting flow is accepted, if `expected` others are about to
    /// start. A few more than there are slots keep the slots busy during the handshakes.
    #[must_use]
    pub fn has_lookahead(&self, expected: u32) -> bool {
        let limit = self.limit();
        self.busy + expected < limit + 1 + limit / LOOKAHEAD_SLOTS
    }

    /// Returns the expected latency of one more request, if `expected` others are about to
    /// start: its wait for a slot and its service time.
    #[must_use]
    pub fn expected_wait(&self, expected: u32) -> Millis {
        let limit = self.limit();
        let ahead = (self.busy + expected + 1).saturating_sub(limit);
        Millis::from_f64(self.mean_ms * (1.0 + f64::from(ahead) / f64::from(limit)))
    }

    /// Returns the capacity to report, in steps of [`member::capacity`].
    pub fn capacity_step(&mut self) -> u8 {
        let measured = self.measured_step();
        if self.capacity.samples() >= MIN_SAMPLES
            && measured.abs_diff(self.reported_step) >= HYSTERESIS_STEPS
        {
            self.reported_step = measured;
        }
        self.reported_step
    }

    fn measured_step(&self) -> u8 {
        let service_time = self.capacity.mean_or(INITIAL_MEAN_MS).max(1.0);
        member::capacity_step(f64::from(self.slots) * 1_000.0 / service_time / UNIT_RATE)
    }
}
