//! Queued requests, service times and slot usage of one class.

use std::collections::VecDeque;

use super::{DECAY_MS, INITIAL_SERVICE_MS, Ticket};
use crate::{clock, moving_average::MovingAverage};

/// Smoothing factor of the average service time.
const GAIN: f64 = 0.1;

/// Safety margin above the mean service time, in mean absolute deviations.
const SERVICE_DEVIATIONS: f64 = 2.0;

/// Age from which the service time estimate is stale.
///
/// A stale estimate does not refuse the first request of the queue: this request runs as a
/// probe and renews the estimate.
const MAX_ESTIMATE_AGE: clock::Millis = clock::Millis(1_000);

/// Maximum credit of a class, in mean service times.
const MAX_CREDIT: f64 = 2.0;

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    pub(super) deadline: clock::Millis,
}

/// Queue and statistics of one class.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassQueue {
    pub(super) waiting: VecDeque<Waiting>,
    /// Number of requests that hold a slot.
    pub(super) running: usize,
    service: MovingAverage,
    /// Time of the last sample of the estimate, or of the last probe if that was later.
    estimated_at: clock::Millis,
    /// Slot time owed to the class by its guaranteed share, in milliseconds.
    credit: f64,
    /// Slot time used by the class, in milliseconds, with exponential decay.
    used: f64,
    /// Number of submitted requests, with exponential decay.
    arrived: f64,
}

impl ClassQueue {
    /// Counts a submitted request.
    pub(super) fn record_arrival(&mut self) {
        self.arrived += 1.0;
    }

    /// Records the service time of a request, in milliseconds.
    pub(super) fn record_service(&mut self, service: f64, now: clock::Millis) {
        self.service.add(service, GAIN);
        self.estimated_at = now;
    }

    /// Releases the slot of a request that held it for a time.
    pub(super) fn release(&mut self, held: clock::Millis) {
        self.used += held.to_f64();
        self.running = self.running.saturating_sub(1);
    }

    /// Removes a queued request; returns false if it is not queued here.
    pub(super) fn cancel(&mut self, ticket: Ticket) -> bool {
        let position = self.waiting.iter().position(|w| w.ticket == ticket);
        position.is_some_and(|position| self.waiting.remove(position).is_some())
    }

    /// Returns the mean service time, in milliseconds.
    pub(super) fn mean_service(&self) -> f64 {
        self.service.mean_or(INITIAL_SERVICE_MS)
    }

    /// Returns a service time that few requests exceed, in milliseconds.
    pub(super) fn service_bound(&self) -> f64 {
        self.mean_service() + SERVICE_DEVIATIONS * self.service.deviation()
    }

    /// Returns whether the service time estimate is stale.
    pub(super) fn is_stale(&self, now: clock::Millis) -> bool {
        now.since(self.estimated_at) >= MAX_ESTIMATE_AGE
    }

    /// Returns whether a queued request is expected to finish before its deadline.
    ///
    /// If the estimate is stale, the request may start as a probe. At most one probe per
    /// [`MAX_ESTIMATE_AGE`] starts, until a probe has renewed the estimate.
    pub(super) fn can_finish(&mut self, deadline: clock::Millis, now: clock::Millis) -> bool {
        if self.service_bound() <= deadline.since(now).to_f64() {
            return true;
        }
        let is_probe = deadline > now && self.is_stale(now);
        if is_probe {
            self.estimated_at = now;
        }
        is_probe
    }

    /// Returns the mean number of slots that the arrivals need.
    pub(super) fn demand(&self) -> f64 {
        self.arrived * self.mean_service() / DECAY_MS
    }

    /// Returns the slot time used, in milliseconds, with exponential decay.
    pub(super) const fn used(&self) -> f64 {
        self.used
    }

    /// Returns whether the class is owed the slot time of a request.
    pub(super) fn is_owed(&self) -> bool {
        self.credit >= self.mean_service()
    }

    /// Adds slot time, in milliseconds, to the credit of a class with queued requests.
    pub(super) fn add_credit(&mut self, slot_time: f64) {
        if self.waiting.is_empty() {
            self.credit = 0.0;
        } else {
            let max = MAX_CREDIT * self.mean_service();
            self.credit = (self.credit + slot_time).min(max);
        }
    }

    /// Subtracts the service time of a request that starts from the credit.
    pub(super) fn spend_credit(&mut self) {
        self.credit = (self.credit - self.mean_service()).max(0.0);
    }

    /// Applies exponential decay to the usage statistics.
    pub(super) fn decay(&mut self, factor: f64) {
        self.used *= factor;
        self.arrived *= factor;
    }
}
