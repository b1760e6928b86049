//! Release build of the binaries that the developer commands start.

use std::{env, process};

use anyhow::Context;

/// Builds all binaries of the workspace in release mode, into the directory of this executable.
pub fn build() -> anyhow::Result<()> {
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let status = process::Command::new(cargo)
        .args(["build", "--quiet", "--release", "--workspace", "--bins"])
        .status()
        .context("cannot run cargo to build the binaries")?;
    anyhow::ensure!(
        status.success(),
        "building the workspace binaries failed: {status}"
    );
    Ok(())
}
