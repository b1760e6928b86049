//! Tests that the register checker accepts valid histories and reports each violation.

use cassiacross::clock;
use standins::register::{self, Operation, Violation};
use yare::parameterized;

fn version(number: u64) -> register::Version {
    register::Version {
        number,
        change: if number == 0 {
            String::new()
        } else {
            format!("c{number}")
        },
    }
}

fn call(invoked: u64, completed: u64, operation: Operation) -> register::Call {
    register::Call {
        process: 0,
        invoked: clock::Millis(invoked),
        completed: clock::Millis(completed),
        operation,
    }
}

fn write(invoked: u64, completed: u64, expected: u64, number: u64) -> register::Call {
    let written = version(number);
    call(
        invoked,
        completed,
        Operation::Accepted { expected, written },
    )
}

fn read(invoked: u64, completed: u64, number: u64) -> register::Call {
    call(invoked, completed, Operation::Read(version(number)))
}

fn refused(invoked: u64, completed: u64, expected: u64) -> register::Call {
    call(invoked, completed, Operation::Refused { expected })
}

fn undecided(invoked: u64, completed: u64, expected: u64, change: &str) -> register::Call {
    let change = change.to_owned();
    call(
        invoked,
        completed,
        Operation::Undecided { expected, change },
    )
}

fn observations(process: &str, numbers: &[u64]) -> Vec<register::Observation> {
    (1..)
        .zip(numbers)
        .map(|(at, number)| register::Observation {
            process: process.to_owned(),
            at: clock::Millis(at),
            version: version(*number),
        })
        .collect()
}

#[parameterized(
    empty = { &[], vec![] },
    sequence = {
        &[write(0, 1, 0, 3), read(2, 3, 3), write(4, 5, 3, 7)], observations("a", &[0, 3, 7])
    },
    lost_response_with_effect = {
        &[undecided(0, 1, 0, "c3"), read(5, 6, 3), write(7, 8, 3, 4)], observations("a", &[3, 4])
    },
    lost_response_without_effect = { &[undecided(0, 1, 0, "c3"), write(2, 3, 0, 4)], vec![] },
    concurrent_writes_one_refused = {
        &[write(0, 9, 0, 3), refused(1, 8, 0), read(2, 3, 0)], vec![]
    },
    skipped_version = { &[write(0, 1, 0, 3), write(2, 3, 3, 7)], observations("a", &[0, 7]) },
)]
fn valid_history_passes(calls: &[register::Call], observed: Vec<register::Observation>) {
    assert_eq!(register::check(calls, &observed), []);
}

#[parameterized(
    stale_read = { &[write(0, 1, 0, 3), read(2, 3, 0)] },
    lost_write = { &[write(0, 1, 0, 3), write(2, 3, 0, 4)] },
    concurrent_writes_both_accepted = { &[write(0, 9, 0, 3), write(1, 8, 0, 4)] },
    refused_without_conflict = { &[write(0, 1, 0, 3), refused(2, 3, 3)] },
    version_decreases = { &[write(0, 1, 0, 3), write(2, 3, 3, 2)] },
    undecided_observed_then_lost = {
        &[undecided(0, 1, 0, "c3"), read(2, 3, 3), read(4, 5, 0)]
    },
    undecided_observed_before_sent = { &[read(0, 1, 3), undecided(2, 3, 0, "c3")] },
)]
fn history_is_not_linearizable(calls: &[register::Call]) {
    assert_eq!(register::check(calls, &[]), [Violation::NotLinearizable]);
}

#[parameterized(
    version_decreased = {
        observations("a", &[3, 7, 3, 7]),
        Violation::VersionDecreased { process: "a".to_owned(), from: 7, to: 3 }
    },
    never_written = {
        observations("a", &[3, 5, 7]),
        Violation::NeverWritten { process: "a".to_owned(), version: 5 }
    },
    lagging = {
        observations("a", &[0, 3]),
        Violation::Lagging { process: "a".to_owned(), version: 3, last: 7 }
    },
    second_process = {
        [observations("a", &[3, 7]), observations("b", &[7, 3, 7])].concat(),
        Violation::VersionDecreased { process: "b".to_owned(), from: 7, to: 3 }
    },
)]
fn invalid_version_in_force_fails(observed: Vec<register::Observation>, expected: Violation) {
    let calls = [write(0, 1, 0, 3), write(2, 3, 3, 7)];
    assert_eq!(register::check(&calls, &observed), [expected]);
}
