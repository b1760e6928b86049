//! The agent daemon: terminates callers' TCP flows on the host of one upstream and relays
//! them to it.

mod app;
mod balancer_client;
mod cli;
mod control;
mod counters;
mod datagrams;
mod drain;
mod http;
mod shared;

use std::process::ExitCode;

use cassiacross::daemon;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    daemon::main("cassiacross-agent", || {
        env_logger::init();
        app::run(cli::parse())
    })
}
