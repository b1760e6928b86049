//! Dispatches to the stand-in named on the command line.

use std::{env, ffi::OsString};

use anyhow::{Context, bail};
use serde::Serialize;
use tokio::signal::unix::{SignalKind, signal};

use crate::{fabric, platform, upstream};

/// Runs the stand-in named by the first command-line argument until SIGTERM or SIGINT.
pub(crate) async fn run() -> anyhow::Result<()> {
    let mut args = env::args_os().skip(1);
    let name = args
        .next()
        .context("missing argument: name of the stand-in (fabric, platform or upstream)")?;
    let args: Vec<OsString> = args.collect();
    match name.to_string_lossy().as_ref() {
        "fabric" => fabric::run(args).await,
        "platform" => platform::run(args).await,
        "upstream" => upstream::run(args).await,
        other => bail!("unknown stand-in `{other}`; expected fabric, platform or upstream"),
    }
}

/// Prints the bound addresses as one line of JSON on standard output.
pub(crate) fn print_addresses(addresses: &impl Serialize) -> anyhow::Result<()> {
    println!("{}", serde_json::to_string(addresses)?);
    Ok(())
}

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn wait_shutdown() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
