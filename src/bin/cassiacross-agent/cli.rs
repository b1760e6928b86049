//! Command line of the agent.

use cassiacross::daemon::Command;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Terminates callers' flows on the host of one upstream and relays their requests to it.
        cmd cassiacross-agent {
            /// Runs until SIGTERM, then drains; a second SIGTERM exits with flows still open.
            cmd run {
                /// Path of the settings file, in JSON.
                required --settings path: PathBuf
            }
            /// Validates the settings and exits.
            cmd check-settings {
                /// Path of the settings file, in JSON.
                required --settings path: PathBuf
            }
        }
    }
}

/// Parses the command line; prints an error and exits if it is invalid.
pub(crate) fn parse() -> Command {
    match flags::CassiacrossAgent::from_env_or_exit().subcommand {
        flags::CassiacrossAgentCmd::Run(run) => Command::Run(run.settings),
        flags::CassiacrossAgentCmd::CheckSettings(check) => Command::CheckSettings(check.settings),
    }
}
