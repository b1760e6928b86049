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

use std::{env, process::ExitCode};

use cassiacross::version;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    if let Some(line) = version::version_line("cassiacross-agent", env::args_os().nth(1).as_deref())
    {
        println!("{line}");
        return ExitCode::SUCCESS;
    }
    env_logger::init();
    match app::run(cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cassiacross-agent: {error:#}");
            ExitCode::FAILURE
        }
    }
}
