//! Failure detector of the upstream beside a pass-through agent.

use cassiacross::{
    clock::Millis,
    failure_detector::{Evidence, FailureDetector},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use yare::parameterized;

const PERIOD: Millis = Millis(1_200);

fn suspected(evidence: Evidence) -> FailureDetector {
    let mut detector = FailureDetector::default();
    detector.suspect(evidence, Millis(1_000));
    detector
}

/// A leaving upstream closes its listener before it deregisters, and its flows send
/// nothing while packets of their requests are missing on a slow link.
#[test]
fn refused_probe_of_a_reporting_upstream_is_no_failure() {
    let mut detector = suspected(Evidence::NoTraffic);
    detector.record_probe(false, Millis(1_001));
    assert!(detector.is_suspected());
    assert!(!detector.has_failed(Millis(400), PERIOD, Millis(1_001)));
}

#[parameterized(
    report_missed = { Evidence::NoTraffic, 1_801 },
    syn_unanswered = { Evidence::UnansweredSyn, 400 },
)]
fn refused_probe_and_a_second_evidence_is_a_failure(evidence: Evidence, report_age: u64) {
    let mut detector = suspected(evidence);
    detector.record_probe(false, Millis(1_001));
    assert!(detector.has_failed(Millis(report_age), PERIOD, Millis(1_001)));
}

#[parameterized(
    fresh_report = { 5_000, 2_400, false },
    short_silence = { 2_999, 2_401, false },
    both_overdue = { 3_000, 2_401, true },
)]
fn hung_upstream_fails_if_it_does_not_report(now: u64, report_age: u64, failed: bool) {
    let detector = suspected(Evidence::NoTraffic);
    assert_eq!(
        detector.has_failed(Millis(report_age), PERIOD, Millis(now)),
        failed
    );
}

#[test]
fn late_refusal_after_a_response_is_ignored() {
    let mut detector = suspected(Evidence::UnansweredSyn);
    detector.record_response();
    detector.record_probe(false, Millis(1_100));
    detector.suspect(Evidence::NoTraffic, Millis(5_000));
    assert!(!detector.has_failed(Millis(1_800), PERIOD, Millis(5_001)));
}

#[test]
fn probes_are_rate_limited_across_suspicions() {
    let mut detector = suspected(Evidence::NoTraffic);
    assert!(detector.take_probe(Millis(1_000)));
    detector.record_probe(true, Millis(1_001));
    detector.suspect(Evidence::NoTraffic, Millis(1_050));
    assert!(!detector.is_suspected());
    detector.suspect(Evidence::UnansweredSyn, Millis(1_100));
    assert!(detector.is_suspected());
    assert!(!detector.take_probe(Millis(1_100)));
    assert!(detector.take_probe(Millis(1_500)));
}

/// Reports on time, at most a tenth late; everything else is random, but for SYNs, which a
/// live upstream answers.
#[parameterized(
    seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 }, seed_4 = { 4 },
)]
fn reporting_upstream_never_fails(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut detector = FailureDetector::default();
    let mut reported = Millis(0);
    let mut due = Millis(0);
    for now in (0..2_000_000).step_by(10).map(Millis) {
        if now >= due {
            reported = now;
            due = Millis(now.0 + PERIOD.0 + rng.random_range(0..PERIOD.0 / 10));
        }
        match rng.random_range(0..40) {
            0 => detector.suspect(Evidence::NoTraffic, now),
            1 => detector.record_probe(rng.random(), now),
            2 if rng.random_range(0..20) == 0 => detector.record_response(),
            _ => {}
        }
        detector.take_probe(now);
        assert!(!detector.has_failed(now.since(reported), PERIOD, now));
    }
}
