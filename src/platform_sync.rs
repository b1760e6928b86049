//! Follows what the platform keeps: the configuration and the balancers' addresses.
//!
//! The adapter makes the calls; when to call, how long to wait and what to do
//! after a failure is decided here.

use std::net::SocketAddrV4;

use log::{debug, warn};
use tokio::{
    sync::{mpsc, watch},
    time,
};

use crate::{
    backoff,
    balancer_loop::Event,
    clock::Millis,
    platform::{Consistency, Error},
    routing,
};

/// Time that one watch waits for a change; a connection that fell silent is
/// noticed soon after it.
pub const WAIT: Millis = Millis(5_000);

/// Time between two reads of the balancers' addresses for a node that hears of others.
const PEERS_PERIOD: Millis = Millis(15_000);

/// Time for which a node that hears of nobody waits for those that it called.
const CALLED: Millis = Millis(500);

/// What a process has to ask the platform for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Polling {
    /// The configuration: the process is among those that follow it, or lacks it.
    pub config: bool,
    /// Other balancers' addresses without delay: the process hears of nobody.
    pub peers_now: bool,
}

impl Default for Polling {
    fn default() -> Self {
        Self {
            config: true,
            peers_now: true,
        }
    }
}

/// The configuration as of one revision of the platform.
#[derive(Debug)]
pub struct Snapshot {
    /// The platform's revision.
    pub revision: u64,
    /// The configuration, none where it is not there or has not changed.
    pub config: Option<routing::Config>,
}

/// Calls that an adapter makes.
pub trait PlatformClient {
    /// Reads the configuration.
    fn read_config(&self) -> impl Future<Output = Result<Snapshot, Error>>;

    /// Waits for a change after a revision, `limit` at most.
    fn watch_config(
        &self,
        after: u64,
        limit: Millis,
    ) -> impl Future<Output = Result<Snapshot, Error>>;

    /// Writes a balancer's address, if another one is kept under its name.
    fn register_balancer(
        &self,
        name: &str,
        address: SocketAddrV4,
    ) -> impl Future<Output = Result<(), Error>>;

    /// Reads all balancers' addresses.
    fn read_peers(
        &self,
        consistency: Consistency,
    ) -> impl Future<Output = Result<Vec<SocketAddrV4>, Error>>;
}

/// Tells the calls of a change of duty.
pub fn set_polling(duty: &watch::Sender<Polling>, now: Polling) {
    duty.send_if_modified(|last| std::mem::replace(last, now) != now);
}

/// Hands each configuration to the loop while it is this process's duty, until the
/// loop is gone.
pub async fn follow_config(
    calls: &impl PlatformClient,
    seed: u64,
    events: mpsc::Sender<Event>,
    mut duty: watch::Receiver<Polling>,
) {
    let mut backoff = backoff::Backoff::new(seed, u32::MAX);
    let mut after = None;
    while duty.wait_for(|duty| duty.config).await.is_ok() {
        let result = match after {
            None => calls.read_config().await,
            Some(revision) => calls.watch_config(revision, WAIT).await,
        };
        let sent = match result {
            Ok(snapshot) => {
                backoff.reset(u32::MAX);
                after = Some(snapshot.revision);
                take(snapshot, &events).await
            }
            Err(Error::Compacted) => {
                debug!("the platform has forgotten; reading again");
                after = None;
                Ok(())
            }
            Err(error) => {
                after = None;
                let sent = events.send(Event::Platform(false)).await;
                let wait = backoff.next_delay().unwrap_or(backoff::MAX_DELAY);
                warn!(wait_ms = wait.0, error:% = error; "configuration was not read");
                time::sleep(wait.to_duration()).await;
                sent
            }
        };
        if sent.is_err() {
            return;
        }
    }
}

async fn take(
    snapshot: Snapshot,
    events: &mpsc::Sender<Event>,
) -> Result<(), mpsc::error::SendError<Event>> {
    events.send(Event::Platform(true)).await?;
    match snapshot.config {
        Some(config) => events.send(Event::Config(config)).await,
        None => Ok(()),
    }
}

/// Writes a balancer's own address, until it is written.
pub async fn register_balancer(
    calls: &impl PlatformClient,
    seed: u64,
    name: &str,
    address: SocketAddrV4,
) {
    let mut backoff = backoff::Backoff::new(seed, u32::MAX);
    while let Err(error) = calls.register_balancer(name, address).await {
        let wait = backoff.next_delay().unwrap_or(backoff::MAX_DELAY);
        warn!(wait_ms = wait.0, error:% = error; "own address was not written");
        time::sleep(wait.to_duration()).await;
    }
}

/// Hands the balancers' addresses to the loop as an event, at once and then now and
/// then, until the loop is gone.
///
/// A node that hears of others asks rarely and takes old answers; one that hears of
/// nobody goes on asking.
pub async fn poll_peers<E>(
    calls: &impl PlatformClient,
    seed: u64,
    events: mpsc::Sender<E>,
    event: fn(Vec<SocketAddrV4>) -> E,
    mut duty: watch::Receiver<Polling>,
) {
    let mut backoff = backoff::Backoff::new(seed, u32::MAX);
    let mut consistency = Consistency::Stale;
    loop {
        let wait = match calls.read_peers(consistency).await {
            Ok(addresses) => {
                if events.send(event(addresses)).await.is_err() {
                    return;
                }
                backoff.reset(u32::MAX);
                CALLED
            }
            Err(error) => {
                let wait = backoff.next_delay().unwrap_or(backoff::MAX_DELAY);
                warn!(wait_ms = wait.0, error:% = error; "balancers' addresses were not read");
                wait
            }
        };
        time::sleep(wait.to_duration()).await;
        let lost = duty.wait_for(|duty| duty.peers_now);
        consistency = match time::timeout(PEERS_PERIOD.to_duration(), lost).await {
            Ok(Ok(_)) => Consistency::Strong,
            Ok(Err(_closed)) => return,
            Err(_elapsed) => Consistency::Stale,
        };
    }
}
