//! Admission to the slots of one upstream: who starts, who waits, who is refused.
//!
//! Classes go in strict order, with a small guaranteed share of the slot time
//! for each lower class. A request that cannot finish before its deadline is
//! refused when it arrives, and again when its turn comes, so slots are spent
//! only on answers that still count.
//!
//! Within a class the earliest deadline goes first. The expected wait bounds
//! the line to what can finish in time, which avoids the late service of a
//! long first-in-first-out line; a newest-first order would then only add
//! refusals of work that has already waited. When a line is full the newest
//! request is refused, because its caller has lost the least.
//!
//! Feeds hold a connection, never a slot.

use std::{collections::VecDeque, time::Duration};

use crate::{clock, member, record};

/// Number of classes.
pub const CLASSES: usize = 3;

/// Requests that may wait in one class.
pub const MAX_WAITING: usize = 256;

/// Guaranteed shares of the slot time, by class; the first class needs none.
const SHARES: [f64; CLASSES] = [0.0, 0.10, 0.05];

/// Service time of a class before any was measured, in milliseconds.
const INITIAL_SERVICE_MS: f64 = 20.0;

/// Weight of a new sample in the estimates of one class.
const CLASS_GAIN: f64 = 0.1;

/// Weight of a new sample in the estimate behind the capacity.
const CAPACITY_GAIN: f64 = 0.01;

/// Deviations from the mean that a service time may be longer.
const DEVIATIONS: f64 = 2.0;

/// Time constant over which arrivals and the use of slots are remembered, in milliseconds.
const USE_SPAN_MS: f64 = 5_000.0;

/// The least part of the slots that an estimate counts on.
const MIN_PORTION: f64 = 0.01;

/// Work this many times as long as that of the classes above leaves slots to them.
const LONG_FACTOR: f64 = 4.0;

/// Age at which an estimate no longer refuses the first request in line, so that it is renewed.
const PROBE_PERIOD: clock::Millis = clock::Millis(1_000);

/// Slots that are reserved for a class beyond the mean need of its arrivals, in square
/// roots of that need: the deviation of a Poisson number is the root of its mean.
const RESERVE_DEVIATIONS: f64 = 1.0;

/// The least need of a class that reserves a slot for it, in slots.
const MIN_NEED: f64 = 0.001;

/// Service times that are needed before a capacity is announced.
const MIN_SAMPLES: u32 = 16;

/// How far the capacity moves before its step follows, in steps.
const STEP_SLACK: f64 = 2.0;

/// The shortest time between two changes of the step.
const STEP_DWELL: clock::Millis = clock::Millis(5_000);

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Which rules are in force; each can be turned off for comparison.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each rule is turned off on its own"
)]
pub struct Policy {
    /// Classes are kept apart; without it all requests wait in one line.
    pub classes: bool,
    /// Lower classes have a guaranteed share of the slot time.
    pub shares: bool,
    /// Deadlines order a line and refuse what cannot finish in time.
    pub deadlines: bool,
    /// Long work of lower classes leaves slots to the arrivals of higher ones.
    pub reserve: bool,
}

impl Policy {
    /// One bounded first-in-first-out line.
    pub const FIFO: Self = Self {
        classes: false,
        shares: false,
        deadlines: false,
        reserve: false,
    };
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            classes: true,
            shares: true,
            deadlines: true,
            reserve: true,
        }
    }
}

/// What one upstream can hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Requests that run at once.
    pub slots: usize,
    /// Connections that are open at once.
    pub connections: usize,
}

/// A request that waits; later ones compare greater.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Why a request was refused before it ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The line of its class is full.
    Full,
    /// It would not finish before its deadline.
    Late,
    /// All connections are taken.
    Connections,
}

impl Refusal {
    /// Name for metrics and logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Late => "late",
            Self::Connections => "connections",
        }
    }
}

/// The answer to a request for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// A slot is taken, the request starts.
    Start,
    /// The request waits until [`Queue::dequeue`] names its ticket.
    Wait(Ticket),
    /// The request does not run.
    Refuse(Refusal),
}

/// A ticket whose turn came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Dequeued {
    /// A slot is taken, the request starts.
    Start(Ticket),
    /// The request does not run.
    Refuse(Ticket, Refusal),
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    deadline: clock::Millis,
}

#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    mean: f64,
    deviation: f64,
    samples: u32,
}

impl Estimate {
    fn add(&mut self, sample: f64, gain: f64) {
        if self.samples == 0 {
            self.mean = sample;
        }
        let gain = gain.max(1.0 / f64::from(self.samples + 1));
        let error = sample - self.mean;
        self.mean += gain * error;
        self.deviation += gain * (error.abs() - self.deviation);
        self.samples = self.samples.saturating_add(1);
    }

    const fn mean_or(&self, initial: f64) -> f64 {
        if self.samples == 0 {
            initial
        } else {
            self.mean
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Lane {
    waiting: VecDeque<Waiting>,
    running: usize,
    service: Estimate,
    tried_at: clock::Millis,
    credit: f64,
    used: f64,
    arrived: f64,
}

/// The slots of one upstream and the requests that wait for them.
#[derive(Clone, Debug)]
pub struct Queue {
    limits: Limits,
    policy: Policy,
    lanes: [Lane; CLASSES],
    feeds: usize,
    next: u64,
    service: Estimate,
    used_at: clock::Millis,
    step: u8,
    step_at: Option<clock::Millis>,
}

impl Queue {
    /// An empty queue.
    #[must_use]
    pub fn new(limits: Limits, policy: Policy) -> Self {
        Self {
            limits,
            policy,
            lanes: Default::default(),
            feeds: 0,
            next: 0,
            service: Estimate::default(),
            used_at: clock::Millis(0),
            step: 0,
            step_at: None,
        }
    }

    /// What the upstream can hold.
    #[must_use]
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// Follows an upstream that announces other limits; running work stays.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Requests that hold a slot.
    #[must_use]
    pub fn running(&self) -> usize {
        self.lanes.iter().map(|lane| lane.running).sum()
    }

    /// Requests that wait for a slot.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.lanes.iter().map(|lane| lane.waiting.len()).sum()
    }

    /// Feeds that hold a connection.
    #[must_use]
    pub const fn feeds(&self) -> usize {
        self.feeds
    }

    /// Whether a new flow should be accepted: a slot is free and nothing waits for it.
    #[must_use]
    pub fn has_free_slot(&self) -> bool {
        let connection = self.feeds + self.running() < self.limits.connections;
        connection && self.running() + self.waiting() < self.limits.slots
    }

    /// Asks for a slot; `deadline` is the point at which the answer must have ended.
    pub fn submit(
        &mut self,
        class: record::Class,
        deadline: clock::Millis,
        now: clock::Millis,
    ) -> Decision {
        self.decay(now);
        let lane = self.lane(class);
        self.lanes[lane].arrived += 1.0;
        if self.lanes[lane].waiting.is_empty() && self.may_start(lane) {
            if self.policy.deadlines && deadline <= now {
                return Decision::Refuse(Refusal::Late);
            }
            self.start(lane);
            return Decision::Start;
        }
        if self.lanes[lane].waiting.len() >= MAX_WAITING {
            return Decision::Refuse(Refusal::Full);
        }
        let needed = self.expected_wait(lane, deadline) + self.long_service(lane);
        let is_probe = self.lanes[lane].waiting.is_empty() && self.is_stale(lane, now);
        if self.policy.deadlines && !is_probe && needed > span(deadline, now) {
            return Decision::Refuse(Refusal::Late);
        }
        Decision::Wait(self.push(lane, deadline))
    }

    /// Gives a free slot to the next request, or refuses one whose deadline is too near.
    ///
    /// Call until it returns `None` whenever a slot has become free.
    pub fn dequeue(&mut self, now: clock::Millis) -> Option<Dequeued> {
        self.decay(now);
        let lane = self.pick()?;
        let head = self.lanes[lane].waiting.pop_front()?;
        if self.policy.deadlines && !self.may_finish(lane, head.deadline, now) {
            return Some(Dequeued::Refuse(head.ticket, Refusal::Late));
        }
        self.charge(lane);
        self.start(lane);
        Some(Dequeued::Start(head.ticket))
    }

    /// Removes a request that waits; false where it waits no more.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        for lane in &mut self.lanes {
            let place = lane.waiting.iter().position(|w| w.ticket == ticket);
            if let Some(place) = place {
                lane.waiting.remove(place);
                return true;
            }
        }
        false
    }

    /// Frees the slot of a request and learns from its service time.
    pub fn complete(&mut self, class: record::Class, started: clock::Millis, now: clock::Millis) {
        let service = span(now, started).max(0.5);
        let lane = self.lane(class);
        self.lanes[lane].service.add(service, CLASS_GAIN);
        self.lanes[lane].tried_at = now;
        self.service.add(service, CAPACITY_GAIN);
        self.release(class, started, now);
    }

    /// Frees the slot of a request whose service time says nothing, such as one that was cancelled.
    pub fn release(&mut self, class: record::Class, started: clock::Millis, now: clock::Millis) {
        self.decay(now);
        let lane = self.lane(class);
        let lane = &mut self.lanes[lane];
        lane.used += span(now, started);
        lane.running = lane.running.saturating_sub(1);
    }

    /// Takes a connection for a feed.
    pub fn open_feed(&mut self) -> Result<(), Refusal> {
        if self.feeds + self.limits.slots >= self.limits.connections {
            return Err(Refusal::Connections);
        }
        self.feeds += 1;
        Ok(())
    }

    /// Gives back a feed's connection.
    pub const fn close_feed(&mut self) {
        self.feeds = self.feeds.saturating_sub(1);
    }

    /// Requests per second that the slots complete, by measured service times.
    #[must_use]
    pub fn capacity(&self) -> Option<f64> {
        (self.service.samples >= MIN_SAMPLES)
            .then(|| count(self.limits.slots) * MILLIS_PER_SECOND / self.service.mean)
    }

    /// The step of the capacity that is announced, which follows slowly so that tables stay still.
    pub fn capacity_step(&mut self, now: clock::Millis) -> u8 {
        let Some(capacity) = self.capacity() else {
            return self.step;
        };
        let exact = capacity.max(1.0).log2() * member::STEPS_PER_DOUBLING;
        let moved = (exact - f64::from(self.step)).abs() > STEP_SLACK;
        let rested = self
            .step_at
            .is_none_or(|changed| now.since(changed) >= STEP_DWELL);
        if moved && rested {
            self.step = member::capacity_step(capacity);
            self.step_at = Some(now);
        }
        self.step
    }

    /// The last point at which a request that waits is worth a slot.
    #[must_use]
    pub fn latest_start(
        &self,
        class: record::Class,
        deadline: clock::Millis,
        now: clock::Millis,
    ) -> clock::Millis {
        let service =
            Duration::from_secs_f64(self.long_service(self.lane(class)) / MILLIS_PER_SECOND);
        let latest = deadline - clock::from_duration(service);
        if self.policy.deadlines && latest > now {
            latest
        } else {
            deadline
        }
    }

    /// The time that a request would wait for a slot, in milliseconds.
    #[must_use]
    pub fn estimated_wait(&self, class: record::Class, deadline: clock::Millis) -> f64 {
        self.expected_wait(self.lane(class), deadline)
    }

    const fn lane(&self, class: record::Class) -> usize {
        if self.policy.classes {
            class as usize
        } else {
            0
        }
    }

    fn start(&mut self, lane: usize) {
        self.lanes[lane].running += 1;
    }

    fn push(&mut self, lane: usize, deadline: clock::Millis) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        let place = self.place(lane, deadline);
        let waiting = Waiting { ticket, deadline };
        self.lanes[lane].waiting.insert(place, waiting);
        ticket
    }

    /// Where a new request stands in its line.
    fn place(&self, lane: usize, deadline: clock::Millis) -> usize {
        let waiting = &self.lanes[lane].waiting;
        if self.policy.deadlines {
            waiting.partition_point(|w| w.deadline <= deadline)
        } else {
            waiting.len()
        }
    }

    /// Whether a request is worth its slot; one whose estimate is stale renews it.
    fn may_finish(&mut self, lane: usize, deadline: clock::Millis, now: clock::Millis) -> bool {
        if self.long_service(lane) <= span(deadline, now) {
            return true;
        }
        let is_probe = deadline > now && self.is_stale(lane, now);
        if is_probe {
            self.lanes[lane].tried_at = now;
        }
        is_probe
    }

    fn is_stale(&self, lane: usize, now: clock::Millis) -> bool {
        now.since(self.lanes[lane].tried_at) >= PROBE_PERIOD
    }

    fn may_start(&self, lane: usize) -> bool {
        let lower: usize = self.lanes[lane..].iter().map(|lane| lane.running).sum();
        self.running() < self.limits.slots && lower < self.open_slots(lane)
    }

    /// Slots that a class and those below it may hold.
    fn open_slots(&self, lane: usize) -> usize {
        let slots = self.limits.slots;
        if !self.policy.reserve || !self.is_long(lane) {
            return slots;
        }
        let need: f64 = (0..lane).map(|higher| self.need(higher)).sum();
        let wanted = need + RESERVE_DEVIATIONS * need.sqrt();
        let reserved = (1..slots).find(|n| count(*n) >= wanted);
        let is_needed = need >= MIN_NEED;
        if is_needed {
            slots - reserved.unwrap_or(slots.saturating_sub(1))
        } else {
            slots
        }
    }

    /// Whether a class holds its slots much longer than those above it.
    fn is_long(&self, lane: usize) -> bool {
        (0..lane).any(|higher| self.mean_service(lane) > LONG_FACTOR * self.mean_service(higher))
    }

    /// Slots that the arrivals of a class need on average.
    fn need(&self, lane: usize) -> f64 {
        self.lanes[lane].arrived * self.mean_service(lane) / USE_SPAN_MS
    }

    fn pick(&self) -> Option<usize> {
        let ready = |lane: &usize| !self.lanes[*lane].waiting.is_empty() && self.may_start(*lane);
        let first = (0..CLASSES).find(ready)?;
        let owed = (first + 1..CLASSES).filter(ready).find(|lane| {
            self.policy.shares && self.lanes[*lane].credit >= self.mean_service(*lane)
        });
        Some(owed.unwrap_or(first))
    }

    /// Pays credit to the lower classes that wait, and takes it from the one that starts.
    fn charge(&mut self, lane: usize) {
        let service = self.mean_service(lane);
        let lower = SHARES.iter().enumerate().skip(lane + 1);
        for (lower, share) in lower {
            let most = 2.0 * self.mean_service(lower);
            let lower = &mut self.lanes[lower];
            if lower.waiting.is_empty() {
                lower.credit = 0.0;
            } else {
                lower.credit = (lower.credit + share * service).min(most);
            }
        }
        let lane = &mut self.lanes[lane];
        lane.credit = (lane.credit - service).max(0.0);
    }

    /// The shorter of two waits: behind all higher classes, or by the guaranteed share.
    fn expected_wait(&self, lane: usize, deadline: clock::Millis) -> f64 {
        let slots = count(self.limits.slots);
        let higher: f64 = (0..lane)
            .map(|other| count(self.lanes[other].waiting.len()) * self.mean_service(other))
            .sum();
        let own = count(self.place(lane, deadline)) * self.mean_service(lane);
        let strict = (higher + own) / (slots * self.portion(lane));
        let shared = (own + self.mean_service(lane)) / (slots * SHARES[lane]);
        let is_shared = self.policy.shares && SHARES[lane] > 0.0;
        let turn = if is_shared {
            strict.min(shared)
        } else {
            strict
        };
        self.mean_running() / slots + turn
    }

    /// The part of the slots that the classes above and below leave to a class.
    fn portion(&self, lane: usize) -> f64 {
        let whole = count(self.limits.slots) * USE_SPAN_MS;
        let higher: f64 = self.lanes[..lane].iter().map(|l| l.used / whole).sum();
        let lower: f64 = (lane + 1..CLASSES)
            .filter(|other| self.policy.shares && !self.lanes[*other].waiting.is_empty())
            .map(|other| SHARES[other])
            .sum();
        ((1.0 - higher) * (1.0 - lower)).max(MIN_PORTION)
    }

    fn mean_running(&self) -> f64 {
        self.service.mean_or(INITIAL_SERVICE_MS)
    }

    fn mean_service(&self, lane: usize) -> f64 {
        self.lanes[lane].service.mean_or(INITIAL_SERVICE_MS)
    }

    /// A service time that few requests of a class exceed.
    fn long_service(&self, lane: usize) -> f64 {
        self.mean_service(lane) + DEVIATIONS * self.lanes[lane].service.deviation
    }

    fn decay(&mut self, now: clock::Millis) {
        let factor = (-span(now, self.used_at) / USE_SPAN_MS).exp();
        for lane in &mut self.lanes {
            lane.used *= factor;
            lane.arrived *= factor;
        }
        self.used_at = self.used_at.max(now);
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts and spans are small")]
const fn count(n: usize) -> f64 {
    n as f64
}

#[expect(clippy::cast_precision_loss, reason = "counts and spans are small")]
fn span(later: clock::Millis, earlier: clock::Millis) -> f64 {
    later.since(earlier).0 as f64
}
