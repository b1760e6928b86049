//! Runs a simulated external system of cassiacross; one subcommand per system.

mod app;
mod fabric;
mod platform;
mod upstream;

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    match app::run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
