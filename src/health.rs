//! Whether an upstream answers rightly.
//!
//! An upstream that fails fast has free slots all the time and would draw new
//! flows to itself. While most of its answers are failures, its agent passes new
//! flows on, all but one in each [`PROBE_PERIOD`], so that it is noticed when the
//! upstream is right again.

use crate::clock;

/// Time between two flows that test a failing upstream.
pub const PROBE_PERIOD: clock::Millis = clock::Millis(1_000);

/// Answers before an upstream can count as failing.
const MIN_ANSWERS: u32 = 16;

/// Weight of one answer in the share of failures.
const GAIN: f64 = 0.1;

/// Share of failures at which an upstream counts as failing.
const FAILING: f64 = 0.5;

/// Share of failures at which it counts as right again.
const RIGHT: f64 = 0.2;

/// The recent answers of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: f64,
    answers: u32,
    is_failing: bool,
    probed: clock::Millis,
}

impl Health {
    /// Counts an answer, or the lack of one.
    pub fn record(&mut self, is_success: bool) {
        let failure = if is_success { 0.0 } else { 1.0 };
        self.failures += GAIN * (failure - self.failures);
        self.answers = self.answers.saturating_add(1);
        self.is_failing = if self.is_failing {
            self.failures > RIGHT
        } else {
            self.answers >= MIN_ANSWERS && self.failures > FAILING
        };
    }

    /// Whether most answers are failures.
    #[must_use]
    pub const fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Whether a new flow may be accepted; one that is accepted is to be told by [`Health::record_probe`].
    #[must_use]
    pub fn allows_flow(&self, now: clock::Millis) -> bool {
        !self.is_failing || now.since(self.probed) >= PROBE_PERIOD
    }

    /// Notes that a flow was accepted.
    pub const fn record_probe(&mut self, now: clock::Millis) {
        self.probed = now;
    }
}
