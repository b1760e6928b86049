//! Retry budget as a token bucket, and backoff with jitter.
//!
//! Each success adds a fraction of a token to the bucket, which also refills
//! slowly over time; each retry takes one token. If an upstream fails, there are
//! no successes, and retries stop. There is no circuit breaker: the agent
//! connects to its upstream over loopback, where a refused connection is so cheap
//! that a circuit breaker would save little.

use rand::Rng;

use crate::clock;

/// Cost of one retry, in thousandths of a token.
const RETRY_COST: u64 = 1_000;

/// Refill per successful request, in thousandths of a token.
const SUCCESS_REFILL: u64 = 100;

/// Refill per millisecond, in thousandths of a token.
const REFILL_PER_MS: u64 = 1;

/// Capacity of the bucket, in thousandths of a token.
const MAX_TOKENS: u64 = 10_000;

/// Token bucket that limits the retries of one agent.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: u64,
    refilled_at: clock::Millis,
    is_limited: bool,
}

impl Budget {
    /// Creates a budget that allows one retry at first.
    #[must_use]
    pub const fn new(now: clock::Millis) -> Self {
        Self {
            tokens: RETRY_COST,
            refilled_at: now,
            is_limited: true,
        }
    }

    /// Creates a budget that allows every retry, as a baseline for measurements and tests.
    #[must_use]
    pub const fn unlimited() -> Self {
        Self {
            tokens: 0,
            refilled_at: clock::Millis(0),
            is_limited: false,
        }
    }

    /// Adds the refill for a successful request.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + SUCCESS_REFILL).min(MAX_TOKENS);
    }

    /// Takes a token for a retry; returns false if none is left.
    pub fn try_retry(&mut self, now: clock::Millis) -> bool {
        self.refill(now);
        if !self.is_limited {
            return true;
        }
        if self.tokens < RETRY_COST {
            return false;
        }
        self.tokens -= RETRY_COST;
        true
    }

    fn refill(&mut self, now: clock::Millis) {
        let refill = now.since(self.refilled_at).0.saturating_mul(REFILL_PER_MS);
        self.tokens = self.tokens.saturating_add(refill).min(MAX_TOKENS);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Returns the next backoff with decorrelated jitter: a random time between `base` and
/// three times the previous backoff, limited to `cap` (Brooker, "Exponential Backoff And
/// Jitter", 2015).
pub fn decorrelated_jitter(
    previous: clock::Millis,
    base: clock::Millis,
    cap: clock::Millis,
    rng: &mut impl Rng,
) -> clock::Millis {
    let high = previous.0.saturating_mul(3).max(base.0);
    clock::Millis(rng.random_range(base.0..=high).min(cap.0))
}
