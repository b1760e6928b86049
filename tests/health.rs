//! Passive health check of an upstream.

use cassiacross::{clock::Millis, health};
use yare::parameterized;

/// Records runs of equal results, given as length and success, and returns the health.
fn health_after(results: &[(usize, bool)]) -> health::Health {
    let mut health = health::Health::default();
    for (count, is_success) in results {
        for _ in 0..*count {
            health.record(*is_success);
        }
    }
    health
}

#[parameterized(
    new = { &[], false },
    few_failures = { &[(8, false)], false },
    all_failures = { &[(16, false)], true },
    recent_failures = { &[(1_000, true), (10, false)], true },
    recovered = { &[(100, false), (30, true)], false },
    isolated_failures = { &[(100, true), (1, false), (5, true), (1, false)], false },
)]
fn is_failing(results: &[(usize, bool)], expected: bool) {
    assert_eq!(health_after(results).is_failing(), expected);
}

#[test]
fn failing_upstream_allows_one_probe_per_period() {
    let mut health = health_after(&[(100, false)]);
    let start = health::PROBE_PERIOD;
    assert!(health.allows_flow(start));
    health.record_probe(start);
    assert!(!health.allows_flow(start + Millis(1)));
    assert!(health.allows_flow(start + health::PROBE_PERIOD));
}

#[test]
fn healthy_upstream_allows_every_flow() {
    let mut health = health_after(&[(100, true)]);
    health.record_probe(Millis(5));
    assert!(health.allows_flow(Millis(5)));
}
