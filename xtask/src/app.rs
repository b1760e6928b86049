//! Command line of the developer commands.

use tokio::{runtime, signal, signal::unix, task};

use crate::{demo, measure, prove, release, soak};

/// The parsed command line.
mod flags {
    xflags::xflags! {
        /// Developer commands of cassiacross.
        cmd xtask {
            /// Runs a whole fleet on this machine and ends by itself.
            ///
            /// Exit status 0 if no rule was broken and each request is accounted for.
            cmd demo {
                /// Fewer processes and less work.
                optional --small
                /// Prints a JSON object as the last line.
                optional --json
                /// Keeps the fleet up until interrupted, and prints its addresses.
                optional --hold
                /// Seed of arrivals and fabric, 1 by default.
                optional --seed seed: u64
                /// Seconds of load.
                optional --seconds seconds: u64
            }
            /// Measures a rule against its absence over a whole fleet.
            ///
            /// Names: imbalance, flood-bulk, flood-urgent, recovery, change, exchange, packets.
            /// Exit status 0 if the target was met.
            cmd measure {
                /// Name of the measurement.
                required name: String
                /// Prints a JSON object as the last line.
                optional --json
                /// Seed of arrivals and fabric, 1 by default.
                optional --seed seed: u64
            }
            /// Mixes faults into the work of a small fleet and checks what must always hold.
            ///
            /// Exit status 0 if nothing was violated and each kind of fault was injected.
            cmd prove {
                /// Prints a JSON object as the last line.
                optional --json
                /// Seed of faults, arrivals and fabric, 1 by default.
                optional --seed seed: u64
                /// Seconds of load, 60 by default.
                optional --seconds seconds: u64
            }
            /// Runs the platform's roles as processes under random faults, and checks their promises.
            ///
            /// Exit status 0 if none was broken.
            cmd soak {
                /// Prints a JSON object as the last line.
                optional --json
                /// Seed of faults and work, 1 by default.
                optional --seed seed: u64
                /// Seconds of faults, 30 by default.
                optional --seconds seconds: u64
            }
        }
    }
}

/// Runs the command; false if it ran and its checks failed.
pub fn run() -> anyhow::Result<bool> {
    let flags = flags::Xtask::from_env_or_exit();
    release::build()?;
    let runtime = runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        tokio::select! {
            result = dispatch(flags.subcommand) => result,
            result = interrupted() => result,
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

/// Ends the command by dropping what it started.
async fn interrupted() -> anyhow::Result<bool> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    tokio::select! {
        result = signal::ctrl_c() => result?,
        _ = terminate.recv() => {}
    }
    anyhow::bail!("interrupted")
}
