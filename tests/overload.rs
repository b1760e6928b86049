//! Steering of new flows under overload, played with a load model: one case per pattern.
//!
//! With `--nocapture` each case prints its outcomes beside the bound that a scheduler with
//! perfect knowledge reaches for the same arrivals.

mod load_model;

use std::ops::Range;

use cassiacross::record::Class;
use load_model::{Kind, Outcome, Pattern};
use yare::parameterized;

const URGENT: usize = 0;
const NORMAL: usize = 1;

/// Seeds over which each pattern is played.
const SEEDS: Range<u64> = 1..5;

/// Share of the urgent requests that a flood of other work leaves in time.
const URGENT_GOODPUT: f64 = 0.99;

/// Share of the capacity that stays goodput in a flood of urgent work.
const FLOOD_GOODPUT: f64 = 0.9;

/// Six upstreams of two speeds at about half of their capacity.
fn quiet_load() -> Pattern {
    let urgent = Kind {
        class: Class::Urgent,
        rate: 114.0,
        work: 61.0,
        target: 300,
        deadline: 3_000,
    };
    let normal = Kind {
        class: Class::Normal,
        rate: 400.0,
        work: 47.0,
        target: 250,
        deadline: 2_500,
    };
    Pattern {
        kinds: vec![urgent, normal],
        slowness: vec![0.7, 0.7, 1.7, 0.7, 0.7, 1.7],
        slots: 7,
        queue: 8,
        cold: (2_000, 1.6),
        power_off: None,
        burst: None,
        hold: false,
        length: 10_000,
        seed: 1,
    }
}

fn add(sum: &mut Outcome, outcome: Outcome) {
    sum.in_time += outcome.in_time;
    sum.late += outcome.late;
    sum.failed += outcome.failed;
    sum.failed_late += outcome.failed_late;
}

/// Plays a pattern over all seeds. Returns the outcomes of each kind, and those of the
/// bound.
fn play(name: &str, pattern: &Pattern, span: &Range<u64>) -> [Vec<Outcome>; 2] {
    let mut sums = [(); 2].map(|()| vec![Outcome::default(); pattern.kinds.len()]);
    for seed in SEEDS {
        let pattern = Pattern {
            seed,
            ..pattern.clone()
        };
        let played = load_model::play(&pattern, span.clone());
        let ideal = load_model::ideal(&pattern, span.clone());
        for (sum, outcomes) in sums.iter_mut().zip([played, ideal]) {
            for (sum, outcome) in sum.iter_mut().zip(outcomes) {
                add(sum, outcome);
            }
        }
    }
    for (label, outcomes) in ["played", "bound"].iter().zip(&sums) {
        println!("{name}, {label}: {outcomes:?}");
    }
    sums
}

fn total(outcomes: &[Outcome]) -> Outcome {
    let mut sum = Outcome::default();
    for outcome in outcomes {
        add(&mut sum, *outcome);
    }
    sum
}

#[test]
fn quiet_load_is_served_in_time() {
    let [played, _] = play("quiet load", &quiet_load(), &(1_000..9_000));
    assert!(total(&played).goodput() > 0.999, "{played:?}");
}

#[test]
fn flood_of_normal_work_leaves_urgent_work_in_time() {
    let mut pattern = quiet_load();
    pattern.kinds[NORMAL].rate *= 10.0;
    let [played, _] = play("flood of normal work", &pattern, &(3_000..9_000));
    assert!(played[URGENT].goodput() >= URGENT_GOODPUT, "{played:?}");
}

#[test]
fn flood_of_urgent_work_keeps_the_goodput() {
    let mut pattern = quiet_load();
    pattern.kinds[URGENT].rate *= 10.0;
    let [played, bound] = play("flood of urgent work", &pattern, &(3_000..9_000));
    let (played, bound) = (total(&played), total(&bound));
    let share = f64::from(played.in_time) / f64::from(bound.in_time);
    assert!(share >= FLOOD_GOODPUT, "{share}");
}

#[test]
fn short_burst_is_served() {
    let mut pattern = quiet_load();
    pattern.burst = Some((3_000, 4_000, 1.8));
    let [played, _] = play("short burst", &pattern, &(3_000..5_000));
    assert!(total(&played).served() > 0.98, "{played:?}");
}

/// Eight upstreams of three slots at 0.75 of their capacity, whose callers wait for long.
fn patient_callers() -> Pattern {
    let mut pattern = quiet_load();
    pattern.slots = 3;
    pattern.slowness = vec![0.7, 0.7, 0.8, 0.8, 0.9, 1.0, 1.2, 1.5];
    pattern.kinds[URGENT].rate = 70.0;
    pattern.kinds[URGENT].target = 400;
    pattern.kinds[URGENT].deadline = 5_000;
    pattern.kinds[NORMAL].rate = 270.0;
    pattern.kinds[NORMAL].target = 400;
    pattern.kinds[NORMAL].deadline = 4_000;
    pattern.hold = true;
    pattern
}

// Guards against refusals in a short peak of work that could be answered after it, and against
// a peak in which fresh work is answered late for it.
#[parameterized(
    half_again = { 1.5, 1_000, 0.99 },
    nearly_twice = { 1.8, 2_000, 0.98 },
    more_than_twice = { 2.2, 3_000, 0.85 },
)]
fn short_peak_of_patient_callers_is_served(factor: f64, length: u64, share: f64) {
    let span = 3_000..5_000 + length;
    let [waiting, refused] = [true, false].map(|hold| {
        let mut pattern = patient_callers();
        pattern.hold = hold;
        pattern.burst = Some((3_000, 3_000 + length, factor));
        let [played, _] = play(&format!("peak, waiting: {hold}"), &pattern, &span);
        total(&played)
    });
    assert!(waiting.served() >= share, "{waiting:?}");
    assert!(waiting.failed <= refused.failed, "{waiting:?} {refused:?}");
    assert!(
        waiting.in_time * 100 >= refused.in_time * 95,
        "{waiting:?} {refused:?}"
    );
}

/// The whole fleet loses power and comes back cold; callers repeat what they sent before.
#[test]
fn return_of_the_fleet_serves_half_of_the_requests() {
    let mut pattern = quiet_load();
    pattern.power_off = Some((3_000, 1_300));
    let [played, _] = play("return of the fleet", &pattern, &(4_300..6_300));
    assert!(total(&played).served() >= 0.5, "{played:?}");
}
