//! Exponential moving average of a sequence of samples, and of their deviation from it.

/// Mean and mean absolute deviation of the samples, in their unit.
#[derive(Clone, Copy, Debug, Default)]
pub struct MovingAverage {
    mean: f64,
    deviation: f64,
    samples: u32,
}

impl MovingAverage {
    /// Adds a sample with this weight; the first samples are averaged with equal weights.
    pub fn add(&mut self, sample: f64, gain: f64) {
        if self.samples == 0 {
            self.mean = sample;
        }
        let gain = gain.max(1.0 / f64::from(self.samples.saturating_add(1)));
        let error = sample - self.mean;
        self.mean += gain * error;
        self.deviation += gain * (error.abs() - self.deviation);
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the mean, or `initial` before the first sample.
    #[must_use]
    pub const fn mean_or(&self, initial: f64) -> f64 {
        if self.samples == 0 {
            initial
        } else {
            self.mean
        }
    }

    /// Returns the mean absolute deviation.
    #[must_use]
    pub const fn deviation(&self) -> f64 {
        self.deviation
    }

    /// Returns the number of samples.
    #[must_use]
    pub const fn samples(&self) -> u32 {
        self.samples
    }
}
