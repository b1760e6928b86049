//! Calls to other balancers over HTTP.

use std::{net::SocketAddrV4, time::Duration};

use anyhow::Context;
use cassiacross::{
    exchange::{self, Action},
    platform, record_table,
};
use rand::seq::SliceRandom;
use serde::{Serialize, de::DeserializeOwned};
use tokio::time;

use crate::{configuration, shared};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_ANSWER: usize = 16 << 20;
const MAX_JOIN_ATTEMPTS: u32 = 5;
const MAX_SEEDS: usize = 8;

/// Calls other balancers with the fleet's bearer text.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    client: reqwest::Client,
    bearer: String,
}

impl Peers {
    /// A client for the balancers of one fleet.
    pub(crate) fn new(bearer: String) -> anyhow::Result<Self> {
        let client = reqwest::Client::builder()
            .timeout(CALL_TIMEOUT)
            .no_proxy()
            .build()
            .context("HTTP client cannot be made")?;
        Ok(Self { client, bearer })
    }

    /// Carries out an action that takes a call, in its own task.
    pub(crate) fn spawn_action(&self, shared: &shared::Shared, action: Action) {
        let (peers, shared) = (self.clone(), shared.clone());
        tokio::spawn(async move {
            if let Err(error) = peers.carry_out(&shared, action).await {
                log::warn!(error:? = error; "call to a balancer failed");
            }
        });
    }

    /// Takes everything from a seed, or a balancer that the platform knows, whenever
    /// no peer is known.
    ///
    /// Without one that answers, the balancer stands alone after [`MAX_JOIN_ATTEMPTS`] and
    /// goes on trying.
    pub(crate) async fn join(
        &self,
        shared: &shared::Shared,
        seeds: &[SocketAddrV4],
        registry: &platform::Client,
        period: Duration,
    ) {
        let mut tries = 0;
        loop {
            if !shared.is_joined() || !has_peer(shared) {
                tries += 1;
                let seeds = candidates(shared, seeds, registry).await;
                let joined = self.join_once(shared, &seeds).await;
                if joined || seeds.is_empty() || tries >= MAX_JOIN_ATTEMPTS {
                    let now = shared.now();
                    shared.balancer().skip_sync(now);
                    shared.set_joined();
                }
            }
            time::sleep(period).await;
        }
    }

    async fn join_once(&self, shared: &shared::Shared, seeds: &[SocketAddrV4]) -> bool {
        for seed in seeds {
            match self.sync(shared, *seed).await {
                Ok(()) => {
                    log::debug!(seed:% = seed; "took the tables of a seed");
                    return true;
                }
                Err(error) => log::debug!(seed:% = seed, error:? = error; "seed does not answer"),
            }
        }
        false
    }

    async fn carry_out(&self, shared: &shared::Shared, action: Action) -> anyhow::Result<()> {
        match action {
            Action::Sync { from } => self.sync(shared, from).await,
            Action::PullRecords { from, names } => self.pull(shared, from, &names).await,
            Action::Send { .. } => Ok(()),
        }
    }

    async fn sync(&self, shared: &shared::Shared, from: SocketAddrV4) -> anyhow::Result<()> {
        let request = exchange::sync_request(shared.balancer().tables());
        let sync = self.call(from, "fleet/sync", &request).await?;
        shared.metrics().full_syncs.inc();
        let now = shared.now();
        let actions = shared.balancer().apply_sync(&sync, from, now);
        for action in actions {
            if let Action::PullRecords { from, names } = action {
                self.pull(shared, from, &names).await?;
            }
        }
        Ok(())
    }

    /// Pulls records by name and puts the newer ones in force.
    async fn pull(
        &self,
        shared: &shared::Shared,
        from: SocketAddrV4,
        names: &[String],
    ) -> anyhow::Result<()> {
        let pulled: Vec<record_table::VersionedRecord> =
            self.call(from, "fleet/records", &names).await?;
        shared.apply_records(&pulled);
        Ok(())
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        to: SocketAddrV4,
        path: &str,
        request: &Q,
    ) -> anyhow::Result<A> {
        let mut response = self
            .client
            .post(format!("http://{to}/{path}"))
            .bearer_auth(&self.bearer)
            .body(exchange::encode(request))
            .send()
            .await?
            .error_for_status()?;
        let mut body = Vec::new();
        while let Some(chunk) = response.chunk().await? {
            anyhow::ensure!(body.len() + chunk.len() <= MAX_ANSWER, "answer is too long");
            body.extend_from_slice(&chunk);
        }
        rmp_serde::from_slice(&body).context("answer cannot be read")
    }
}

/// Balancers to join through: the seeds in their order, then some that the platform knows.
async fn candidates(
    shared: &shared::Shared,
    seeds: &[SocketAddrV4],
    registry: &platform::Client,
) -> Vec<SocketAddrV4> {
    let me = shared.balancer().tables().own().http;
    let mut known = configuration::registered_balancers(registry).await;
    known.shuffle(&mut rand::rng());
    let mut all = seeds.to_vec();
    all.extend(known);
    all.retain(|seed| *seed != me);
    all.truncate(MAX_SEEDS);
    all
}

fn has_peer(shared: &shared::Shared) -> bool {
    let now = shared.now();
    let balancer = shared.balancer();
    let tables = balancer.tables();
    let me = tables.own().node;
    tables
        .balancers()
        .iter()
        .any(|row| row.balancer.node != me && row.is_live(tables.timing(), now))
}
