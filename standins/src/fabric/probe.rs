//! Readiness probes of the balancers.

use std::{net, sync::Arc, time::Duration};

use futures_util::future;
use tokio::time;

use super::{Shared, router::BalancerStatus};

/// Interval between two probes of a balancer.
const PERIOD: Duration = Duration::from_millis(200);
/// Time after which a balancer that has not answered is not ready.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Probes the readiness of each balancer periodically.
pub(super) async fn run(shared: Arc<Shared>) {
    let client = reqwest::Client::builder()
        .no_proxy()
        .timeout(TIMEOUT)
        .build()
        .expect("building a client without TLS does not fail");
    let mut ticks = time::interval(PERIOD);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let listed: Vec<_> = shared.router().listed().cloned().collect();
        let probes = listed.into_iter().map(|status| probe(&client, status));
        for (packets, ready) in future::join_all(probes).await {
            shared.router().set_ready(packets, ready);
        }
    }
}

async fn probe(client: &reqwest::Client, status: BalancerStatus) -> (net::SocketAddrV4, bool) {
    let response = client.get(format!("{}/ready", status.http)).send().await;
    let ready = response.is_ok_and(|response| response.status().is_success());
    if ready != status.ready {
        log::info!(balancer:% = status.packets, ready; "readiness of balancer changed");
    }
    (status.packets, ready)
}
