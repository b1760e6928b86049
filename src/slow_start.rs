//! Slow start: limits the new flows of an upstream while it warms up.
//!
//! All new flows of an upstream pass its agent, so a token bucket there bounds them for the
//! whole fleet. The bucket starts empty, so that a restart of the agent gives nothing.

use serde::Serialize;

use crate::clock::Millis;

/// Tolerance of the operator's limit on new flows per second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Tolerance {
    /// Factor by which the rate may be exceeded within one second.
    pub factor: f64,
    /// Number of flows by which it may be exceeded besides.
    pub flows: f64,
}

/// Share of the tolerance that is used for bursts. The rest covers flows that are delayed
/// between the agent and the upstream.
const BURST_SHARE: f64 = 0.5;

/// Limit on the new flows of one upstream.
#[derive(Clone, Debug, Serialize)]
pub struct SlowStart {
    tolerance: Option<Tolerance>,
    /// New flows per second while the upstream warms up, `None` for no limit.
    rate: Option<f64>,
    /// Time until which the upstream warms up.
    cold_until: Millis,
    tokens: f64,
    refilled: Millis,
}

impl SlowStart {
    /// Creates a limit without a rate. Without a tolerance nothing is ever limited.
    #[must_use]
    pub const fn new(tolerance: Option<Tolerance>) -> Self {
        Self {
            tolerance,
            rate: None,
            cold_until: Millis(0),
            tokens: 0.0,
            refilled: Millis(0),
        }
    }

    /// Sets the rate during the warm-up; one that is not positive is no limit.
    pub fn set_rate(&mut self, rate: Option<f64>) {
        self.rate = rate.filter(|rate| *rate > 0.0);
    }

    /// Sets the time until which the upstream warms up.
    pub fn set_cold_until(&mut self, until: Millis, now: Millis) {
        if self.cold_until < now && until > now {
            self.tokens = 0.0;
            self.refilled = now;
        }
        self.cold_until = until;
    }

    /// Returns whether the upstream is warming up under a limit.
    #[must_use]
    pub fn is_limited(&self, now: Millis) -> bool {
        self.limit(now).is_some()
    }

    /// Returns whether one more flow may be accepted.
    #[must_use]
    pub fn may_accept(&self, now: Millis) -> bool {
        self.limit(now)
            .is_none_or(|(rate, burst)| self.level(rate, burst, now) >= 1.0)
    }

    /// Records that a flow is accepted.
    pub fn record_accepted(&mut self, now: Millis) {
        if let Some((rate, burst)) = self.limit(now) {
            self.tokens = self.level(rate, burst, now) - 1.0;
            self.refilled = now;
        }
    }

    /// Returns the rate and the size of the bucket, if the limit is in force.
    fn limit(&self, now: Millis) -> Option<(f64, f64)> {
        let (tolerance, rate) = (self.tolerance?, self.rate?);
        let excess = rate * (tolerance.factor - 1.0).max(0.0) + tolerance.flows;
        let burst = (excess * BURST_SHARE).max(1.0);
        (now < self.cold_until).then_some((rate, burst))
    }

    fn level(&self, rate: f64, burst: f64, now: Millis) -> f64 {
        let elapsed = now.since(self.refilled).to_f64() / 1_000.0;
        (self.tokens + elapsed * rate).min(burst)
    }
}
