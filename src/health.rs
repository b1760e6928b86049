//! Passive health check of one upstream by the results of its requests.
//!
//! An upstream that fails fast always has free slots and would attract new
//! flows. While most of its requests fail, its agent forwards new flows to other
//! candidates, except for one probe flow per [`PROBE_PERIOD`], which detects
//! that the upstream has recovered.

use crate::clock;

/// Interval between probe flows to a failing upstream.
pub const PROBE_PERIOD: clock::Millis = clock::Millis(1_000);

/// Minimum number of results before an upstream can be marked failing.
const MIN_RESULTS: u32 = 16;

/// Smoothing factor of the failure rate, a moving average over the results.
const SMOOTHING: f64 = 0.1;

/// Failure rate above which an upstream is marked failing.
const FAILING_RATE: f64 = 0.5;

/// Failure rate at which a failing upstream is marked healthy again.
const HEALTHY_RATE: f64 = 0.2;

/// Failure rate and health state of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    results: u32,
    is_failing: bool,
    probed_at: clock::Millis,
}

impl Health {
    /// Records the result of a request; a missing response is a failure.
    pub fn record(&mut self, is_success: bool) {
        let failure = if is_success { 0.0 } else { 1.0 };
        self.failure_rate += SMOOTHING * (failure - self.failure_rate);
        self.results = self.results.saturating_add(1);
        self.is_failing = if self.is_failing {
            self.failure_rate > HEALTHY_RATE
        } else {
            self.results >= MIN_RESULTS && self.failure_rate > FAILING_RATE
        };
    }

    /// Returns whether the upstream is marked failing.
    #[must_use]
    pub const fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Returns whether a new flow may be accepted.
    ///
    /// The caller has to report an accepted flow with [`Health::record_probe`].
    #[must_use]
    pub fn allows_flow(&self, now: clock::Millis) -> bool {
        !self.is_failing || now.since(self.probed_at) >= PROBE_PERIOD
    }

    /// Records that a flow was accepted, which starts a new probe period.
    pub const fn record_probe(&mut self, now: clock::Millis) {
        self.probed_at = now;
    }
}
