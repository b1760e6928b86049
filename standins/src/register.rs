//! Histories of versioned registers, such as the records in the platform.
//!
//! Writes and reads at the store must be linearizable (checked by the
//! Wing-Gong-Lowe algorithm of `todc-utils`). What is in force in a process
//! may lag, but goes only forward, is something that was written, and reaches
//! the last accepted write.

use std::collections::BTreeSet;

use cassiacross::clock;
use thiserror::Error;
use todc_utils::{
    linearizability::{
        WGLChecker,
        history::{Action, History},
    },
    specifications::Specification,
};

/// A version with the identity of the change that wrote it; version 0 is the empty register.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Version {
    /// Version that the store gave.
    pub number: u64,
    /// Identity of the change.
    pub change: String,
}

/// An operation at the store, with its result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    /// A conditional write that was accepted.
    Accepted {
        /// Version that the write asked for; 0 for a creation.
        expected: u64,
        /// What the write made.
        written: Version,
    },
    /// A conditional write whose condition failed.
    Refused {
        /// Version that the write asked for.
        expected: u64,
    },
    /// A conditional write whose answer was lost.
    Undecided {
        /// Version that the write asked for.
        expected: u64,
        /// Identity of the change.
        change: String,
    },
    /// A read.
    Read(Version),
}

/// An operation with its times.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Who called.
    pub process: usize,
    /// When the call was sent.
    pub invoked: clock::Millis,
    /// When its answer came.
    pub completed: clock::Millis,
    /// What was asked and answered.
    pub operation: Operation,
}

/// A version that was seen in force in a process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Observation {
    /// Name of the process.
    pub process: String,
    /// When it was seen.
    pub at: clock::Millis,
    /// What was in force.
    pub version: Version,
}

/// A rule that a register's history broke.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Violation {
    /// The operations at the store have no sequential order that fits their times.
    #[error("operations at the store are not linearizable")]
    NotLinearizable,
    /// A process went back.
    #[error("{process} went back from version {from} to {to}")]
    VersionDecreased {
        /// Name of the process.
        process: String,
        /// Version in force before.
        from: u64,
        /// Version in force after.
        to: u64,
    },
    /// A process holds what was never written.
    #[error("{process} holds version {version}, which nobody wrote")]
    NeverWritten {
        /// Name of the process.
        process: String,
        /// The version that it holds.
        version: u64,
    },
    /// A process does not hold the last accepted write in the end.
    #[error("{process} ends at version {version}, the last accepted one is {last}")]
    Lagging {
        /// Name of the process.
        process: String,
        /// The version that it holds.
        version: u64,
        /// The last accepted version.
        last: u64,
    },
}

/// Checks one register: calls at the store, then what each process had in force.
///
/// The last observation of each process must hold the last version that the
/// calls show.
#[must_use]
pub fn check(calls: &[Call], observations: &[Observation]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let shown = shown(calls, observations);
    if !is_linearizable(calls, &shown) {
        violations.push(Violation::NotLinearizable);
    }
    let written = written(calls, &shown);
    let mut sorted: Vec<_> = observations.iter().collect();
    sorted.sort_by_key(|seen| (&seen.process, seen.at));
    for seen in sorted.chunk_by(|a, b| a.process == b.process) {
        check_process(seen, &written, &mut violations);
    }
    violations
}

struct Register;

impl Specification for Register {
    type State = Version;
    type Operation = Operation;

    fn init() -> Version {
        Version::default()
    }

    fn apply(op: &Operation, state: &Version) -> (bool, Version) {
        match op {
            Operation::Accepted { expected, written } => {
                let fits = *expected == state.number && written.number > state.number;
                (fits, written.clone())
            }
            Operation::Refused { expected } => (*expected != state.number, state.clone()),
            Operation::Undecided { .. } => (true, state.clone()),
            Operation::Read(version) => (version == state, state.clone()),
        }
    }
}

fn is_linearizable(calls: &[Call], shown: &BTreeSet<Version>) -> bool {
    let calls: Vec<_> = calls
        .iter()
        .filter_map(|call| decide(call, shown))
        .collect();
    let mut points: Vec<_> = calls
        .iter()
        .enumerate()
        .flat_map(|(index, call)| [(call.invoked, false, index), (call.completed, true, index)])
        .collect();
    points.sort_unstable();
    if points.is_empty() {
        return true;
    }
    // The checker takes one open call a process; each call gets a process of its own.
    let actions = points
        .into_iter()
        .map(|(_, is_end, index)| {
            let operation = calls[index].operation.clone();
            let action = if is_end {
                Action::Response(operation)
            } else {
                Action::Call(operation)
            };
            (index, action)
        })
        .collect();
    WGLChecker::<Register>::is_linearizable(History::from_actions(actions))
}

/// Settles an undecided write by what others saw: its version if anyone did, else no effect.
fn decide(call: &Call, shown: &BTreeSet<Version>) -> Option<Call> {
    let Operation::Undecided { expected, change } = &call.operation else {
        return Some(call.clone());
    };
    let written = shown.iter().find(|version| version.change == *change)?;
    Some(Call {
        completed: clock::Millis(u64::MAX),
        operation: Operation::Accepted {
            expected: *expected,
            written: written.clone(),
        },
        ..call.clone()
    })
}

fn shown(calls: &[Call], observations: &[Observation]) -> BTreeSet<Version> {
    let reads = calls.iter().filter_map(|call| match &call.operation {
        Operation::Read(version) => Some(version),
        _ => None,
    });
    reads
        .chain(observations.iter().map(|seen| &seen.version))
        .cloned()
        .collect()
}

fn written(calls: &[Call], shown: &BTreeSet<Version>) -> BTreeSet<Version> {
    calls
        .iter()
        .filter_map(|call| decide(call, shown))
        .filter_map(|call| match call.operation {
            Operation::Accepted { written, .. } => Some(written),
            _ => None,
        })
        .collect()
}

fn check_process(
    seen: &[&Observation],
    written: &BTreeSet<Version>,
    violations: &mut Vec<Violation>,
) {
    for pair in seen.windows(2) {
        let (from, to) = (pair[0].version.number, pair[1].version.number);
        if to < from {
            violations.push(Violation::VersionDecreased {
                process: pair[0].process.clone(),
                from,
                to,
            });
        }
    }
    for one in seen {
        if one.version.number != 0 && !written.contains(&one.version) {
            violations.push(Violation::NeverWritten {
                process: one.process.clone(),
                version: one.version.number,
            });
        }
    }
    let (Some(end), Some(last)) = (seen.last(), written.last()) else {
        return;
    };
    if end.version.number < last.number {
        violations.push(Violation::Lagging {
            process: end.process.clone(),
            version: end.version.number,
            last: last.number,
        });
    }
}
