//! Exponential backoff with decorrelated jitter and a limited number of retries
//! (Brooker, "Exponential backoff and jitter", 2015).

use rand::{Rng, SeedableRng, rngs};

use crate::clock;

/// Minimum delay between retries.
pub const MIN_DELAY: clock::Millis = clock::Millis(20);

/// Maximum delay between retries.
pub const MAX_DELAY: clock::Millis = clock::Millis(1_000);

/// Upper bound of a delay, as a multiple of the delay before it.
const MULTIPLIER: u64 = 3;

/// Generates the delays between the retries of one operation.
#[derive(Clone, Debug)]
pub struct Backoff {
    rng: rngs::SmallRng,
    last_delay: clock::Millis,
    retries_left: u32,
}

impl Backoff {
    /// Creates a generator for at most `max_retries` retries; `seed` determines the jitter.
    #[must_use]
    pub fn new(seed: u64, max_retries: u32) -> Self {
        Self {
            rng: rngs::SmallRng::seed_from_u64(seed),
            last_delay: MIN_DELAY,
            retries_left: max_retries,
        }
    }

    /// Returns the delay before the next retry, or `None` if no retries are left.
    pub fn next_delay(&mut self) -> Option<clock::Millis> {
        self.retries_left = self.retries_left.checked_sub(1)?;
        let upper = self
            .last_delay
            .0
            .saturating_mul(MULTIPLIER)
            .min(MAX_DELAY.0);
        self.last_delay = clock::Millis(self.rng.random_range(MIN_DELAY.0..=upper));
        Some(self.last_delay)
    }

    /// Resets the delay to the minimum and allows `max_retries` more retries.
    pub fn reset(&mut self, max_retries: u32) {
        self.last_delay = MIN_DELAY;
        self.retries_left = max_retries;
    }
}
