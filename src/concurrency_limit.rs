//! Adaptive concurrency limit of one upstream: how many requests it serves well at a time.
//!
//! An upstream may slow down long before its slots are full, and then more concurrency adds
//! latency and no throughput. The limit compares the service times of requests that started
//! at the limit with those that started at half of it: it falls by a quarter while twice the
//! concurrency does not bring clearly more throughput, and rises by one step at a time while it
//! does (additive increase, multiplicative decrease). Medians of the last seconds make it
//! indifferent to single long requests; a loss of speed at every concurrency changes nothing.

use serde::Serialize;

use crate::clock::Millis;

/// Age up to which a service time counts.
const WINDOW: Millis = Millis(3_000);

/// Maximum number of service times that are kept per window.
const MAX_SAMPLES: usize = 64;

/// Number of service times below which a window decides nothing.
const MIN_SAMPLES: usize = 12;

/// Ratio of the service times at the limit and at half of it from which more concurrency does
/// not bring clearly more throughput.
const DECREASE_RATIO: f64 = 1.8;

/// Ratio below which the upstream may take more.
const INCREASE_RATIO: f64 = 1.4;

/// Factor of a decrease.
const DECREASE_FACTOR: f64 = 0.75;

/// Minimum time between two changes.
const CHANGE_INTERVAL: Millis = Millis(1_000);

/// Time after which a limit that nothing speaks against is raised.
const PROBE_INTERVAL: Millis = Millis(5_000);

#[derive(Clone, Copy, Debug, Serialize)]
struct Sample {
    at: Millis,
    service_time: Millis,
}

/// Service times of the last seconds.
#[derive(Clone, Debug, Default, Serialize)]
struct Window {
    samples: Vec<Sample>,
}

/// Limit on the requests that an upstream serves at a time.
#[derive(Clone, Debug, Serialize)]
pub struct ConcurrencyLimit {
    limit: u32,
    /// Requests that started at the limit.
    high: Window,
    /// Requests that started at half of the limit or below.
    low: Window,
    changed: Millis,
}

impl Window {
    fn add(&mut self, sample: Sample) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.remove(0);
        }
        self.samples.push(sample);
    }

    /// Returns the median of the last seconds, if there are enough samples.
    fn median(&self, now: Millis) -> Option<f64> {
        let recent = self.samples.iter().filter(|s| now.since(s.at) < WINDOW);
        let mut times: Vec<_> = recent.map(|sample| sample.service_time).collect();
        if times.len() < MIN_SAMPLES {
            return None;
        }
        times.sort_unstable();
        Some(times[times.len() / 2].to_f64().max(1.0))
    }
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at the number of slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            limit: slots,
            high: Window::default(),
            low: Window::default(),
            changed: Millis(0),
        }
    }

    /// Returns the number of requests that the upstream serves well at a time.
    #[must_use]
    pub const fn limit(&self) -> u32 {
        self.limit
    }

    /// Records the service time of a request that started while `running` requests, itself
    /// included, were running, and adapts the limit. Returns whether it has changed.
    pub fn record(&mut self, running: u32, service_time: Millis, slots: u32, now: Millis) -> bool {
        let sample = Sample {
            at: now,
            service_time,
        };
        if running >= self.limit {
            self.high.add(sample);
        } else if running <= (self.limit / 2).max(1) {
            self.low.add(sample);
        }
        let next = self.next_limit(now).clamp(1, slots.max(1));
        if next == self.limit || now.since(self.changed) < CHANGE_INTERVAL {
            return false;
        }
        self.limit = next;
        self.changed = now;
        self.high = Window::default();
        self.low = Window::default();
        true
    }

    fn next_limit(&self, now: Millis) -> u32 {
        let ratio = self
            .high
            .median(now)
            .zip(self.low.median(now))
            .map(|(high, low)| high / low);
        match ratio {
            Some(ratio) if ratio >= DECREASE_RATIO => self.decreased(),
            Some(ratio) if ratio >= INCREASE_RATIO => self.limit,
            Some(_) => self.limit + 1,
            None if now.since(self.changed) >= PROBE_INTERVAL => self.limit + 1,
            None => self.limit,
        }
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the product is positive and less than the limit"
    )]
    fn decreased(&self) -> u32 {
        (f64::from(self.limit) * DECREASE_FACTOR) as u32
    }
}
