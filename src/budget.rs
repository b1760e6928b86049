//! A budget that ties retries to successes, and the waits between them.
//!
//! The bucket gains a part of a token with each success and a little over
//! time; each retry takes one. When an upstream fails, successes stop and so do
//! the retries. There is no circuit breaker: an upstream is reached over
//! loopback, where a refused connection costs less than a probe would save.

use rand::Rng;

use crate::clock;

/// Part of a retry that each success pays for.
const RATIO: f64 = 0.1;

/// Retries per second that need no success.
const AMBIENT_PER_SECOND: f64 = 1.0;

/// The most retries that can be saved up.
const MAX_TOKENS: f64 = 10.0;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Retries that one agent may make.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
    filled: clock::Millis,
    is_limited: bool,
}

impl Budget {
    /// A budget that starts with one second of the ambient rate.
    #[must_use]
    pub const fn new(now: clock::Millis) -> Self {
        Self {
            tokens: AMBIENT_PER_SECOND,
            filled: now,
            is_limited: true,
        }
    }

    /// A budget that allows each retry, for comparison.
    #[must_use]
    pub const fn unlimited() -> Self {
        Self {
            tokens: 0.0,
            filled: clock::Millis(0),
            is_limited: false,
        }
    }

    /// Counts a request that was answered.
    pub fn succeed(&mut self) {
        self.tokens = (self.tokens + RATIO).min(MAX_TOKENS);
    }

    /// Takes a token for a retry; false where none is left.
    pub fn try_retry(&mut self, now: clock::Millis) -> bool {
        self.fill(now);
        if !self.is_limited {
            return true;
        }
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    #[expect(clippy::cast_precision_loss, reason = "spans are small")]
    fn fill(&mut self, now: clock::Millis) {
        let seconds = now.since(self.filled).0 as f64 / MILLIS_PER_SECOND;
        self.tokens = (self.tokens + seconds * AMBIENT_PER_SECOND).min(MAX_TOKENS);
        self.filled = self.filled.max(now);
    }
}

/// The next wait by decorrelated jitter: between `base` and three times the
/// wait before, at most `cap` (Brooker, "Exponential Backoff And Jitter", 2015).
pub fn jitter(
    previous: clock::Millis,
    base: clock::Millis,
    cap: clock::Millis,
    rng: &mut impl Rng,
) -> clock::Millis {
    let high = previous.0.saturating_mul(3).max(base.0);
    clock::Millis(rng.random_range(base.0..=high).min(cap.0))
}
