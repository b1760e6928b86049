//! Builds the binaries that the commands run.

use std::{env, process};

use anyhow::Context;

/// Builds the workspace's binaries in release mode, beside this one.
pub fn build() -> anyhow::Result<()> {
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let status = process::Command::new(cargo)
        .args(["build", "--quiet", "--release", "--workspace", "--bins"])
        .status()
        .context("cargo cannot be run")?;
    anyhow::ensure!(status.success(), "the binaries cannot be built");
    Ok(())
}
