//! The balancer daemon: forwards callers' packets from the network fabric to the agents of the
//! upstreams.

mod app;
mod cli;
mod configuration;
mod control;
mod forwarder;
mod http;
mod metrics;
mod peers;
mod shared;

use std::{env, process::ExitCode};

use cassiacross::version;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    if let Some(line) =
        version::version_line("cassiacross-balancer", env::args_os().nth(1).as_deref())
    {
        println!("{line}");
        return ExitCode::SUCCESS;
    }
    env_logger::init();
    match app::run(cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cassiacross-balancer: {error:#}");
            ExitCode::FAILURE
        }
    }
}
