//! Limit on the new flows of an upstream that warms up.

use cassiacross::{
    clock::Millis,
    slow_start::{SlowStart, Tolerance},
};
use yare::parameterized;

const TOLERANCE: Tolerance = Tolerance {
    factor: 1.5,
    flows: 5.0,
};

/// Offers flows at a fixed interval; returns the times at which they were accepted.
fn accepted(limit: &mut SlowStart, interval: u64, from: u64, until: u64) -> Vec<u64> {
    let mut times = Vec::new();
    for now in (from..until).step_by(usize::try_from(interval).unwrap()) {
        if limit.may_accept(Millis(now)) {
            limit.record_accepted(Millis(now));
            times.push(now);
        }
    }
    times
}

/// Returns the largest number of flows within any second.
fn most_in_a_second(times: &[u64]) -> usize {
    let count = |start: u64| {
        let window = start..start + 1_000;
        times.iter().filter(|time| window.contains(*time)).count()
    };
    times.iter().map(|start| count(*start)).max().unwrap_or(0)
}

fn cold(rate: f64, until: u64) -> SlowStart {
    let mut limit = SlowStart::new(Some(TOLERANCE));
    limit.set_rate(Some(rate));
    limit.set_cold_until(Millis(until), Millis(0));
    limit
}

// Guards against a domain that returns cold as a whole while all callers come back at once.
#[parameterized(
    slow = { 4.0 },
    medium = { 20.0 },
    fast = { 90.0 },
)]
fn cold_upstream_gets_no_more_than_its_tolerance(rate: f64) {
    let times = accepted(&mut cold(rate, 6_000), 1, 0, 6_000);
    let most = f64::from(u32::try_from(most_in_a_second(&times)).unwrap());
    assert!(most <= rate * TOLERANCE.factor + TOLERANCE.flows, "{most}");
    assert!(times.len() >= 5, "{}", times.len());
}

// Guards against flows that a restart of the agent allows besides those of its predecessor.
#[test]
fn restart_gives_no_flows() {
    let first = accepted(&mut cold(10.0, 4_000), 1, 0, 1_000);
    let mut times = first;
    let mut restarted = SlowStart::new(Some(TOLERANCE));
    restarted.set_rate(Some(10.0));
    restarted.set_cold_until(Millis(4_000), Millis(1_001));
    times.extend(accepted(&mut restarted, 1, 1_001, 3_000));
    assert!(most_in_a_second(&times) <= 20);
}

#[test]
fn warm_upstream_is_not_limited() {
    let mut limit = cold(10.0, 1_000);
    assert_eq!(accepted(&mut limit, 1, 1_000, 2_000).len(), 1_000);
}

#[parameterized(
    no_rate = { None, Some(TOLERANCE) },
    zero_rate = { Some(0.0), Some(TOLERANCE) },
    no_tolerance = { Some(10.0), None },
)]
fn deployment_without_a_limit_is_not_limited(rate: Option<f64>, tolerance: Option<Tolerance>) {
    let mut limit = SlowStart::new(tolerance);
    limit.set_rate(rate);
    limit.set_cold_until(Millis(5_000), Millis(0));
    assert!(!limit.is_limited(Millis(1)));
    assert_eq!(accepted(&mut limit, 1, 0, 500).len(), 500);
}
