//! Retry budget and backoff with jitter.

use cassiacross::{budget, clock};
use rand::{SeedableRng, rngs::SmallRng};
use yare::parameterized;

/// Returns how many of `attempts` retries the budget allows at one time.
fn allowed_retries(budget: &mut budget::Budget, now: u64, attempts: usize) -> usize {
    (0..attempts)
        .filter(|_| budget.try_retry(clock::Millis(now)))
        .count()
}

#[parameterized(
    initial_token = { 0, 0, 1 },
    after_successes = { 50, 0, 6 },
    after_time = { 0, 3_000, 4 },
    capped = { 10_000, 100_000, 10 },
)]
fn retries_after(successes: usize, now: u64, expected: usize) {
    let mut budget = budget::Budget::new(clock::Millis(0));
    for _ in 0..successes {
        budget.record_success();
    }
    assert_eq!(allowed_retries(&mut budget, now, 100), expected);
}

#[test]
fn retries_without_successes_follow_refill() {
    let mut budget = budget::Budget::new(clock::Millis(0));
    let total: usize = (0..60)
        .map(|s| allowed_retries(&mut budget, s * 1_000, 100))
        .sum();
    assert_eq!(total, 60);
}

#[test]
fn unlimited_allows_every_retry() {
    assert_eq!(
        allowed_retries(&mut budget::Budget::unlimited(), 0, 100),
        100
    );
}

#[test]
fn jitter_stays_between_base_and_cap() {
    let mut rng = SmallRng::seed_from_u64(1);
    let (base, cap) = (clock::Millis(100), clock::Millis(2_000));
    let mut backoff = base;
    let mut distinct = Vec::new();
    for _ in 0..200 {
        let next = budget::decorrelated_jitter(backoff, base, cap, &mut rng);
        assert!(next >= base && next <= cap);
        assert!(next.0 <= backoff.0 * 3);
        distinct.push(next);
        backoff = next;
    }
    distinct.sort_unstable();
    distinct.dedup();
    assert!(distinct.len() > 50, "{} distinct backoffs", distinct.len());
}
