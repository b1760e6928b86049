//! Command line of the developer commands: parses the flags and runs the chosen command.

use tokio::{runtime, signal, signal::unix, task};

use crate::{demo, measure, prove, release, soak};

/// Command line grammar, from which `xflags` generates the parser.
mod flags {
    xflags::xflags! {
        /// Developer commands of cassiacross.
        cmd xtask {
            /// Runs a complete fleet on this machine under load for a limited time.
            ///
            /// Exits with status 0 if every check passed and every request is accounted for.
            cmd demo {
                /// Starts fewer processes and sends fewer requests.
                optional --small
                /// Prints a JSON object as the last line.
                optional --json
                /// Prints the addresses of the fleet and keeps it running until interrupted.
                optional --hold
                /// Seed of the request arrivals and the fabric, 1 by default.
                optional --seed seed: u64
                /// Duration of the load in seconds, 20 by default, 9 with `--small`.
                optional --seconds seconds: u64
            }
            /// Runs a measurement; most compare a fleet with a mechanism switched on and off.
            ///
            /// Names: imbalance, flood-bulk, flood-urgent, recovery, change, exchange, packets.
            /// Exits with status 0 if the target was met.
            cmd measure {
                /// Name of the measurement.
                required name: String
                /// Prints a JSON object as the last line.
                optional --json
                /// Seed of the request arrivals and the fabric, 1 by default.
                optional --seed seed: u64
            }
            /// Injects faults into a small fleet under load and checks its invariants.
            ///
            /// Exits with status 0 if no invariant was violated and each kind of fault was
            /// injected.
            cmd prove {
                /// Prints a JSON object as the last line.
                optional --json
                /// Seed of the faults, the request arrivals and the fabric, 1 by default.
                optional --seed seed: u64
                /// Minimum duration of the load in seconds, 60 by default.
                optional --seconds seconds: u64
            }
            /// Runs the platform's balancers and agents under random faults and checks their
            /// guarantees.
            ///
            /// Exits with status 0 if no guarantee was violated.
            cmd soak {
                /// Prints a JSON object as the last line.
                optional --json
                /// Seed of the faults and the requests, 1 by default.
                optional --seed seed: u64
                /// Minimum duration of the fault injection in seconds, 30 by default.
                optional --seconds seconds: u64
            }
        }
    }
}

/// Parses the command line, builds the binaries and runs the command.
///
/// Returns false if the command completed but its checks failed.
pub fn run() -> anyhow::Result<bool> {
    let flags = flags::Xtask::from_env_or_exit();
    release::build()?;
    let runtime = runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        tokio::select! {
            result = dispatch(flags.subcommand) => result,
            result = wait_for_signal() => result,
        }
    })
}

async fn dispatch(command: flags::XtaskCmd) -> anyhow::Result<bool> {
    match command {
        flags::XtaskCmd::Demo(demo) => {
            demo::run(demo::Options {
                small: demo.small,
                json: demo.json,
                hold: demo.hold,
                seed: demo.seed.unwrap_or(1),
                seconds: demo.seconds,
            })
            .await
        }
        flags::XtaskCmd::Measure(measure) => {
            let options = measure::Options {
                json: measure.json,
                seed: measure.seed.unwrap_or(1),
            };
            measure::run(&measure.name, options).await
        }
        flags::XtaskCmd::Prove(prove) => {
            prove::run(prove::Options {
                json: prove.json,
                seed: prove.seed.unwrap_or(1),
                seconds: prove.seconds.unwrap_or(prove::DEFAULT_SECONDS),
            })
            .await
        }
        flags::XtaskCmd::Soak(soak) => {
            let options = soak::Options {
                json: soak.json,
                seed: soak.seed.unwrap_or(1),
                seconds: soak.seconds.unwrap_or(soak::DEFAULT_SECONDS),
            };
            task::spawn_blocking(move || soak::run(options)).await?
        }
    }
}

/// Waits for SIGINT or SIGTERM and returns an error.
///
/// The error cancels the running command, which drops the processes that it started.
async fn wait_for_signal() -> anyhow::Result<bool> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    tokio::select! {
        result = signal::ctrl_c() => result?,
        _ = terminate.recv() => {}
    }
    anyhow::bail!("interrupted by a signal")
}
