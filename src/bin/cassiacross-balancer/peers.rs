//! HTTP calls to other balancers: joining the fleet, full syncs of the membership tables, and
//! pulling configuration records.

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

/// Timeout of one HTTP call to another balancer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest response body, in bytes.
const MAX_RESPONSE_LEN: usize = 16 << 20;
/// Failed join attempts after which the balancer counts as joined without a peer.
const MAX_JOIN_ATTEMPTS: u32 = 5;
/// Maximum number of balancers that one join attempt tries.
const MAX_JOIN_CANDIDATES: usize = 8;

/// HTTP client for other balancers, with the fleet's bearer token.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    client: reqwest::Client,
    token: String,
}

impl Peers {
    /// Creates a client with the bearer token of one fleet.
    pub(crate) fn new(token: String) -> anyhow::Result<Self> {
        let client = reqwest::Client::builder()
            .timeout(CALL_TIMEOUT)
            .no_proxy()
            .build()
            .context("cannot create the HTTP client")?;
        Ok(Self { client, token })
    }

    /// Executes an action that needs an HTTP call, in a task of its own; a failure is logged.
    pub(crate) fn spawn_action(&self, shared: &shared::Shared, action: Action) {
        let (peers, shared) = (self.clone(), shared.clone());
        tokio::spawn(async move {
            if let Err(error) = peers.execute(&shared, action).await {
                log::warn!(error:? = error; "full sync or record pull from another balancer failed");
            }
        });
    }

    /// Runs a full sync with a seed or a balancer registered with the platform until the balancer
    /// has joined, and again whenever no live peer is known.
    ///
    /// The balancer counts as joined without a peer once [`MAX_JOIN_ATTEMPTS`] have failed, or at
    /// once if there is no balancer to try.
    pub(crate) async fn join(
        &self,
        shared: &shared::Shared,
        seeds: &[SocketAddrV4],
        platform: &platform::Client,
        period: Duration,
    ) {
        let mut attempts = 0;
        loop {
            if !shared.is_joined() || !has_live_peer(shared) {
                attempts += 1;
                let candidates = join_candidates(shared, seeds, platform).await;
                let joined = self.sync_any(shared, &candidates).await;
                if joined || candidates.is_empty() || attempts >= MAX_JOIN_ATTEMPTS {
                    let now = shared.now();
                    shared.balancer().skip_sync(now);
                    shared.set_joined();
                }
            }
            time::sleep(period).await;
        }
    }

    /// Runs a full sync with the first of these balancers that answers; returns whether one did.
    async fn sync_any(&self, shared: &shared::Shared, seeds: &[SocketAddrV4]) -> bool {
        for seed in seeds {
            match self.sync(shared, *seed).await {
                Ok(()) => {
                    log::debug!(seed:% = seed; "full sync succeeded");
                    return true;
                }
                Err(error) => log::debug!(seed:% = seed, error:? = error; "full sync failed"),
            }
        }
        false
    }

    async fn execute(&self, shared: &shared::Shared, action: Action) -> anyhow::Result<()> {
        match action {
            Action::Sync { from } => self.sync(shared, from).await,
            Action::PullRecords { from, names } => self.pull_records(shared, from, &names).await,
            Action::Send { .. } => Ok(()),
        }
    }

    /// Runs a full sync with a balancer and pulls the records that are newer there.
    async fn sync(&self, shared: &shared::Shared, from: SocketAddrV4) -> anyhow::Result<()> {
        let request = exchange::sync_request(shared.balancer().tables());
        let sync = self.call(from, "fleet/sync", &request).await?;
        shared.metrics().full_syncs.inc();
        let now = shared.now();
        let actions = shared.balancer().apply_sync(&sync, from, now);
        for action in actions {
            if let Action::PullRecords { from, names } = action {
                self.pull_records(shared, from, &names).await?;
            }
        }
        Ok(())
    }

    /// Pulls records by name and applies those that are newer.
    async fn pull_records(
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

    /// Posts a `MessagePack` request and decodes the response.
    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        to: SocketAddrV4,
        path: &str,
        request: &Q,
    ) -> anyhow::Result<A> {
        let mut response = self
            .client
            .post(format!("http://{to}/{path}"))
            .bearer_auth(&self.token)
            .body(exchange::encode(request))
            .send()
            .await?
            .error_for_status()?;
        let mut body = Vec::new();
        while let Some(chunk) = response.chunk().await? {
            anyhow::ensure!(
                body.len() + chunk.len() <= MAX_RESPONSE_LEN,
                "response is longer than {MAX_RESPONSE_LEN} bytes"
            );
            body.extend_from_slice(&chunk);
        }
        rmp_serde::from_slice(&body).context("cannot decode the response")
    }
}

/// Returns the balancers to join through: the seeds in their order, then registered balancers in
/// random order, at most [`MAX_JOIN_CANDIDATES`] in total.
async fn join_candidates(
    shared: &shared::Shared,
    seeds: &[SocketAddrV4],
    platform: &platform::Client,
) -> Vec<SocketAddrV4> {
    let own = shared.balancer().tables().own().http;
    let mut registered = configuration::registered_balancers(platform).await;
    registered.shuffle(&mut rand::rng());
    let mut all = seeds.to_vec();
    all.extend(registered);
    all.retain(|seed| *seed != own);
    all.truncate(MAX_JOIN_CANDIDATES);
    all
}

/// Returns whether a live balancer other than this one is known.
fn has_live_peer(shared: &shared::Shared) -> bool {
    let now = shared.now();
    let balancer = shared.balancer();
    let tables = balancer.tables();
    let own = tables.own().node;
    tables
        .balancers()
        .iter()
        .any(|row| row.balancer.node != own && row.is_live(tables.timing(), now))
}
