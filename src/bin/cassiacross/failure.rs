//! Failures and their exit codes.

use std::process::ExitCode;

use cassiacross::admin_reply;
use thiserror::Error;

/// Why a command did not do what it was asked for.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// A file, flag or answer cannot be used.
    #[error("{0:#}")]
    Use(#[from] anyhow::Error),
    /// The record has faults.
    #[error("the record has faults:{}", lines(.0))]
    Faults(Vec<String>),
    /// Somebody else changed the record.
    #[error("the record has changed, it is at version {version} now; nothing was written")]
    Conflict {
        /// The record's version.
        version: u64,
    },
    /// Nobody can say whether the change has taken effect.
    #[error(
        "undecided: change {id} may have taken effect or may yet; ask with `cassiacross change {id}`, or repeat the command with --change {id}"
    )]
    Undecided {
        /// The change's id.
        id: String,
    },
    /// No balancer could do it; nothing was written.
    #[error("nothing was written:{}", lines(.0))]
    Unavailable(Vec<String>),
    /// Processes have not the newest versions.
    #[error("{0} of the processes or records lag")]
    Lag(usize),
    /// There is no such record.
    #[error("{}", .0.error)]
    Missing(admin_reply::ErrorBody),
}

impl Failure {
    /// The process's exit code.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Use(_) => 1,
            Self::Faults(_) => 2,
            Self::Conflict { .. } => 3,
            Self::Undecided { .. } => 4,
            Self::Unavailable(_) => 5,
            Self::Lag(_) => 6,
            Self::Missing(_) => 7,
        })
    }
}

fn lines(texts: &[String]) -> String {
    let lines: Vec<_> = texts.iter().map(|text| format!("\n  {text}")).collect();
    lines.concat()
}
