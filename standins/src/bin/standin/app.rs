//! Picks the stand-in and runs it until it is told to stop.

use std::{env, ffi::OsString};

use anyhow::{Context, bail};
use serde::Serialize;
use tokio::signal::unix::{SignalKind, signal};

use crate::platform;

/// Runs the stand-in that the first argument names.
pub(crate) async fn run() -> anyhow::Result<()> {
    let mut args = env::args_os().skip(1);
    let name = args.next().context("no stand-in was named")?;
    let args: Vec<OsString> = args.collect();
    match name.to_string_lossy().as_ref() {
        "platform" => platform::run(args).await,
        other => bail!("there is no stand-in `{other}`"),
    }
}

/// Prints the line that tells a process's addresses.
pub(crate) fn tell(addresses: &impl Serialize) -> anyhow::Result<()> {
    println!("{}", serde_json::to_string(addresses)?);
    Ok(())
}

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn stopped() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
