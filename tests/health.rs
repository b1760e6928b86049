//! Whether an upstream answers rightly.

use cassiacross::{clock::Millis, health};
use yare::parameterized;

fn after(answers: &[(usize, bool)]) -> health::Health {
    let mut health = health::Health::default();
    for (count, is_success) in answers {
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
    turned_wrong = { &[(1_000, true), (10, false)], true },
    right_again = { &[(100, false), (30, true)], false },
    single_failures = { &[(100, true), (1, false), (5, true), (1, false)], false },
)]
fn is_failing(answers: &[(usize, bool)], expected: bool) {
    assert_eq!(after(answers).is_failing(), expected);
}

#[test]
fn failing_upstream_is_tested_by_one_flow_a_period() {
    let mut health = after(&[(100, false)]);
    let start = health::PROBE_PERIOD;
    assert!(health.allows_flow(start));
    health.record_probe(start);
    assert!(!health.allows_flow(start + Millis(1)));
    assert!(health.allows_flow(start + health::PROBE_PERIOD));
}

#[test]
fn right_upstream_admits_each_flow() {
    let mut health = after(&[(100, true)]);
    health.record_probe(Millis(5));
    assert!(health.allows_flow(Millis(5)));
}
