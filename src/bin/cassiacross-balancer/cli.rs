//! Command line of the balancer.

use cassiacross::daemon::Command;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Forwards callers' packets to the agents of the upstreams.
        cmd cassiacross-balancer {
            /// Runs until SIGTERM, then drains and exits.
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
    match flags::CassiacrossBalancer::from_env_or_exit().subcommand {
        flags::CassiacrossBalancerCmd::Run(run) => Command::Run(run.settings),
        flags::CassiacrossBalancerCmd::CheckSettings(check) => {
            Command::CheckSettings(check.settings)
        }
    }
}
