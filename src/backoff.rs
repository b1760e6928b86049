//! Waits between retries: decorrelated jitter with a budget
//! (Brooker, "Exponential backoff and jitter", 2015).

use rand::{Rng, SeedableRng, rngs};

use crate::clock;

/// Shortest wait.
pub const MIN_DELAY: clock::Millis = clock::Millis(20);

/// Longest wait.
pub const MAX_DELAY: clock::Millis = clock::Millis(1_000);

const GROWTH: u64 = 3;

/// Gives the waits of one run of retries.
#[derive(Clone, Debug)]
pub struct Backoff {
    rng: rngs::SmallRng,
    last: clock::Millis,
    left: u32,
}

impl Backoff {
    /// A run of at most `budget` retries.
    #[must_use]
    pub fn new(seed: u64, budget: u32) -> Self {
        Self {
            rng: rngs::SmallRng::seed_from_u64(seed),
            last: MIN_DELAY,
            left: budget,
        }
    }

    /// The wait before the next retry, none where the budget is spent.
    pub fn next_delay(&mut self) -> Option<clock::Millis> {
        self.left = self.left.checked_sub(1)?;
        let upper = self.last.0.saturating_mul(GROWTH).min(MAX_DELAY.0);
        self.last = clock::Millis(self.rng.random_range(MIN_DELAY.0..=upper));
        Some(self.last)
    }

    /// Starts again with short waits and a budget of `budget` retries.
    pub fn reset(&mut self, budget: u32) {
        self.last = MIN_DELAY;
        self.left = budget;
    }
}
