//! Seeded faults on the way of a datagram.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

/// What happens to datagrams of one direction; shares are between 0 and 1.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Share that is lost.
    pub drop: f64,
    /// Delay of each, in milliseconds.
    pub delay_ms: u64,
    /// Longest random delay on top, in milliseconds, which reorders.
    pub reorder_ms: u64,
    /// Share that arrives twice.
    pub duplicate: f64,
    /// Share in which one byte is changed.
    pub corrupt: f64,
}

/// Decides what happens to each datagram.
#[derive(Clone, Debug)]
pub struct Injector {
    faults: Faults,
    rng: SmallRng,
}

impl Injector {
    /// An injector without faults.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            faults: Faults::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the faults, and the generator where there is a seed.
    pub fn set(&mut self, faults: Faults, seed: Option<u64>) {
        self.faults = faults;
        if let Some(seed) = seed {
            self.rng = SmallRng::seed_from_u64(seed);
        }
    }

    /// The faults in force.
    #[must_use]
    pub const fn faults(&self) -> &Faults {
        &self.faults
    }

    /// The delay of each copy of the next datagram; none where it is lost.
    pub fn copy_delays(&mut self) -> Vec<Duration> {
        if self.happens(self.faults.drop) {
            return Vec::new();
        }
        let copies = 1 + usize::from(self.happens(self.faults.duplicate));
        (0..copies).map(|_copy| self.delay()).collect()
    }

    /// Changes one byte of the datagram, if that is its lot.
    pub fn corrupt(&mut self, datagram: &mut [u8]) {
        if !datagram.is_empty() && self.happens(self.faults.corrupt) {
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

    fn happens(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random::<f64>() < share
    }
}
