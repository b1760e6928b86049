//! Graceful shutdown: drains the agent's flows before the process exits.

use std::time::Duration;

use cassiacross::{member, mutex};
use tokio::{signal::unix, time};

use crate::shared::Shared;

/// Shortest drain, in heartbeat periods, so that all balancers learn of the draining state
/// before the agent exits.
const MIN_DRAIN_PERIODS: u32 = 5;

/// Time between two checks for open flows.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Refuses new flows and returns once all open flows have ended, or on a second SIGTERM.
pub(crate) async fn run(shared: &Shared, terminate: &mut unix::Signal) {
    mutex::lock(&shared.upstream).stopping = true;
    shared.set_state(member::State::Draining);
    if let Some(relay) = shared.relay() {
        relay.drain();
    }
    tokio::select! {
        () = wait_until_drained(shared) => log::info!("all flows have ended; agent is drained"),
        _ = terminate.recv() => log::warn!("second SIGTERM; agent exits with flows still open"),
    }
}

async fn wait_until_drained(shared: &Shared) {
    time::sleep(shared.settings.common.period.to_duration() * MIN_DRAIN_PERIODS).await;
    while !mutex::lock(&shared.flows).open.is_empty() {
        time::sleep(POLL_INTERVAL).await;
    }
}
