//! The upstream stand-in as a process.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf, time::Duration};

use serde_json::json;
use standins::upstream;
use tokio::{
    signal::unix::{self, SignalKind},
    time,
};

xflags::xflags! {
    /// Runs an upstream.
    cmd upstream {
        /// Name of the upstream.
        required --name name: String
        /// Service that it serves.
        required --service service: String
        /// Address of requests.
        optional --http http: SocketAddr
        /// Address of ledger and faults.
        optional --control control: SocketAddr
        /// Local address of its agent.
        optional --agent agent: SocketAddr
        /// Requests that run at once.
        optional --slots slots: usize
        /// Connections that are open at once.
        optional --connections connections: usize
        /// Factor on the speed of work.
        optional --speed speed: f64
        /// Requests after the start that run ten times as long.
        optional --cold-requests count: u32
        /// Age of the figures of /load, in milliseconds.
        optional --load-lag-ms lag: u64
        /// File that gets a line for each run, before its work.
        optional --ledger path: PathBuf
        /// How long feeds stay after SIGTERM, in milliseconds.
        optional --drain-ms drain: u64
    }
}

const DRAIN_MS: u64 = 60_000;
const LAST_ANNOUNCEMENT: Duration = Duration::from_secs(2);

/// Runs the upstream until it is told to stop.
pub(crate) async fn run(args: Vec<OsString>) -> anyhow::Result<()> {
    let flags = Upstream::from_vec(args)?;
    let drain = Duration::from_millis(flags.drain_ms.unwrap_or(DRAIN_MS));
    let agent = flags.agent;
    let running = upstream::start(options(flags)).await?;
    let mut terminate = unix::signal(SignalKind::terminate())?;
    println!(
        "{}",
        json!({ "http": running.http, "control": running.control })
    );
    let announcing = agent.map(|agent| tokio::spawn(upstream::announce(running.clone(), agent)));
    terminate.recv().await;
    running.drain(drain).await;
    if let Some(announcing) = announcing {
        drop(time::timeout(LAST_ANNOUNCEMENT, announcing).await);
    }
    Ok(())
}

fn options(flags: Upstream) -> upstream::Options {
    let default = upstream::Options::default();
    upstream::Options {
        name: flags.name,
        service: flags.service,
        http: flags.http.unwrap_or(default.http),
        control: flags.control.unwrap_or(default.control),
        slots: flags.slots.unwrap_or(default.slots),
        connections: flags.connections.unwrap_or(default.connections),
        speed: flags.speed.unwrap_or(default.speed),
        cold_requests: flags.cold_requests.unwrap_or(default.cold_requests),
        load_lag: flags
            .load_lag_ms
            .map_or(default.load_lag, Duration::from_millis),
        ledger: flags.ledger,
    }
}
