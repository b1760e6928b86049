//! What the starts of the programs have in common: the version flag, the settings file and
//! the report of a failure.

use std::{
    env, fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use anyhow::Context;

use crate::{settings, version};

/// What a daemon is asked to do, with the path of its settings file.
#[derive(Debug)]
pub enum Command {
    /// Run the daemon.
    Run(PathBuf),
    /// Validate the settings and exit.
    CheckSettings(PathBuf),
}

/// Runs a program, or prints its version if that is its first argument. An error of `run` is
/// printed, and the exit code says that the program failed.
pub fn main(binary: &str, run: impl FnOnce() -> anyhow::Result<()>) -> ExitCode {
    if let Some(line) = version::version_line(binary, env::args_os().nth(1).as_deref()) {
        println!("{line}");
        return ExitCode::SUCCESS;
    }
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{binary}: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a daemon with its settings, or validates them.
///
/// # Errors
///
/// Returns an error if the settings cannot be read or are invalid, and those of `serve`.
pub fn run<T>(
    command: Command,
    parse: impl FnOnce(&str) -> Result<T, settings::Error>,
    serve: impl FnOnce(T) -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    match command {
        Command::CheckSettings(path) => {
            parse(&read_settings(&path)?)?;
            println!("settings are valid");
            Ok(())
        }
        Command::Run(path) => serve(parse(&read_settings(&path)?)?),
    }
}

fn read_settings(path: &Path) -> anyhow::Result<String> {
    fs::read_to_string(path)
        .with_context(|| format!("cannot read settings file {}", path.display()))
}
