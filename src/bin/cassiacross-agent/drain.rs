//! Graceful stop.

use std::time::Duration;

use cassiacross::member;
use tokio::{signal::unix, time};

use crate::shared::{Shared, lock};

/// Periods for which a stopping agent stays, so that balancers learn of it.
const MIN_PERIODS: u32 = 5;

const POLL: Duration = Duration::from_millis(50);

/// Takes nothing new and returns once all flows have ended, or at a second SIGTERM.
pub(crate) async fn run(shared: &Shared, terminate: &mut unix::Signal) {
    lock(&shared.upstream).stopping = true;
    shared.set_state(member::State::Draining);
    if let Some(relay) = shared.relay() {
        relay.drain();
    }
    tokio::select! {
        () = ended(shared) => log::info!("all flows have ended"),
        _ = terminate.recv() => log::warn!("agent stops with open flows"),
    }
}

async fn ended(shared: &Shared) {
    time::sleep(shared.settings.common.period.to_duration() * MIN_PERIODS).await;
    while !lock(&shared.flows).open.is_empty() {
        time::sleep(POLL).await;
    }
}
