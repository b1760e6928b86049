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
        /// Forwards callers' packets to the agents beside the upstreams.
        cmd cassiacross-balancer {
            /// Runs until SIGTERM.
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
    match flags::CassiacrossBalancer::from_env_or_exit().subcommand {
        flags::CassiacrossBalancerCmd::Run(run) => Command::Run(run.settings),
        flags::CassiacrossBalancerCmd::CheckSettings(check) => {
            Command::CheckSettings(check.settings)
        }
    }
}
