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

use std::process::ExitCode;

use cassiacross::daemon;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    daemon::main("cassiacross-balancer", || {
        env_logger::init();
        app::run(cli::parse())
    })
}
