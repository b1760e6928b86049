//! Command-line tool for operators: writes service records and shows which versions are
//! active in the fleet.

mod access;
mod app;
mod cli;
mod client;
mod failure;
mod version_lag;

use std::{env, process::ExitCode};

use cassiacross::version;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    if let Some(text) = version::version_line("cassiacross", env::args_os().nth(1).as_deref()) {
        println!("{text}");
        return ExitCode::SUCCESS;
    }
    match app::run(cli::Cassiacross::from_env_or_exit()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("cassiacross: {failure}");
            failure.exit_code()
        }
    }
}
