//! Seeded fault injection for datagrams: loss, delay, reordering, duplication and corruption.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

/// Fault configuration for one direction; probabilities are between 0 and 1.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Probability that a datagram is lost.
    pub drop: f64,
    /// Fixed delay of each datagram, in milliseconds.
    pub delay_ms: u64,
    /// Maximum additional random delay, in milliseconds; reorders datagrams.
    pub reorder_ms: u64,
    /// Probability that a datagram is delivered twice.
    pub duplicate: f64,
    /// Probability that one byte of a datagram is changed.
    pub corrupt: f64,
}

/// Draws the faults of each datagram from a seeded random number generator.
#[derive(Clone, Debug)]
pub struct Injector {
    faults: Faults,
    rng: SmallRng,
}

impl Injector {
    /// Creates an injector without faults.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            faults: Faults::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the fault configuration and, if a seed is given, reseeds the generator.
    pub fn set(&mut self, faults: Faults, seed: Option<u64>) {
        self.faults = faults;
        if let Some(seed) = seed {
            self.rng = SmallRng::seed_from_u64(seed);
        }
    }

    /// Returns the current fault configuration.
    #[must_use]
    pub const fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Returns the delay of each copy of the next datagram; empty if the datagram is lost.
    pub fn copy_delays(&mut self) -> Vec<Duration> {
        if self.occurs(self.faults.drop) {
            return Vec::new();
        }
        let copies = 1 + usize::from(self.occurs(self.faults.duplicate));
        (0..copies).map(|_copy| self.delay()).collect()
    }

    /// Changes one random byte of the datagram with the configured probability.
    pub fn corrupt(&mut self, datagram: &mut [u8]) {
        if !datagram.is_empty() && self.occurs(self.faults.corrupt) {
            let index = self.rng.random_range(0..datagram.len());
            datagram[index] ^= self.rng.random_range(1..=u8::MAX);
        }
    }

    fn delay(&mut self) -> Duration {
        let extra = if self.faults.reorder_ms == 0 {
            0
        } else {
            self.rng.random_range(0..=self.faults.reorder_ms)
        };
        Duration::from_millis(self.faults.delay_ms.saturating_add(extra))
    }

    fn occurs(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random::<f64>() < probability
    }
}
