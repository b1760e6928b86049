//! The agent daemon: ends callers' flows beside one upstream.

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
    if let Some(answer) =
        version::version_line("cassiacross-agent", env::args_os().nth(1).as_deref())
    {
        println!("{answer}");
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
