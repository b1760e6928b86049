//! The balancer daemon: forwards callers' packets to agents.

mod app;
mod cli;
mod configuration;
mod control;
mod http;
mod metrics;
mod packets;
mod peers;
mod shared;

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    env_logger::init();
    match app::run(cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cassiacross-balancer: {error:#}");
            ExitCode::FAILURE
        }
    }
}
