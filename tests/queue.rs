//! Admission to slots, in virtual time.

use std::time::Duration;

use cassiacross::{clock, queue, record};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use yare::parameterized;

const LIMITS: queue::Limits = queue::Limits {
    slots: 4,
    connections: 100,
};
const SERVICE_MS: f64 = 20.0;
const DEADLINE_MS: u64 = 400;
const RUN_MS: u64 = 30_000;
const WARM_MS: u64 = 2_000;
const SLICES: u32 = 10;

/// Requests per second that the slots can complete.
const CAPACITY: f64 = 4.0 * 1_000.0 / SERVICE_MS;

const CLASSES: [record::Class; 3] = [
    record::Class::Urgent,
    record::Class::Normal,
    record::Class::Bulk,
];

#[derive(Clone, Copy)]
struct Job {
    class: record::Class,
    arrived: u64,
    started: u64,
    end: u64,
}

/// Arrivals as multiples of the capacity, mean service times and deadlines, by class.
#[derive(Clone, Copy)]
struct Load {
    arrivals: [f64; 3],
    service: [f64; 3],
    deadline: [u64; 3],
}

/// Completions before the deadline and arrivals, by class.
#[derive(Debug, Default)]
struct Tally {
    good: [f64; 3],
    arrived: [f64; 3],
}

/// A queue in virtual time with the requests that wait and run.
struct Bench {
    queue: queue::Queue,
    load: Load,
    rng: SmallRng,
    waiting: Vec<(queue::Ticket, Job)>,
    running: Vec<Job>,
    tally: Tally,
}

impl Bench {
    fn finish(&mut self, at: u64) {
        let (done, rest): (Vec<_>, Vec<_>) = self.running.iter().partition(|job| job.end <= at);
        self.running = rest;
        for job in done {
            self.queue
                .complete(job.class, clock::Millis(job.started), clock::Millis(at));
            if at >= WARM_MS && at <= job.arrived + self.load.deadline[job.class as usize] {
                self.tally.good[job.class as usize] += 1.0;
            }
        }
    }

    fn hand_on(&mut self, at: u64) {
        while let Some(turn) = self.queue.dequeue(clock::Millis(at)) {
            let (queue::Dequeued::Start(ticket) | queue::Dequeued::Refuse(ticket, _)) = turn;
            let place = self.waiting.iter().position(|w| w.0 == ticket);
            let (_, job) = self.waiting.remove(place.expect("it waits"));
            if matches!(turn, queue::Dequeued::Start(_)) {
                self.begin(job, at);
            }
        }
    }

    fn arrive(&mut self, class: record::Class, at: u64) {
        let job = Job {
            class,
            arrived: at,
            started: 0,
            end: 0,
        };
        self.tally.arrived[class as usize] += f64::from(u8::from(at >= WARM_MS));
        let deadline = clock::Millis(at + self.load.deadline[class as usize]);
        match self.queue.submit(class, deadline, clock::Millis(at)) {
            queue::Decision::Start => self.begin(job, at),
            queue::Decision::Wait(ticket) => self.waiting.push((ticket, job)),
            queue::Decision::Refuse(_) => {}
        }
    }

    fn begin(&mut self, job: Job, at: u64) {
        let mean = self.load.service[job.class as usize];
        let service = self.rng.random_range(0.5..1.5) * mean;
        let service = Duration::from_secs_f64(service / 1_000.0).as_millis();
        self.running.push(Job {
            started: at,
            end: at + u64::try_from(service).expect("service is short").max(1),
            ..job
        });
    }

    /// Whether one of `rate` arrivals per slice of a millisecond falls into a slice.
    fn happens(&mut self, rate: f64) -> bool {
        self.rng.random::<f64>() < rate
    }
}

/// Runs random arrivals through a queue.
fn simulate(policy: queue::Policy, load: Load, seed: u64) -> Tally {
    let mut bench = Bench {
        queue: queue::Queue::new(LIMITS, policy),
        load,
        rng: SmallRng::seed_from_u64(seed),
        waiting: Vec::new(),
        running: Vec::new(),
        tally: Tally::default(),
    };
    for at in 0..RUN_MS {
        bench.finish(at);
        bench.hand_on(at);
        for (class, arrivals) in CLASSES.into_iter().zip(load.arrivals) {
            for _ in 0..SLICES {
                if bench.happens(arrivals * CAPACITY / 1_000.0 / f64::from(SLICES)) {
                    bench.arrive(class, at);
                }
            }
        }
        assert!(bench.running.len() <= LIMITS.slots);
        assert_eq!(bench.running.len(), bench.queue.running());
        assert_eq!(bench.waiting.len(), bench.queue.waiting());
    }
    bench.tally
}

const fn even(arrivals: [f64; 3]) -> Load {
    Load {
        arrivals,
        service: [SERVICE_MS; 3],
        deadline: [DEADLINE_MS; 3],
    }
}

/// Bulk work that takes fifty times as long, under a longer deadline.
const fn long_bulk(arrivals: [f64; 3]) -> Load {
    Load {
        arrivals,
        service: [SERVICE_MS, SERVICE_MS, 50.0 * SERVICE_MS],
        deadline: [DEADLINE_MS / 2, DEADLINE_MS, 25 * DEADLINE_MS],
    }
}

/// Good completions per second, as a part of the capacity.
fn goodput(tally: &Tally, class: record::Class) -> f64 {
    let seconds = Duration::from_millis(RUN_MS - WARM_MS).as_secs_f64();
    tally.good[class as usize] / seconds / CAPACITY
}

/// Part of the requests of a class that were answered in time.
fn kept(tally: &Tally, class: record::Class) -> f64 {
    tally.good[class as usize] / tally.arrived[class as usize]
}

#[parameterized(
    seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 }, seed_4 = { 4 }, seed_5 = { 5 },
)]
fn bulk_flood_keeps_urgent(seed: u64) {
    let tally = simulate(queue::Policy::default(), even([0.4, 0.0, 10.0]), seed);
    let kept = kept(&tally, record::Class::Urgent);
    assert!(kept >= 0.99, "{kept} of the urgent requests were kept");
}

#[parameterized(
    seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 }, seed_4 = { 4 }, seed_5 = { 5 },
)]
fn urgent_flood_keeps_goodput(seed: u64) {
    let tally = simulate(queue::Policy::default(), even([10.0, 0.0, 0.0]), seed);
    let goodput = goodput(&tally, record::Class::Urgent);
    assert!(goodput >= 0.90, "goodput is {goodput} of the capacity");
}

#[parameterized(
    seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 },
)]
fn urgent_flood_leaves_shares(seed: u64) {
    let tally = simulate(queue::Policy::default(), even([10.0, 1.0, 1.0]), seed);
    let normal = goodput(&tally, record::Class::Normal);
    let bulk = goodput(&tally, record::Class::Bulk);
    assert!(normal >= 0.07, "goodput of normal work is {normal}");
    assert!(bulk >= 0.03, "goodput of bulk work is {bulk}");
    let whole = normal + bulk + goodput(&tally, record::Class::Urgent);
    assert!(whole >= 0.90, "goodput is {whole} of the capacity");
}

#[parameterized(
    seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 },
)]
fn long_bulk_flood_keeps_urgent(seed: u64) {
    let load = long_bulk([0.4, 0.0, 10.0]);
    let kept = kept(&simulate(queue::Policy::default(), load, seed), CLASSES[0]);
    assert!(kept >= 0.97, "{kept} of the urgent requests were kept");
}

/// Each rule earns its place: with it the measure holds, without it it fails.
#[parameterized(
    bulk_flood_without_classes = {
        queue::Policy { classes: false, ..queue::Policy::default() },
        even([0.4, 0.0, 10.0]), record::Class::Urgent, 0.95 * 0.4
    },
    urgent_flood_without_deadlines = {
        queue::Policy { deadlines: false, ..queue::Policy::default() },
        even([10.0, 0.0, 0.0]), record::Class::Urgent, 0.90
    },
    urgent_flood_by_fifo = {
        queue::Policy::FIFO, even([10.0, 0.0, 0.0]), record::Class::Urgent, 0.90
    },
    bulk_flood_by_fifo = {
        queue::Policy::FIFO, even([0.4, 0.0, 10.0]), record::Class::Urgent, 0.95 * 0.4
    },
    urgent_flood_without_shares = {
        queue::Policy { shares: false, ..queue::Policy::default() },
        even([10.0, 1.0, 1.0]), record::Class::Bulk, 0.03
    },
    long_bulk_flood_without_reserve = {
        queue::Policy { reserve: false, ..queue::Policy::default() },
        long_bulk([0.4, 0.0, 10.0]), record::Class::Urgent, 0.90 * 0.4
    },
)]
fn rule_off(policy: queue::Policy, load: Load, class: record::Class, expected: f64) {
    let with = goodput(&simulate(queue::Policy::default(), load, 1), class);
    assert!(with >= expected, "goodput is {with} with the rule");
    let without = goodput(&simulate(policy, load, 1), class);
    assert!(without < expected, "goodput is {without} without the rule");
}

fn busy(service: u64) -> queue::Queue {
    let mut queue = queue::Queue::new(LIMITS, queue::Policy::default());
    for n in 0..32 {
        let start = clock::Millis(n * service);
        let offer = queue.submit(record::Class::Normal, clock::Millis(u64::MAX), start);
        assert_eq!(offer, queue::Decision::Start);
        queue.complete(record::Class::Normal, start, start + clock::Millis(service));
    }
    let now = clock::Millis(32 * service);
    for _ in 0..LIMITS.slots {
        queue.submit(record::Class::Normal, clock::Millis(u64::MAX), now);
    }
    queue
}

#[parameterized(
    near = { 100, false },
    far = { 1_000, true },
)]
fn offer_by_deadline(left: u64, waits: bool) {
    let mut queue = busy(100);
    let now = clock::Millis(3_200);
    let offer = queue.submit(record::Class::Normal, now + clock::Millis(left), now);
    assert_eq!(
        matches!(offer, queue::Decision::Wait(_)),
        waits,
        "{offer:?}"
    );
    if !waits {
        assert_eq!(offer, queue::Decision::Refuse(queue::Refusal::Late));
    }
}

#[test]
fn next_refuses_what_became_late() {
    let mut queue = busy(100);
    let now = clock::Millis(3_200);
    let queue::Decision::Wait(ticket) =
        queue.submit(record::Class::Normal, now + clock::Millis(1_000), now)
    else {
        panic!("the request should wait");
    };
    let later = now + clock::Millis(950);
    queue.release(record::Class::Normal, now, later);
    let turn = queue.dequeue(later);
    assert_eq!(
        turn,
        Some(queue::Dequeued::Refuse(ticket, queue::Refusal::Late))
    );
    assert_eq!(queue.dequeue(later), None);
}

#[test]
fn next_takes_earliest_deadline_first() {
    let mut queue = busy(10);
    let now = clock::Millis(320);
    let mut tickets = Vec::new();
    for left in [3_000, 1_000, 2_000] {
        let queue::Decision::Wait(ticket) =
            queue.submit(record::Class::Normal, now + clock::Millis(left), now)
        else {
            panic!("the request should wait");
        };
        tickets.push(ticket);
    }
    for expected in [1, 2, 0] {
        queue.release(record::Class::Normal, now, now);
        assert_eq!(
            queue.dequeue(now),
            Some(queue::Dequeued::Start(tickets[expected]))
        );
    }
}

#[test]
fn offer_refuses_when_full() {
    let mut queue = queue::Queue::new(LIMITS, queue::Policy::default());
    let far = clock::Millis(u64::MAX);
    for _ in 0..LIMITS.slots + queue::MAX_WAITING {
        let offer = queue.submit(record::Class::Bulk, far, clock::Millis(0));
        assert!(!matches!(offer, queue::Decision::Refuse(_)));
    }
    let offer = queue.submit(record::Class::Bulk, far, clock::Millis(0));
    assert_eq!(offer, queue::Decision::Refuse(queue::Refusal::Full));
    let offer = queue.submit(record::Class::Urgent, far, clock::Millis(0));
    assert!(matches!(offer, queue::Decision::Wait(_)));
}

#[test]
fn feeds_hold_no_slot() {
    let mut queue = queue::Queue::new(LIMITS, queue::Policy::default());
    let opened = (0..LIMITS.connections)
        .filter(|_| queue.open_feed().is_ok())
        .count();
    assert_eq!(opened, LIMITS.connections - LIMITS.slots);
    assert_eq!(queue.running(), 0);
    let offer = queue.submit(record::Class::Normal, clock::Millis(100), clock::Millis(0));
    assert_eq!(offer, queue::Decision::Start);
}

#[test]
fn slow_spell_recovers() {
    let mut queue = busy(2_000);
    let now = clock::Millis(100_000);
    for _ in 0..LIMITS.slots {
        queue.release(record::Class::Normal, now, now);
    }
    let offer = queue.submit(record::Class::Normal, now + clock::Millis(200), now);
    assert_eq!(
        offer,
        queue::Decision::Start,
        "a free slot is tried whatever was measured"
    );
}

/// A class that was slow is tried again although bulk work takes each free slot.
#[test]
fn slow_spell_recovers_in_a_flood() {
    let mut queue = busy(2_000);
    let far = clock::Millis(u64::MAX);
    let mut now = clock::Millis(100_000);
    while matches!(
        queue.submit(record::Class::Bulk, far, now),
        queue::Decision::Wait(_)
    ) {}
    let mut is_tried = false;
    for _ in 0..10 {
        let offer = queue.submit(record::Class::Normal, now + clock::Millis(200), now);
        queue.release(record::Class::Normal, now, now);
        let turn = queue.dequeue(now);
        if let (queue::Decision::Wait(ticket), Some(turn)) = (offer, turn) {
            is_tried |= turn == queue::Dequeued::Start(ticket);
        }
        now = now + clock::Millis(500);
    }
    assert!(is_tried);
}

#[parameterized(
    steady = { 20, 20, false },
    noisy = { 20, 22, false },
    slower = { 20, 40, true },
)]
fn step_moves(before: u64, after: u64, moves: bool) {
    let mut queue = queue::Queue::new(LIMITS, queue::Policy::default());
    let first = settle(&mut queue, before, 0);
    let second = settle(&mut queue, after, 100_000);
    assert_eq!(first != second, moves, "{first} to {second}");
}

fn settle(queue: &mut queue::Queue, service: u64, from: u64) -> u8 {
    let service = clock::Millis(service);
    let mut step = 0;
    for n in 0..300 {
        let start = clock::Millis(from + n * 100);
        queue.submit(record::Class::Normal, clock::Millis(u64::MAX), start);
        queue.complete(record::Class::Normal, start, start + service);
        step = queue.capacity_step(start);
    }
    step
}
