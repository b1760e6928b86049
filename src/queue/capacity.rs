//! Capacity of an upstream, computed from the service times of its requests.

use super::{INITIAL_SERVICE_MS, MILLIS_PER_SECOND, to_f64};
use crate::{clock, member, moving_average::MovingAverage};

/// Smoothing factor of the average service time.
const GAIN: f64 = 0.01;

/// Minimum number of service time samples before a capacity is announced.
const MIN_SAMPLES: u32 = 16;

/// Difference that the capacity has to exceed before a new one is announced, in steps of
/// [`member::capacity_step`].
const STEP_HYSTERESIS: f64 = 2.0;

/// Minimum time between two changes of the announced capacity.
const MIN_STEP_INTERVAL: clock::Millis = clock::Millis(5_000);

/// Average service time of all classes, and the capacity that was announced last.
#[derive(Clone, Debug, Default)]
pub(super) struct Capacity {
    service: MovingAverage,
    /// Announced capacity, in steps of [`member::capacity_step`].
    step: u8,
    /// Time of the last change of the announced capacity.
    step_changed: Option<clock::Millis>,
}

impl Capacity {
    /// Records the service time of a request, in milliseconds.
    pub(super) fn record(&mut self, service: f64) {
        self.service.add(service, GAIN);
    }

    /// Returns the mean service time of all classes, in milliseconds.
    pub(super) fn mean_service(&self) -> f64 {
        self.service.mean_or(INITIAL_SERVICE_MS)
    }

    /// Returns the throughput of a number of slots in requests per second; `None` until
    /// enough samples were recorded.
    pub(super) fn per_second(&self, slots: usize) -> Option<f64> {
        (self.service.samples() >= MIN_SAMPLES)
            .then(|| to_f64(slots) * MILLIS_PER_SECOND / self.mean_service())
    }

    /// Returns the capacity to announce for a number of slots, in steps of
    /// [`member::capacity_step`].
    pub(super) fn step(&mut self, slots: usize, now: clock::Millis) -> u8 {
        let Some(capacity) = self.per_second(slots) else {
            return self.step;
        };
        let exact = capacity.max(1.0).log2() * member::STEPS_PER_DOUBLING;
        let is_moved = (exact - f64::from(self.step)).abs() > STEP_HYSTERESIS;
        let may_change = self
            .step_changed
            .is_none_or(|changed| now.since(changed) >= MIN_STEP_INTERVAL);
        if is_moved && may_change {
            self.step = member::capacity_step(capacity);
            self.step_changed = Some(now);
        }
        self.step
    }
}
