//! Command line.

use std::path::PathBuf;

/// What the operator asks for.
#[derive(Debug)]
pub(crate) enum Command {
    /// Run until SIGTERM.
    Run(PathBuf),
    /// Check the settings and exit.
    CheckSettings(PathBuf),
}

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Ends callers' flows beside one upstream and runs their requests on it.
        cmd cassiacross-agent {
            /// Runs until SIGTERM; a second SIGTERM stops at once.
            cmd run {
                /// Path of the settings, in JSON.
                required --settings path: PathBuf
            }
            /// Checks the settings and exits.
            cmd check-settings {
                /// Path of the settings, in JSON.
                required --settings path: PathBuf
            }
        }
    }
}

/// Reads the command line; exits with a message if it has faults.
pub(crate) fn parse() -> Command {
    match flags::CassiacrossAgent::from_env_or_exit().subcommand {
        flags::CassiacrossAgentCmd::Run(run) => Command::Run(run.settings),
        flags::CassiacrossAgentCmd::CheckSettings(check) => Command::CheckSettings(check.settings),
    }
}
