//! Linearizability and consistency checker for versioned registers, such as service records.
//!
//! Reads and writes at the store must be linearizable, which the Wing-Gong-Lowe algorithm of
//! `todc-utils` checks. The version in force in a process may lag behind the store, but it must
//! never decrease, must have been written, and must reach the last accepted write in the end.

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

/// A version number with the ID of the change that wrote it; version 0 is the empty register.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Version {
    /// Version number assigned by the store.
    pub number: u64,
    /// ID of the change.
    pub change: String,
}

/// An operation on the store and its result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    /// An accepted conditional write.
    Accepted {
        /// Version on which the write was conditional; 0 for a creation.
        expected: u64,
        /// Version that the write created.
        written: Version,
    },
    /// A conditional write that was rejected because its condition failed.
    Refused {
        /// Version on which the write was conditional.
        expected: u64,
    },
    /// A conditional write without a response, so that its result is unknown.
    Undecided {
        /// Version on which the write was conditional.
        expected: u64,
        /// ID of the change.
        change: String,
    },
    /// A read that returned this version.
    Read(Version),
}

/// An operation with the times of its request and response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Number of the calling process.
    pub process: usize,
    /// Time when the request was sent.
    pub invoked: clock::Millis,
    /// Time when the response arrived.
    pub completed: clock::Millis,
    /// Operation and result.
    pub operation: Operation,
}

/// A version that was observed in force in a process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Observation {
    /// Process name.
    pub process: String,
    /// Time of the observation.
    pub at: clock::Millis,
    /// Version in force.
    pub version: Version,
}

/// A violated property of a register history.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Violation {
    /// No sequential order of the store operations is consistent with their times.
    #[error("operations at the store are not linearizable")]
    NotLinearizable,
    /// The version in force in a process decreased.
    #[error("version in force in {process} decreased from {from} to {to}")]
    VersionDecreased {
        /// Process name.
        process: String,
        /// Version in force before.
        from: u64,
        /// Version in force after.
        to: u64,
    },
    /// A process has a version in force that was never written.
    #[error("version {version} in force in {process} was never written")]
    NeverWritten {
        /// Process name.
        process: String,
        /// Version in force.
        version: u64,
    },
    /// The last observed version of a process is older than the last accepted write.
    #[error(
        "last observed version of {process} is {version}, but the last accepted version is {last}"
    )]
    Lagging {
        /// Process name.
        process: String,
        /// Version in force.
        version: u64,
        /// Last accepted version.
        last: u64,
    },
}

/// Checks the history of one register: store operations and the versions in force in each process.
///
/// The last observation of each process must have at least the last version written by `calls`.
#[must_use]
pub fn check(calls: &[Call], observations: &[Observation]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let observed = observed_versions(calls, observations);
    if !is_linearizable(calls, &observed) {
        violations.push(Violation::NotLinearizable);
    }
    let written = written_versions(calls, &observed);
    let mut sorted: Vec<_> = observations.iter().collect();
    sorted.sort_by_key(|observation| (&observation.process, observation.at));
    for group in sorted.chunk_by(|a, b| a.process == b.process) {
        check_process(group, &written, &mut violations);
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
                let is_valid = *expected == state.number && written.number > state.number;
                (is_valid, written.clone())
            }
            Operation::Refused { expected } => (*expected != state.number, state.clone()),
            Operation::Undecided { .. } => (true, state.clone()),
            Operation::Read(version) => (version == state, state.clone()),
        }
    }
}

fn is_linearizable(calls: &[Call], observed: &BTreeSet<Version>) -> bool {
    let calls: Vec<_> = calls
        .iter()
        .filter_map(|call| resolve_undecided(call, observed))
        .collect();
    let mut boundaries: Vec<_> = calls
        .iter()
        .enumerate()
        .flat_map(|(index, call)| [(call.invoked, false, index), (call.completed, true, index)])
        .collect();
    boundaries.sort_unstable();
    if boundaries.is_empty() {
        return true;
    }
    // The checker allows one pending operation per process, so each call gets its own process.
    let actions = boundaries
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

/// Resolves an undecided write: accepted if its version was observed, otherwise without effect.
fn resolve_undecided(call: &Call, observed: &BTreeSet<Version>) -> Option<Call> {
    let Operation::Undecided { expected, change } = &call.operation else {
        return Some(call.clone());
    };
    let written = observed.iter().find(|version| version.change == *change)?;
    Some(Call {
        completed: clock::Millis(u64::MAX),
        operation: Operation::Accepted {
            expected: *expected,
            written: written.clone(),
        },
        ..call.clone()
    })
}

fn observed_versions(calls: &[Call], observations: &[Observation]) -> BTreeSet<Version> {
    let reads = calls.iter().filter_map(|call| match &call.operation {
        Operation::Read(version) => Some(version),
        _ => None,
    });
    reads
        .chain(observations.iter().map(|observation| &observation.version))
        .cloned()
        .collect()
}

fn written_versions(calls: &[Call], observed: &BTreeSet<Version>) -> BTreeSet<Version> {
    calls
        .iter()
        .filter_map(|call| resolve_undecided(call, observed))
        .filter_map(|call| match call.operation {
            Operation::Accepted { written, .. } => Some(written),
            _ => None,
        })
        .collect()
}

fn check_process(
    observations: &[&Observation],
    written: &BTreeSet<Version>,
    violations: &mut Vec<Violation>,
) {
    for pair in observations.windows(2) {
        let (from, to) = (pair[0].version.number, pair[1].version.number);
        if to < from {
            violations.push(Violation::VersionDecreased {
                process: pair[0].process.clone(),
                from,
                to,
            });
        }
    }
    for observation in observations {
        if observation.version.number != 0 && !written.contains(&observation.version) {
            violations.push(Violation::NeverWritten {
                process: observation.process.clone(),
                version: observation.version.number,
            });
        }
    }
    let (Some(end), Some(last)) = (observations.last(), written.last()) else {
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
