//! The operator's tool: changes records and shows what is in force where.

mod access;
mod app;
mod calls;
mod cli;
mod failure;
mod lag;

use std::{env, process::ExitCode};

use cassiacross::version;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    if let Some(answer) = version::version_line("cassiacross", env::args_os().nth(1).as_deref()) {
        println!("{answer}");
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
