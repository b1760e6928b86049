//! Developer commands: a demo, fault injection runs, a soak test and measurements.

use std::process::ExitCode;

mod app;
mod demo;
mod measure;
mod prove;
mod release;
mod soak;

fn main() -> ExitCode {
    match app::run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("xtask: {error:#}");
            ExitCode::FAILURE
        }
    }
}
