//! Failures of commands and their exit codes.

use std::process::ExitCode;

use cassiacross::admin_reply;
use thiserror::Error;

/// The reason why a command failed.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// An argument is invalid, a file cannot be read or a response is unexpected.
    #[error("{0:#}")]
    Other(#[from] anyhow::Error),
    /// The record is invalid; holds the error messages.
    #[error("record is invalid:{}", format_lines(.0))]
    InvalidRecord(Vec<String>),
    /// The record is not at the required version.
    #[error("precondition failed: the record was found at version {version}; nothing was written")]
    Conflict {
        /// Version of the record when it was read, 0 for none.
        version: u64,
    },
    /// The outcome of the change is unknown.
    #[error(
        "outcome unknown: change {id} may have taken effect or may still do so; query it with `cassiacross change {id}`, or repeat the command with --change {id}"
    )]
    Undecided {
        /// Change id.
        id: String,
    },
    /// No balancer could complete the request; holds the errors of all balancers.
    #[error("no balancer could complete the request; nothing was written:{}", format_lines(.0))]
    Unavailable(Vec<String>),
    /// Number of processes or records that are unreachable or out of date.
    #[error("{0} processes or records are unreachable or out of date")]
    OutOfDate(usize),
    /// The record does not exist.
    #[error("{}", .0.error)]
    NotFound(admin_reply::ErrorBody),
}

impl Failure {
    /// Returns the exit code of the process.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Other(_) => 1,
            Self::InvalidRecord(_) => 2,
            Self::Conflict { .. } => 3,
            Self::Undecided { .. } => 4,
            Self::Unavailable(_) => 5,
            Self::OutOfDate(_) => 6,
            Self::NotFound(_) => 7,
        })
    }
}

fn format_lines(texts: &[String]) -> String {
    let lines: Vec<_> = texts.iter().map(|text| format!("\n  {text}")).collect();
    lines.concat()
}
