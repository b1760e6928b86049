//! Admission to slots, in virtual time.

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

/// Completions before the deadline and arrivals, by class.
#[derive(Debug, Default)]
struct Tally {
    good: [f64; 3],
    arrived: [f64; 3],
    longest_refusal: u64,
}

/// Runs random arrivals, given as multiples of the capacity by class.
fn simulate(policy: queue::Policy, loads: [f64; 3], seed: u64) -> Tally {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut queue = queue::Queue::new(LIMITS, policy);
    let mut tally = Tally::default();
    let mut waiting: Vec<(queue::Ticket, Job)> = Vec::new();
    let mut running: Vec<Job> = Vec::new();
    for at in 0..RUN_MS {
        let now = clock::Millis(at);
        let is_counted = at >= WARM_MS;
        let (done, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|job| job.end <= at);
        running = rest;
        for job in done {
            queue.complete(job.class, clock::Millis(job.started), now);
            if is_counted && at <= job.arrived + DEADLINE_MS {
                tally.good[job.class as usize] += 1.0;
            }
        }
        while let Some(turn) = queue.next(now) {
            let (queue::Turn::Start(ticket) | queue::Turn::Refuse(ticket, _)) = turn;
            let place = waiting
                .iter()
                .position(|w| w.0 == ticket)
                .expect("it waits");
            let (_, job) = waiting.remove(place);
            if matches!(turn, queue::Turn::Start(_)) {
                running.push(begin(job, at, &mut rng));
            } else {
                tally.longest_refusal = tally.longest_refusal.max(at - job.arrived);
            }
        }
        for (class, load) in CLASSES.into_iter().zip(loads) {
            for _ in 0..arrivals(load * CAPACITY / 1_000.0, &mut rng) {
                let job = Job {
                    class,
                    arrived: at,
                    started: 0,
                    end: 0,
                };
                tally.arrived[class as usize] += f64::from(u8::from(is_counted));
                match queue.offer(class, clock::Millis(at + DEADLINE_MS), now) {
                    queue::Offer::Start => running.push(begin(job, at, &mut rng)),
                    queue::Offer::Wait(ticket) => waiting.push((ticket, job)),
                    queue::Offer::Refuse(_) => {}
                }
            }
        }
        assert!(running.len() <= LIMITS.slots);
        assert_eq!(running.len(), queue.running());
        assert_eq!(waiting.len(), queue.waiting());
    }
    tally
}

fn begin(job: Job, at: u64, rng: &mut SmallRng) -> Job {
    let service = rng.random_range(10..=30);
    Job {
        started: at,
        end: at + service,
        ..job
    }
}

fn arrivals(mean: f64, rng: &mut SmallRng) -> u32 {
    let whole = mean.floor();
    (0..).take_while(|n| f64::from(*n) < whole).count() as u32
        + u32::from(rng.random::<f64>() < mean - whole)
}

/// Good completions per second, as a part of the capacity.
fn goodput(tally: &Tally, class: record::Class) -> f64 {
    let seconds = (RUN_MS - WARM_MS) as f64 / 1_000.0;
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
    let tally = simulate(queue::Policy::default(), [0.4, 0.0, 10.0], seed);
    let kept = kept(&tally, record::Class::Urgent);
    assert!(kept >= 0.99, "{kept} of the urgent requests were kept");
}

#[parameterized(
    seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 }, seed_4 = { 4 }, seed_5 = { 5 },
)]
fn urgent_flood_keeps_goodput(seed: u64) {
    let tally = simulate(queue::Policy::default(), [10.0, 0.0, 0.0], seed);
    let goodput = goodput(&tally, record::Class::Urgent);
    assert!(goodput >= 0.90, "goodput is {goodput} of the capacity");
}

#[parameterized(
    seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 },
)]
fn urgent_flood_leaves_shares(seed: u64) {
    let tally = simulate(queue::Policy::default(), [10.0, 1.0, 1.0], seed);
    let normal = goodput(&tally, record::Class::Normal);
    let bulk = goodput(&tally, record::Class::Bulk);
    assert!(normal >= 0.07, "goodput of normal work is {normal}");
    assert!(bulk >= 0.03, "goodput of bulk work is {bulk}");
    let whole = normal + bulk + goodput(&tally, record::Class::Urgent);
    assert!(whole >= 0.90, "goodput is {whole} of the capacity");
}

/// Each rule earns its place: without it the measure above fails.
#[parameterized(
    bulk_flood_without_classes = {
        queue::Policy { classes: false, ..queue::Policy::default() },
        [0.4, 0.0, 10.0], record::Class::Urgent, 0.99 * 0.4
    },
    urgent_flood_without_deadlines = {
        queue::Policy { deadlines: false, ..queue::Policy::default() },
        [10.0, 0.0, 0.0], record::Class::Urgent, 0.90
    },
    urgent_flood_by_fifo = {
        queue::Policy::FIFO, [10.0, 0.0, 0.0], record::Class::Urgent, 0.90
    },
    bulk_flood_by_fifo = {
        queue::Policy::FIFO, [0.4, 0.0, 10.0], record::Class::Urgent, 0.99 * 0.4
    },
    urgent_flood_without_shares = {
        queue::Policy { shares: false, ..queue::Policy::default() },
        [10.0, 1.0, 1.0], record::Class::Bulk, 0.03
    },
)]
fn rule_off(policy: queue::Policy, loads: [f64; 3], class: record::Class, expected: f64) {
    let goodput = goodput(&simulate(policy, loads, 1), class);
    assert!(goodput < expected, "goodput is {goodput} without the rule");
}

fn busy(service: u64) -> queue::Queue {
    let mut queue = queue::Queue::new(LIMITS, queue::Policy::default());
    for n in 0..32 {
        let start = clock::Millis(n * service);
        let offer = queue.offer(record::Class::Normal, clock::Millis(u64::MAX), start);
        assert_eq!(offer, queue::Offer::Start);
        queue.complete(record::Class::Normal, start, start + clock::Millis(service));
    }
    let now = clock::Millis(32 * service);
    for _ in 0..LIMITS.slots {
        queue.offer(record::Class::Normal, clock::Millis(u64::MAX), now);
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
    let offer = queue.offer(record::Class::Normal, now + clock::Millis(left), now);
    assert_eq!(matches!(offer, queue::Offer::Wait(_)), waits, "{offer:?}");
    if !waits {
        assert_eq!(offer, queue::Offer::Refuse(queue::Refusal::Late));
    }
}

#[test]
fn next_refuses_what_became_late() {
    let mut queue = busy(100);
    let now = clock::Millis(3_200);
    let queue::Offer::Wait(ticket) =
        queue.offer(record::Class::Normal, now + clock::Millis(1_000), now)
    else {
        panic!("the request should wait");
    };
    let later = now + clock::Millis(950);
    queue.release(record::Class::Normal, now, later);
    let turn = queue.next(later);
    assert_eq!(
        turn,
        Some(queue::Turn::Refuse(ticket, queue::Refusal::Late))
    );
    assert_eq!(queue.next(later), None);
}

#[test]
fn next_takes_earliest_deadline_first() {
    let mut queue = busy(10);
    let now = clock::Millis(320);
    let mut tickets = Vec::new();
    for left in [3_000, 1_000, 2_000] {
        let queue::Offer::Wait(ticket) =
            queue.offer(record::Class::Normal, now + clock::Millis(left), now)
        else {
            panic!("the request should wait");
        };
        tickets.push(ticket);
    }
    for expected in [1, 2, 0] {
        queue.release(record::Class::Normal, now, now);
        assert_eq!(queue.next(now), Some(queue::Turn::Start(tickets[expected])));
    }
}

#[test]
fn offer_refuses_when_full() {
    let mut queue = queue::Queue::new(LIMITS, queue::Policy::default());
    let far = clock::Millis(u64::MAX);
    for _ in 0..LIMITS.slots + queue::MAX_WAITING {
        let offer = queue.offer(record::Class::Bulk, far, clock::Millis(0));
        assert!(!matches!(offer, queue::Offer::Refuse(_)));
    }
    let offer = queue.offer(record::Class::Bulk, far, clock::Millis(0));
    assert_eq!(offer, queue::Offer::Refuse(queue::Refusal::Full));
    let offer = queue.offer(record::Class::Urgent, far, clock::Millis(0));
    assert!(matches!(offer, queue::Offer::Wait(_)));
}

#[test]
fn feeds_hold_no_slot() {
    let mut queue = queue::Queue::new(LIMITS, queue::Policy::default());
    let opened = (0..LIMITS.connections)
        .filter(|_| queue.open_feed().is_ok())
        .count();
    assert_eq!(opened, LIMITS.connections - LIMITS.slots);
    assert_eq!(queue.running(), 0);
    let offer = queue.offer(record::Class::Normal, clock::Millis(100), clock::Millis(0));
    assert_eq!(offer, queue::Offer::Start);
}

#[test]
fn slow_spell_recovers() {
    let mut queue = busy(2_000);
    let now = clock::Millis(100_000);
    for _ in 0..LIMITS.slots {
        queue.release(record::Class::Normal, now, now);
    }
    let offer = queue.offer(record::Class::Normal, now + clock::Millis(200), now);
    assert_eq!(
        offer,
        queue::Offer::Start,
        "a free slot is tried whatever was measured"
    );
}

#[parameterized(
    steady = { 20.0, 20.0, false },
    noisy = { 20.0, 22.0, false },
    slower = { 20.0, 40.0, true },
)]
fn step_moves(before: f64, after: f64, moves: bool) {
    let mut queue = queue::Queue::new(LIMITS, queue::Policy::default());
    let first = settle(&mut queue, before, 0);
    let second = settle(&mut queue, after, 100_000);
    assert_eq!(first != second, moves, "{first} to {second}");
}

fn settle(queue: &mut queue::Queue, service: f64, from: u64) -> u8 {
    let service = clock::Millis(service as u64);
    let mut step = 0;
    for n in 0..300 {
        let start = clock::Millis(from + n * 100);
        queue.offer(record::Class::Normal, clock::Millis(u64::MAX), start);
        queue.complete(record::Class::Normal, start, start + service);
        step = queue.step(start);
    }
    step
}
