//! Simulates the admission queue in virtual time under overload.

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
/// Duration of a simulation.
const RUN_MS: u64 = 30_000;

/// Time at the start of a simulation that is excluded from the results.
const WARM_UP_MS: u64 = 2_000;

/// Number of random trials for an arrival per millisecond and class.
const ARRIVAL_TRIALS: u32 = 10;

/// Throughput of all slots, in requests per second.
const CAPACITY: f64 = 4.0 * 1_000.0 / SERVICE_MS;

const CLASSES: [record::Class; 3] = [
    record::Class::Urgent,
    record::Class::Normal,
    record::Class::Bulk,
];

/// Simulated request, with times in milliseconds.
#[derive(Clone, Copy)]
struct Job {
    class: record::Class,
    arrived: u64,
    started: u64,
    end: u64,
}

/// Offered load by class: arrival rates as multiples of the capacity, mean service times
/// and deadlines in milliseconds.
#[derive(Clone, Copy)]
struct Load {
    arrivals: [f64; 3],
    service: [f64; 3],
    deadline: [u64; 3],
}

/// Numbers of arrivals and of completions before the deadline, by class.
#[derive(Debug, Default)]
struct Tally {
    in_time: [f64; 3],
    arrived: [f64; 3],
}

/// Simulation of a queue with its waiting and running requests.
struct Simulation {
    queue: queue::Queue,
    load: Load,
    rng: SmallRng,
    waiting: Vec<(queue::Ticket, Job)>,
    running: Vec<Job>,
    tally: Tally,
}

impl Simulation {
    fn finish(&mut self, at: u64) {
        let (done, rest): (Vec<_>, Vec<_>) = self.running.iter().partition(|job| job.end <= at);
        self.running = rest;
        for job in done {
            self.queue
                .complete(job.class, clock::Millis(job.started), clock::Millis(at));
            if at >= WARM_UP_MS && at <= job.arrived + self.load.deadline[job.class as usize] {
                self.tally.in_time[job.class as usize] += 1.0;
            }
        }
    }

    fn dequeue_all(&mut self, at: u64) {
        while let Some(dequeued) = self.queue.dequeue(clock::Millis(at)) {
            let (queue::Dequeued::Start(ticket) | queue::Dequeued::Refuse(ticket, _)) = dequeued;
            let position = self.waiting.iter().position(|w| w.0 == ticket);
            let (_, job) = self.waiting.remove(position.expect("the ticket is queued"));
            if matches!(dequeued, queue::Dequeued::Start(_)) {
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
        self.tally.arrived[class as usize] += f64::from(u8::from(at >= WARM_UP_MS));
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

    /// Draws whether a trial is an arrival, with probability `rate`.
    fn draw_arrival(&mut self, rate: f64) -> bool {
        self.rng.random::<f64>() < rate
    }
}

/// Simulates random arrivals at a queue and counts the results.
fn simulate(policy: queue::Policy, load: Load, seed: u64) -> Tally {
    let mut simulation = Simulation {
        queue: queue::Queue::new(LIMITS, policy),
        load,
        rng: SmallRng::seed_from_u64(seed),
        waiting: Vec::new(),
        running: Vec::new(),
        tally: Tally::default(),
    };
    for at in 0..RUN_MS {
        simulation.finish(at);
        simulation.dequeue_all(at);
        for (class, arrivals) in CLASSES.into_iter().zip(load.arrivals) {
            for _ in 0..ARRIVAL_TRIALS {
                if simulation
                    .draw_arrival(arrivals * CAPACITY / 1_000.0 / f64::from(ARRIVAL_TRIALS))
                {
                    simulation.arrive(class, at);
                }
            }
        }
        assert!(simulation.running.len() <= LIMITS.slots);
        assert_eq!(simulation.running.len(), simulation.queue.running());
        assert_eq!(simulation.waiting.len(), simulation.queue.waiting());
    }
    simulation.tally
}

/// Load with equal service times and deadlines for all classes.
const fn equal_load(arrivals: [f64; 3]) -> Load {
    Load {
        arrivals,
        service: [SERVICE_MS; 3],
        deadline: [DEADLINE_MS; 3],
    }
}

/// Load whose bulk requests have 50 times the service time and a longer deadline.
const fn long_bulk_load(arrivals: [f64; 3]) -> Load {
    Load {
        arrivals,
        service: [SERVICE_MS, SERVICE_MS, 50.0 * SERVICE_MS],
        deadline: [DEADLINE_MS / 2, DEADLINE_MS, 25 * DEADLINE_MS],
    }
}

/// Returns the completions in time per second, as a fraction of the capacity.
fn goodput(tally: &Tally, class: record::Class) -> f64 {
    let seconds = Duration::from_millis(RUN_MS - WARM_UP_MS).as_secs_f64();
    tally.in_time[class as usize] / seconds / CAPACITY
}

/// Returns the fraction of the requests of a class that completed in time.
fn in_time_fraction(tally: &Tally, class: record::Class) -> f64 {
    tally.in_time[class as usize] / tally.arrived[class as usize]
}

#[parameterized(
    seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 }, seed_4 = { 4 }, seed_5 = { 5 },
)]
fn bulk_flood_keeps_urgent(seed: u64) {
    let tally = simulate(queue::Policy::default(), equal_load([0.4, 0.0, 10.0]), seed);
    let fraction = in_time_fraction(&tally, record::Class::Urgent);
    assert!(
        fraction >= 0.99,
        "{fraction} of the urgent requests finished in time"
    );
}

#[parameterized(
    seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 }, seed_4 = { 4 }, seed_5 = { 5 },
)]
fn urgent_flood_keeps_goodput(seed: u64) {
    let tally = simulate(queue::Policy::default(), equal_load([10.0, 0.0, 0.0]), seed);
    let goodput = goodput(&tally, record::Class::Urgent);
    assert!(goodput >= 0.90, "goodput is {goodput} of the capacity");
}

#[parameterized(
    seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 },
)]
fn urgent_flood_leaves_shares(seed: u64) {
    let tally = simulate(queue::Policy::default(), equal_load([10.0, 1.0, 1.0]), seed);
    let normal = goodput(&tally, record::Class::Normal);
    let bulk = goodput(&tally, record::Class::Bulk);
    assert!(normal >= 0.07, "goodput of normal requests is {normal}");
    assert!(bulk >= 0.03, "goodput of bulk requests is {bulk}");
    let total = normal + bulk + goodput(&tally, record::Class::Urgent);
    assert!(total >= 0.90, "goodput is {total} of the capacity");
}

#[parameterized(
    seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 },
)]
fn long_bulk_flood_keeps_urgent(seed: u64) {
    let load = long_bulk_load([0.4, 0.0, 10.0]);
    let fraction = in_time_fraction(&simulate(queue::Policy::default(), load, seed), CLASSES[0]);
    assert!(
        fraction >= 0.97,
        "{fraction} of the urgent requests finished in time"
    );
}

/// Each rule is necessary: the goodput meets the expected value with the rule and
/// misses it without.
#[parameterized(
    bulk_flood_without_classes = {
        queue::Policy { classes: false, ..queue::Policy::default() },
        equal_load([0.4, 0.0, 10.0]), record::Class::Urgent, 0.95 * 0.4
    },
    urgent_flood_without_deadlines = {
        queue::Policy { deadlines: false, ..queue::Policy::default() },
        equal_load([10.0, 0.0, 0.0]), record::Class::Urgent, 0.90
    },
    urgent_flood_by_fifo = {
        queue::Policy::FIFO, equal_load([10.0, 0.0, 0.0]), record::Class::Urgent, 0.90
    },
    bulk_flood_by_fifo = {
        queue::Policy::FIFO, equal_load([0.4, 0.0, 10.0]), record::Class::Urgent, 0.95 * 0.4
    },
    urgent_flood_without_shares = {
        queue::Policy { shares: false, ..queue::Policy::default() },
        equal_load([10.0, 1.0, 1.0]), record::Class::Bulk, 0.03
    },
    long_bulk_flood_without_reserve = {
        queue::Policy { reserve: false, ..queue::Policy::default() },
        long_bulk_load([0.4, 0.0, 10.0]), record::Class::Urgent, 0.90 * 0.4
    },
)]
fn each_rule_is_needed(policy: queue::Policy, load: Load, class: record::Class, expected: f64) {
    let with = goodput(&simulate(queue::Policy::default(), load, 1), class);
    assert!(with >= expected, "goodput is {with} with the rule");
    let without = goodput(&simulate(policy, load, 1), class);
    assert!(without < expected, "goodput is {without} without the rule");
}

/// Creates a queue whose slots are all in use, with a measured `service` time in
/// milliseconds.
fn busy_queue(service: u64) -> queue::Queue {
    let mut queue = queue::Queue::new(LIMITS, queue::Policy::default());
    for n in 0..32 {
        let start = clock::Millis(n * service);
        let decision = queue.submit(record::Class::Normal, clock::Millis(u64::MAX), start);
        assert_eq!(decision, queue::Decision::Start);
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
fn submit_checks_deadline(remaining: u64, is_queued: bool) {
    let mut queue = busy_queue(100);
    let now = clock::Millis(3_200);
    let decision = queue.submit(record::Class::Normal, now + clock::Millis(remaining), now);
    assert_eq!(
        matches!(decision, queue::Decision::Wait(_)),
        is_queued,
        "{decision:?}"
    );
    if !is_queued {
        assert_eq!(decision, queue::Decision::Refuse(queue::Refusal::Late));
    }
}

#[test]
fn dequeue_refuses_late_request() {
    let mut queue = busy_queue(100);
    let now = clock::Millis(3_200);
    let queue::Decision::Wait(ticket) =
        queue.submit(record::Class::Normal, now + clock::Millis(1_000), now)
    else {
        panic!("the request is not queued");
    };
    let later = now + clock::Millis(950);
    queue.release(record::Class::Normal, now, later);
    let dequeued = queue.dequeue(later);
    assert_eq!(
        dequeued,
        Some(queue::Dequeued::Refuse(ticket, queue::Refusal::Late))
    );
    assert_eq!(queue.dequeue(later), None);
}

#[test]
fn dequeue_takes_earliest_deadline_first() {
    let mut queue = busy_queue(10);
    let now = clock::Millis(320);
    let mut tickets = Vec::new();
    for remaining in [3_000, 1_000, 2_000] {
        let queue::Decision::Wait(ticket) =
            queue.submit(record::Class::Normal, now + clock::Millis(remaining), now)
        else {
            panic!("the request is not queued");
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
fn submit_refuses_when_full() {
    let mut queue = queue::Queue::new(LIMITS, queue::Policy::default());
    let far = clock::Millis(u64::MAX);
    for _ in 0..LIMITS.slots + queue::MAX_WAITING {
        let decision = queue.submit(record::Class::Bulk, far, clock::Millis(0));
        assert!(!matches!(decision, queue::Decision::Refuse(_)));
    }
    let decision = queue.submit(record::Class::Bulk, far, clock::Millis(0));
    assert_eq!(decision, queue::Decision::Refuse(queue::Refusal::Full));
    let decision = queue.submit(record::Class::Urgent, far, clock::Millis(0));
    assert!(matches!(decision, queue::Decision::Wait(_)));
}

#[test]
fn feeds_hold_no_slot() {
    let mut queue = queue::Queue::new(LIMITS, queue::Policy::default());
    let opened = (0..LIMITS.connections)
        .filter(|_| queue.open_feed().is_ok())
        .count();
    assert_eq!(opened, LIMITS.connections - LIMITS.slots);
    assert_eq!(queue.running(), 0);
    let decision = queue.submit(record::Class::Normal, clock::Millis(100), clock::Millis(0));
    assert_eq!(decision, queue::Decision::Start);
}

#[test]
fn slow_period_recovers() {
    let mut queue = busy_queue(2_000);
    let now = clock::Millis(100_000);
    for _ in 0..LIMITS.slots {
        queue.release(record::Class::Normal, now, now);
    }
    let decision = queue.submit(record::Class::Normal, now + clock::Millis(200), now);
    assert_eq!(
        decision,
        queue::Decision::Start,
        "a free slot is used whatever service time was measured"
    );
}

/// Guards against refusing a class forever after a slow period: its estimate is renewed
/// even if queued bulk requests take every free slot.
#[test]
fn slow_period_recovers_under_bulk_flood() {
    let mut queue = busy_queue(2_000);
    let far = clock::Millis(u64::MAX);
    let mut now = clock::Millis(100_000);
    while matches!(
        queue.submit(record::Class::Bulk, far, now),
        queue::Decision::Wait(_)
    ) {}
    let mut has_started = false;
    for _ in 0..10 {
        let decision = queue.submit(record::Class::Normal, now + clock::Millis(200), now);
        queue.release(record::Class::Normal, now, now);
        let dequeued = queue.dequeue(now);
        if let (queue::Decision::Wait(ticket), Some(dequeued)) = (decision, dequeued) {
            has_started |= dequeued == queue::Dequeued::Start(ticket);
        }
        now = now + clock::Millis(500);
    }
    assert!(has_started);
}

#[parameterized(
    steady = { 20, 20, false },
    noisy = { 20, 22, false },
    slower = { 20, 40, true },
)]
fn capacity_step_changes(before: u64, after: u64, changes: bool) {
    let mut queue = queue::Queue::new(LIMITS, queue::Policy::default());
    let first = measure_step(&mut queue, before, 0);
    let second = measure_step(&mut queue, after, 100_000);
    assert_eq!(first != second, changes, "{first} to {second}");
}

/// Runs requests with the given service time and returns the resulting capacity step.
fn measure_step(queue: &mut queue::Queue, service: u64, from: u64) -> u8 {
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
