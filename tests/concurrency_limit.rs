//! Adaptive concurrency limit of one upstream, against upstreams that are played here.

use cassiacross::{clock::Millis, concurrency_limit::ConcurrencyLimit};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use yare::parameterized;

const SLOTS: u32 = 8;

/// Service time of one request while `running` requests run.
type ServiceTime = fn(running: u32, at: u64) -> f64;

/// Serves requests at random concurrency up to the limit from `from` to `until`, 100 a second.
/// One request in thirty takes seven times as long.
fn serve(limit: &mut ConcurrencyLimit, service: ServiceTime, from: u64, until: u64) {
    let mut rng = SmallRng::seed_from_u64(from + 1);
    for now in (from..until).step_by(10) {
        let running = rng.random_range(1..=limit.limit());
        let tail = if rng.random_bool(1.0 / 30.0) {
            7.0
        } else {
            1.0
        };
        let factor = rng.random_range(0.5..1.5) * tail;
        let time = Millis::from_f64(service(running, now) * factor);
        limit.record(running, time, SLOTS, Millis(now));
    }
}

fn steady(_running: u32, _at: u64) -> f64 {
    50.0
}

/// Takes three requests at a time well; more only wait for each other.
fn knee_at_three(running: u32, _at: u64) -> f64 {
    50.0 * (f64::from(running) / 3.0).max(1.0)
}

fn slow_from_ten_seconds(_running: u32, at: u64) -> f64 {
    if at < 10_000 { 50.0 } else { 200.0 }
}

fn knee_until_twenty_seconds(running: u32, at: u64) -> f64 {
    if at < 20_000 {
        knee_at_three(running, at)
    } else {
        50.0
    }
}

// Guards against a false reduction: service times differ, and a few requests take long.
#[parameterized(
    steady_speed = { steady },
    loss_of_speed_at_every_concurrency = { slow_from_ten_seconds },
)]
fn limit_stays_at_the_slots(service: ServiceTime) {
    let mut limit = ConcurrencyLimit::new(SLOTS);
    let mut lowest = SLOTS;
    for second in 0..60 {
        serve(&mut limit, service, second * 1_000, (second + 1) * 1_000);
        lowest = lowest.min(limit.limit());
    }
    assert_eq!(lowest, SLOTS);
}

#[test]
fn limit_follows_an_upstream_that_slows_down_before_it_is_full() {
    let mut limit = ConcurrencyLimit::new(SLOTS);
    serve(&mut limit, knee_at_three, 0, 10_000);
    assert!((3..=6).contains(&limit.limit()), "{}", limit.limit());
}

#[test]
fn limit_returns_to_the_slots_with_the_speed() {
    let mut limit = ConcurrencyLimit::new(SLOTS);
    serve(&mut limit, knee_until_twenty_seconds, 0, 20_000);
    assert!(limit.limit() < SLOTS);
    serve(&mut limit, knee_until_twenty_seconds, 20_000, 35_000);
    assert_eq!(limit.limit(), SLOTS);
}

#[test]
fn limit_changes_at_most_once_a_second() {
    let mut limit = ConcurrencyLimit::new(SLOTS);
    let mut changes = 0;
    for now in 0..2_500 {
        let running = if now % 2 == 0 { limit.limit() } else { 1 };
        let time = Millis(if running == 1 { 10 } else { 1_000 });
        changes += u32::from(limit.record(running, time, SLOTS, Millis(now)));
    }
    assert!(changes <= 2, "{changes}");
}

#[test]
fn limit_is_never_zero_nor_above_the_slots() {
    let mut limit = ConcurrencyLimit::new(1);
    serve(&mut limit, steady, 0, 30_000);
    assert!((1..=SLOTS).contains(&limit.limit()));
    let mut single = ConcurrencyLimit::new(1);
    for now in 0..20_000 {
        single.record(1, Millis(50), 1, Millis(now));
    }
    assert_eq!(single.limit(), 1);
}
