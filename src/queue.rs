//! Priority queue for the slots of one upstream.
//!
//! A slot is one unit of the upstream's request concurrency. Each submitted
//! request starts, is queued or is refused.
//!
//! Classes have strict priority, and each lower class has a small guaranteed
//! share of the slot time. A request that cannot finish before its deadline is
//! refused on arrival. The deadline is checked again when the request is
//! dequeued, so that slots are spent only on responses that arrive in time.
//!
//! Within a class the earliest deadline goes first. Refusal by expected wait
//! limits the queue to requests that can finish in time, which avoids the late
//! responses of a long FIFO queue. LIFO order would then only add refusals of
//! requests that have already waited. If a queue is full, the newest request is
//! refused, because its caller has waited the least.
//!
//! A feed, which is a long-lived streaming response, holds a connection but no
//! slot.

mod capacity;
mod class;
mod policy;

use std::time::Duration;

use crate::{clock, record};

pub use self::policy::Policy;

/// Number of priority classes.
pub const CLASSES: usize = 3;

/// Maximum number of queued requests per class.
pub const MAX_WAITING: usize = 256;

/// Guaranteed shares of the slot time by class; the highest class needs none because it
/// has strict priority.
const SHARES: [f64; CLASSES] = [0.0, 0.10, 0.05];

/// Service time that is assumed for a class before the first measurement, in milliseconds.
const INITIAL_SERVICE_MS: f64 = 20.0;

/// Time constant of the exponential decay of arrival counts and slot usage, in milliseconds.
const DECAY_MS: f64 = 5_000.0;

/// Minimum fraction of the slots that the wait estimate assumes for a class.
const MIN_SLOT_FRACTION: f64 = 0.01;

/// A class has to leave slots to a higher class if its mean service time exceeds the
/// higher one's by this factor.
const LONG_SERVICE_FACTOR: f64 = 4.0;

/// Slots to reserve beyond the mean demand of the higher classes, in standard deviations:
/// the standard deviation of a Poisson variable is the square root of its mean.
const RESERVE_DEVIATIONS: f64 = 1.0;

/// Minimum demand of the higher classes, in slots, for which slots are reserved.
const MIN_DEMAND: f64 = 0.001;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Concurrency limits of one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of concurrent requests.
    pub slots: usize,
    /// Maximum number of open connections.
    pub connections: usize,
}

/// Identifier of a queued request; requests that were queued later compare greater.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Reason why a request was refused before it ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The queue of its class is full.
    Full,
    /// It cannot finish before its deadline.
    Late,
    /// All connections that feeds may use are in use.
    Connections,
}

impl Refusal {
    /// Returns the name used in metrics and logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Late => "late",
            Self::Connections => "connections",
        }
    }
}

/// Result of submitting a request to the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request holds a slot and starts.
    Start,
    /// The request is queued until [`Queue::dequeue`] returns its ticket.
    Wait(Ticket),
    /// The request must not run.
    Refuse(Refusal),
}

/// A request that left the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Dequeued {
    /// The request holds a slot and starts.
    Start(Ticket),
    /// The request must not run.
    Refuse(Ticket, Refusal),
}

/// Slots of one upstream and the requests queued for them.
#[derive(Clone, Debug)]
pub struct Queue {
    limits: Limits,
    policy: Policy,
    classes: [class::ClassQueue; CLASSES],
    feeds: usize,
    next_ticket: u64,
    capacity: capacity::Capacity,
    /// Time up to which the exponential decay was applied.
    decayed_at: clock::Millis,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(limits: Limits, policy: Policy) -> Self {
        Self {
            limits,
            policy,
            classes: Default::default(),
            feeds: 0,
            next_ticket: 0,
            capacity: capacity::Capacity::default(),
            decayed_at: clock::Millis(0),
        }
    }

    /// Returns the concurrency limits of the upstream.
    #[must_use]
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// Replaces the concurrency limits; running requests are not interrupted.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the number of requests that hold a slot.
    #[must_use]
    pub fn running(&self) -> usize {
        self.classes.iter().map(|queue| queue.running).sum()
    }

    /// Returns the number of requests that wait for a slot.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.classes.iter().map(|queue| queue.waiting.len()).sum()
    }

    /// Returns the number of feeds that hold a connection.
    #[must_use]
    pub const fn feeds(&self) -> usize {
        self.feeds
    }

    /// Returns whether a new flow should be accepted: a connection is available, and a
    /// slot is free that no queued request needs.
    #[must_use]
    pub fn has_free_slot(&self) -> bool {
        let connection = self.feeds + self.running() < self.limits.connections;
        connection && self.running() + self.waiting() < self.limits.slots
    }

    /// Submits a request whose response has to be complete by `deadline`.
    pub fn submit(
        &mut self,
        class: record::Class,
        deadline: clock::Millis,
        now: clock::Millis,
    ) -> Decision {
        self.decay(now);
        let index = self.index(class);
        self.classes[index].record_arrival();
        if self.classes[index].waiting.is_empty() && self.can_start(index) {
            if self.policy.deadlines && deadline <= now {
                return Decision::Refuse(Refusal::Late);
            }
            self.start(index);
            return Decision::Start;
        }
        if self.classes[index].waiting.len() >= MAX_WAITING {
            return Decision::Refuse(Refusal::Full);
        }
        let expected_time =
            self.expected_wait(index, deadline) + self.classes[index].service_bound();
        let queue = &self.classes[index];
        let is_probe = queue.waiting.is_empty() && queue.is_stale(now);
        if self.policy.deadlines && !is_probe && expected_time > deadline.since(now).to_f64() {
            return Decision::Refuse(Refusal::Late);
        }
        Decision::Wait(self.enqueue(index, deadline))
    }

    /// Removes the next request from the queue and gives it a free slot, or refuses it if
    /// it can no longer finish before its deadline.
    ///
    /// Returns `None` if no queued request may start. Call it until it returns `None`
    /// whenever a slot has become free.
    pub fn dequeue(&mut self, now: clock::Millis) -> Option<Dequeued> {
        self.decay(now);
        let index = self.select()?;
        let head = self.classes[index].waiting.pop_front()?;
        if self.policy.deadlines && !self.classes[index].can_finish(head.deadline, now) {
            return Some(Dequeued::Refuse(head.ticket, Refusal::Late));
        }
        self.update_credits(index);
        self.start(index);
        Some(Dequeued::Start(head.ticket))
    }

    /// Removes a queued request; returns false if it is no longer queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.classes.iter_mut().any(|queue| queue.cancel(ticket))
    }

    /// Releases the slot of a request and records its service time.
    pub fn complete(&mut self, class: record::Class, started: clock::Millis, now: clock::Millis) {
        let service = now.since(started).to_f64().max(0.5);
        let index = self.index(class);
        self.classes[index].record_service(service, now);
        self.capacity.record(service);
        self.release(class, started, now);
    }

    /// Releases the slot of a request without recording its service time, for example
    /// after a cancellation.
    pub fn release(&mut self, class: record::Class, started: clock::Millis, now: clock::Millis) {
        self.decay(now);
        let index = self.index(class);
        self.classes[index].release(now.since(started));
    }

    /// Reserves a connection for a feed.
    ///
    /// Fails if feeds already hold all connections that are not set aside for the slots.
    pub fn open_feed(&mut self) -> Result<(), Refusal> {
        if self.feeds + self.limits.slots >= self.limits.connections {
            return Err(Refusal::Connections);
        }
        self.feeds += 1;
        Ok(())
    }

    /// Releases the connection of a feed.
    pub const fn close_feed(&mut self) {
        self.feeds = self.feeds.saturating_sub(1);
    }

    /// Returns the throughput of all slots in requests per second, computed from the mean
    /// service time; `None` until enough samples were recorded.
    #[must_use]
    pub fn capacity(&self) -> Option<f64> {
        self.capacity.per_second(self.limits.slots)
    }

    /// Returns the capacity to announce, in steps of a logarithmic scale.
    ///
    /// Hysteresis and a minimum interval between changes keep the tables derived from
    /// the capacity stable.
    pub fn capacity_step(&mut self, now: clock::Millis) -> u8 {
        self.capacity.step(self.limits.slots, now)
    }

    /// Returns the latest time at which a queued request may start so that it finishes
    /// before `deadline`.
    ///
    /// Returns `deadline` itself if that time is already past or deadlines are disabled.
    #[must_use]
    pub fn latest_start(
        &self,
        class: record::Class,
        deadline: clock::Millis,
        now: clock::Millis,
    ) -> clock::Millis {
        let bound = self.classes[self.index(class)].service_bound();
        let service = Duration::from_secs_f64(bound / MILLIS_PER_SECOND);
        let latest = deadline - clock::from_duration(service);
        if self.policy.deadlines && latest > now {
            latest
        } else {
            deadline
        }
    }

    /// Returns the expected wait of a request for a slot, in milliseconds.
    #[must_use]
    pub fn estimated_wait(&self, class: record::Class, deadline: clock::Millis) -> f64 {
        self.expected_wait(self.index(class), deadline)
    }

    /// Returns the index of the queue that a class uses; index 0 has the highest priority.
    const fn index(&self, class: record::Class) -> usize {
        if self.policy.classes {
            class as usize
        } else {
            0
        }
    }

    fn start(&mut self, index: usize) {
        self.classes[index].running += 1;
    }

    fn enqueue(&mut self, index: usize, deadline: clock::Millis) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let position = self.position(index, deadline);
        let waiting = class::Waiting { ticket, deadline };
        self.classes[index].waiting.insert(position, waiting);
        ticket
    }

    /// Returns the position at which a new request is queued.
    fn position(&self, index: usize, deadline: clock::Millis) -> usize {
        let waiting = &self.classes[index].waiting;
        if self.policy.deadlines {
            waiting.partition_point(|w| w.deadline <= deadline)
        } else {
            waiting.len()
        }
    }

    /// Returns whether a slot is free for a request of a class.
    fn can_start(&self, index: usize) -> bool {
        let lower: usize = self.classes[index..]
            .iter()
            .map(|queue| queue.running)
            .sum();
        self.running() < self.limits.slots && lower < self.slot_limit(index)
    }

    /// Returns the number of slots that a class and the classes below it may hold.
    fn slot_limit(&self, index: usize) -> usize {
        let slots = self.limits.slots;
        if !self.policy.reserve || !self.has_long_service(index) {
            return slots;
        }
        let higher = &self.classes[..index];
        let demand: f64 = higher.iter().map(class::ClassQueue::demand).sum();
        let target = demand + RESERVE_DEVIATIONS * demand.sqrt();
        let reserved = (1..slots).find(|n| to_f64(*n) >= target);
        let is_reserved = demand >= MIN_DEMAND;
        if is_reserved {
            slots - reserved.unwrap_or(slots.saturating_sub(1))
        } else {
            slots
        }
    }

    /// Returns whether a class has a much longer service time than a higher class.
    fn has_long_service(&self, index: usize) -> bool {
        let service = self.classes[index].mean_service();
        let mut higher = self.classes[..index].iter();
        higher.any(|queue| service > LONG_SERVICE_FACTOR * queue.mean_service())
    }

    /// Returns the class that gets the next slot: the highest one that may start, unless a
    /// lower class is owed a slot by its guaranteed share.
    fn select(&self) -> Option<usize> {
        let ready =
            |index: &usize| !self.classes[*index].waiting.is_empty() && self.can_start(*index);
        let first = (0..CLASSES).find(ready)?;
        let entitled = (first + 1..CLASSES)
            .filter(ready)
            .find(|index| self.policy.shares && self.classes[*index].is_owed());
        Some(entitled.unwrap_or(first))
    }

    /// Adds credit to the lower classes with queued requests and subtracts the service
    /// time from the credit of the class that starts.
    fn update_credits(&mut self, index: usize) {
        let service = self.classes[index].mean_service();
        let lower = self.classes.iter_mut().zip(SHARES).skip(index + 1);
        for (queue, share) in lower {
            queue.add_credit(share * service);
        }
        self.classes[index].spend_credit();
    }

    /// Returns the expected wait for a slot in milliseconds: the time until a slot is
    /// released plus the shorter of the wait behind all higher classes and the wait under
    /// the guaranteed share.
    fn expected_wait(&self, index: usize, deadline: clock::Millis) -> f64 {
        let slots = to_f64(self.limits.slots);
        let higher: f64 = self.classes[..index]
            .iter()
            .map(|queue| to_f64(queue.waiting.len()) * queue.mean_service())
            .sum();
        let service = self.classes[index].mean_service();
        let own = to_f64(self.position(index, deadline)) * service;
        let strict = (higher + own) / (slots * self.slot_fraction(index));
        let shared = (own + service) / (slots * SHARES[index]);
        let is_shared = self.policy.shares && SHARES[index] > 0.0;
        let queued = if is_shared {
            strict.min(shared)
        } else {
            strict
        };
        self.capacity.mean_service() / slots + queued
    }

    /// Returns the fraction of the slots that is left to a class by the usage of the higher
    /// classes and the guaranteed shares of the lower ones.
    fn slot_fraction(&self, index: usize) -> f64 {
        let total = to_f64(self.limits.slots) * DECAY_MS;
        let higher: f64 = self.classes[..index].iter().map(|c| c.used() / total).sum();
        let lower: f64 = (index + 1..CLASSES)
            .filter(|other| self.policy.shares && !self.classes[*other].waiting.is_empty())
            .map(|other| SHARES[other])
            .sum();
        ((1.0 - higher) * (1.0 - lower)).max(MIN_SLOT_FRACTION)
    }

    /// Applies the exponential decay of the usage statistics up to `now`.
    fn decay(&mut self, now: clock::Millis) {
        let factor = (-now.since(self.decayed_at).to_f64() / DECAY_MS).exp();
        for queue in &mut self.classes {
            queue.decay(factor);
        }
        self.decayed_at = self.decayed_at.max(now);
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
const fn to_f64(n: usize) -> f64 {
    n as f64
}
