//! The `standin upstream` command: runs a simulated upstream.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf, time::Duration};

use serde_json::json;
use standins::upstream;
use tokio::{
    signal::unix::{self, SignalKind},
    time,
};

xflags::xflags! {
    /// Runs a simulated upstream that announces itself to its agent.
    cmd upstream {
        /// Upstream name.
        required --name name: String
        /// Name of the service that the upstream belongs to.
        required --service service: String
        /// Listen address for requests.
        optional --http http: SocketAddr
        /// Listen address for the control port (execution ledger and fault injection).
        optional --control control: SocketAddr
        /// Local address of the agent that receives the announcements.
        optional --agent agent: SocketAddr
        /// Maximum number of concurrently executing requests.
        optional --slots slots: usize
        /// Maximum number of open connections to announce.
        optional --connections connections: usize
        /// Speed factor; the service time of a request is divided by it.
        optional --speed speed: f64
        /// Number of requests after the start that take ten times as long (cold start).
        optional --cold-requests count: u32
        /// Refresh interval of the values that /load returns, in milliseconds.
        optional --load-lag-ms lag: u64
        /// Ledger file; one line per execution, appended before the work starts.
        optional --ledger path: PathBuf
        /// Drain timeout for open feeds after SIGTERM, in milliseconds.
        optional --drain-ms drain: u64
    }
}

const DRAIN_MS: u64 = 60_000;
const LAST_ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs the upstream until SIGTERM, then drains its connections.
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
        drop(time::timeout(LAST_ANNOUNCE_TIMEOUT, announcing).await);
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
