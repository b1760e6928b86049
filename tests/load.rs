//! Load and capacity estimate of an upstream.

use cassiacross::{clock::Millis, load::Load};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use yare::parameterized;

/// Creates a load that has measured 100 requests with the same service time.
fn measured(slots: u32, service_time: u64) -> Load {
    let mut load = Load::new(slots);
    for _ in 0..100 {
        load.begin();
        load.complete(Some(Millis(service_time)));
    }
    load
}

#[parameterized(
    idle = { 0, 0, true },
    one_left = { 1, 0, true },
    expected = { 1, 1, false },
    full = { 2, 0, false },
)]
fn slot_is_free_unless_busy_or_expected(busy: u32, expected: u32, is_free: bool) {
    let mut load = Load::new(2);
    for _ in 0..busy {
        load.begin();
    }
    assert_eq!(load.has_free_slot(expected), is_free);
}

#[test]
fn wait_grows_with_the_queue() {
    let mut load = measured(2, 50);
    let idle = load.expected_wait(0);
    load.begin();
    load.begin();
    assert!(load.expected_wait(0) > idle);
    assert!(load.expected_wait(2) > load.expected_wait(0));
}

#[test]
fn faster_upstream_reports_more_capacity() {
    let (mut fast, mut slow) = (measured(4, 20), measured(4, 60));
    assert!(fast.capacity_step() > slow.capacity_step());
}

#[test]
fn queued_requests_do_not_change_the_service_time() {
    let mut load = measured(4, 20);
    let before = load.mean_time();
    load.begin();
    load.complete(None);
    assert_eq!(load.mean_time(), before);
}

#[test]
fn reported_capacity_ignores_small_changes() {
    let mut load = measured(4, 50);
    let before = load.capacity_step();
    for _ in 0..100 {
        load.begin();
        load.complete(Some(Millis(52)));
    }
    assert_eq!(load.capacity_step(), before);
}

#[test]
fn cancelled_request_frees_its_slot() {
    let mut load = Load::new(1);
    load.begin();
    load.cancel();
    assert_eq!(load.busy(), 0);
    load.cancel();
    assert_eq!(load.busy(), 0);
}

/// Ten quantiles of exponentially distributed service times, in milliseconds.
const SERVICE_TIMES: [u64; 10] = [3, 8, 14, 22, 30, 40, 52, 69, 95, 150];

/// Answers a request with a random service time, multiplied by a factor.
fn answer(load: &mut Load, factor: u64, rng: &mut SmallRng) {
    let service_time = SERVICE_TIMES[rng.random_range(0..SERVICE_TIMES.len())];
    load.begin();
    load.complete(Some(Millis(service_time * factor)));
}

/// Each change of a reported capacity goes to all nodes and moves flows between agents, so
/// an upstream whose requests differ, but which stays the same, must hardly cause any.
#[test]
fn reported_capacity_is_steady_while_service_times_vary() {
    const ANSWERS_PER_CHANGE: usize = 200;
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut load = Load::new(4);
        let mut last = load.capacity_step();
        let mut changes = 0;
        for _ in 0..4_000 {
            answer(&mut load, 1, &mut rng);
            let step = load.capacity_step();
            changes += usize::from(step != last);
            last = step;
        }
        assert!(
            changes <= 4_000 / ANSWERS_PER_CHANGE,
            "{changes} changes, seed {seed}"
        );
    }
}

#[test]
fn reported_capacity_follows_an_upstream_that_turns_slow() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut load = Load::new(4);
        for _ in 0..500 {
            answer(&mut load, 1, &mut rng);
        }
        let before = load.capacity_step();
        for _ in 0..50 {
            answer(&mut load, 4, &mut rng);
        }
        assert!(load.capacity_step() + 6 < before, "seed {seed}");
    }
}

// Guards against refusals by an idle upstream after a single long request.
#[test]
fn single_long_request_hardly_changes_the_expected_wait() {
    let mut load = Load::new(3);
    for _ in 0..50 {
        load.begin();
        load.complete(Some(Millis(50)));
    }
    load.begin();
    load.complete(Some(Millis(600)));
    assert!(load.mean_time() < Millis(65), "{:?}", load.mean_time());
}

#[test]
fn loss_of_speed_is_followed_within_twenty_requests() {
    let mut load = Load::new(3);
    for time in [50; 50].into_iter().chain([200; 20]) {
        load.begin();
        load.complete(Some(Millis(time)));
    }
    assert!(load.mean_time() > Millis(150), "{:?}", load.mean_time());
}
