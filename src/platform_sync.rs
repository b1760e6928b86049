//! Synchronises the configuration and the balancers' addresses with the platform.
//!
//! The platform adapter implements the calls ([`PlatformClient`]). This module decides
//! when to call, how long to wait and how to retry.

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
    evacuation::Evacuations,
    ident::DomainId,
    platform::{Consistency, Error, Position},
    polling::{Addresses, Polling},
    routing,
};

/// Timeout of one watch call. A broken connection is detected soon after it.
pub const WATCH_TIMEOUT: Millis = Millis(5_000);

/// Interval between two reads of the balancers' addresses by a node that has contacts.
const READ_INTERVAL: Millis = Millis(15_000);

/// Time for which a node without contacts waits for replies from the addresses that it
/// has contacted, and for which a node that has read the configuration waits to learn
/// whether it is a watcher.
const CONTACT_TIMEOUT: Millis = Millis(500);

/// Configuration at one point in the platform's history.
#[derive(Debug)]
pub struct Snapshot {
    /// Position in the platform's history.
    pub position: Position,
    /// Configuration, `None` if it does not exist or has not changed.
    pub config: Option<routing::Config>,
}

/// Evacuations that were requested or withdrawn up to one point in the platform's history.
#[derive(Debug)]
pub struct Changes {
    /// Position in the platform's history.
    pub position: Position,
    /// Failure domains, each with whether its evacuation is requested, oldest change first.
    pub domains: Vec<(DomainId, bool)>,
}

/// Platform calls, implemented by the platform adapter.
pub trait PlatformClient {
    /// Reads the configuration.
    fn read_config(&self) -> impl Future<Output = Result<Snapshot, Error>>;

    /// Waits up to `limit` for a change of the configuration after a position.
    fn watch_config(
        &self,
        after: Position,
        limit: Millis,
    ) -> impl Future<Output = Result<Snapshot, Error>>;

    /// Reads the evacuations.
    fn read_evacuations(&self) -> impl Future<Output = Result<Changes, Error>>;

    /// Waits up to `limit` for a change of the evacuations after a position.
    fn watch_evacuations(
        &self,
        after: Position,
        limit: Millis,
    ) -> impl Future<Output = Result<Changes, Error>>;

    /// Returns a receiver of the platform's era, which is notified when a response to any call
    /// of this process shows that the platform was restored from a backup.
    fn era(&self) -> watch::Receiver<Option<u64>>;

    /// Registers the address of a balancer, unless the same address is registered under
    /// its name already.
    fn register_balancer(
        &self,
        name: &str,
        address: SocketAddrV4,
    ) -> impl Future<Output = Result<(), Error>>;

    /// Reads the addresses of all balancers.
    fn read_peers(
        &self,
        consistency: Consistency,
    ) -> impl Future<Output = Result<Vec<SocketAddrV4>, Error>>;
}

/// Watches the configuration while `polling` asks for it and sends each version to the
/// event loop. Ends when the event loop has ended.
pub async fn follow_config(
    client: &impl PlatformClient,
    seed: u64,
    events: mpsc::Sender<Event>,
    polling: watch::Receiver<Polling>,
) {
    let feed = ConfigFeed { client };
    follow(feed, seed, events, polling).await;
}

/// Watches the evacuations like the configuration.
pub async fn follow_evacuations(
    client: &impl PlatformClient,
    seed: u64,
    events: mpsc::Sender<Event>,
    polling: watch::Receiver<Polling>,
) {
    let feed = EvacuationFeed {
        client,
        domains: Vec::new(),
    };
    follow(feed, seed, events, polling).await;
}

/// State that is read from the platform once and then watched.
trait Feed {
    /// Reads the whole state. Returns the position and the resulting events.
    async fn read(&mut self) -> Result<(Position, Vec<Event>), Error>;

    /// Waits up to `limit` for changes after a position.
    async fn watch(
        &mut self,
        after: Position,
        limit: Millis,
    ) -> Result<(Position, Vec<Event>), Error>;

    /// Returns the event of a failed call.
    fn failure(&self) -> Option<Event>;
}

/// The configuration, whose calls also show whether the platform is reachable.
struct ConfigFeed<'a, C> {
    client: &'a C,
}

/// The evacuated failure domains.
struct EvacuationFeed<'a, C> {
    client: &'a C,
    domains: Vec<DomainId>,
}

impl<C: PlatformClient> Feed for ConfigFeed<'_, C> {
    async fn read(&mut self) -> Result<(Position, Vec<Event>), Error> {
        let snapshot = self.client.read_config().await?;
        Ok((snapshot.position, config_events(snapshot)))
    }

    async fn watch(
        &mut self,
        after: Position,
        limit: Millis,
    ) -> Result<(Position, Vec<Event>), Error> {
        let snapshot = self.client.watch_config(after, limit).await?;
        Ok((snapshot.position, config_events(snapshot)))
    }

    fn failure(&self) -> Option<Event> {
        Some(Event::Platform(false))
    }
}

impl<C: PlatformClient> Feed for EvacuationFeed<'_, C> {
    async fn read(&mut self) -> Result<(Position, Vec<Event>), Error> {
        let changes = self.client.read_evacuations().await?;
        self.domains.clear();
        Ok((changes.position, self.apply(changes)))
    }

    async fn watch(
        &mut self,
        after: Position,
        limit: Millis,
    ) -> Result<(Position, Vec<Event>), Error> {
        let changes = self.client.watch_evacuations(after, limit).await?;
        Ok((changes.position, self.apply(changes)))
    }

    fn failure(&self) -> Option<Event> {
        None
    }
}

impl<C> EvacuationFeed<'_, C> {
    fn apply(&mut self, changes: Changes) -> Vec<Event> {
        for (domain, requested) in changes.domains {
            self.domains.retain(|other| *other != domain);
            if requested {
                self.domains.push(domain);
            }
        }
        let read = Evacuations::at(changes.position, self.domains.clone());
        vec![Event::Evacuations(read)]
    }
}

fn config_events(snapshot: Snapshot) -> Vec<Event> {
    let config = snapshot.config.map(Event::Config);
    std::iter::once(Event::Platform(true))
        .chain(config)
        .collect()
}

/// Watches a feed while `polling` asks for the configuration.
///
/// The first watch after a pause does not wait, because the platform may have been restored
/// from a backup meanwhile, which only its response shows.
async fn follow(
    mut feed: impl Feed,
    seed: u64,
    events: mpsc::Sender<Event>,
    mut polling: watch::Receiver<Polling>,
) {
    let mut backoff = backoff::Backoff::new(seed, u32::MAX);
    let mut after = None;
    let mut has_paused = true;
    loop {
        has_paused |= !polling.borrow().config;
        if polling.wait_for(|polling| polling.config).await.is_err() {
            return;
        }
        let limit = if has_paused { Millis(0) } else { WATCH_TIMEOUT };
        let result = match after {
            None => feed.read().await,
            Some(position) => feed.watch(position, limit).await,
        };
        let sent = match result {
            Ok((position, changes)) => {
                backoff.reset(u32::MAX);
                let is_first = after.replace(position).is_none();
                let sent = send_all(changes, &events).await;
                has_paused = is_first;
                if is_first {
                    time::sleep(CONTACT_TIMEOUT.to_duration()).await;
                }
                sent
            }
            Err(error @ (Error::Compacted | Error::Restored { .. })) => {
                debug!(error:% = error; "cannot continue the watch; reading again");
                after = None;
                Ok(())
            }
            Err(error) => {
                after = None;
                let sent = send_all(feed.failure().into_iter().collect(), &events).await;
                let wait = backoff.next_delay().unwrap_or(backoff::MAX_DELAY);
                warn!(wait_ms = wait.0, error:% = error; "cannot read from the platform; retrying");
                time::sleep(wait.to_duration()).await;
                sent
            }
        };
        if sent.is_err() {
            return;
        }
    }
}

async fn send_all(
    changes: Vec<Event>,
    events: &mpsc::Sender<Event>,
) -> Result<(), mpsc::error::SendError<Event>> {
    for change in changes {
        events.send(change).await?;
    }
    Ok(())
}

/// Registers a balancer's own address, and again whenever the platform was restored from a
/// backup, which may lack the registration.
///
/// A balancer that makes no calls does not notice a restore before it makes one. The watchers
/// of each failure domain do, so the registrations are never empty for long.
pub async fn register_balancer(
    client: &impl PlatformClient,
    seed: u64,
    name: &str,
    address: SocketAddrV4,
) {
    let mut era = client.era();
    loop {
        era.mark_unchanged();
        register_once(client, seed, name, address).await;
        if era.changed().await.is_err() {
            return;
        }
    }
}

/// Registers a balancer's own address, with retries until it succeeds.
async fn register_once(client: &impl PlatformClient, seed: u64, name: &str, address: SocketAddrV4) {
    let mut backoff = backoff::Backoff::new(seed, u32::MAX);
    while let Err(error) = client.register_balancer(name, address).await {
        let wait = backoff.next_delay().unwrap_or(backoff::MAX_DELAY);
        warn!(wait_ms = wait.0, error:% = error; "cannot register own address; retrying");
        time::sleep(wait.to_duration()).await;
    }
}

/// Reads the balancers' addresses at the start and whenever `polling` asks for it, and
/// sends them to the event loop. Ends when the event loop has ended.
///
/// A node with contacts accepts stale answers; a node without contacts keeps reading
/// current ones.
pub async fn poll_peers<E>(
    client: &impl PlatformClient,
    seed: u64,
    events: mpsc::Sender<E>,
    event: fn(Vec<SocketAddrV4>) -> E,
    mut polling: watch::Receiver<Polling>,
) {
    let mut backoff = backoff::Backoff::new(seed, u32::MAX);
    let mut consistency = Consistency::Stale;
    loop {
        let wait = match client.read_peers(consistency).await {
            Ok(addresses) => {
                if events.send(event(addresses)).await.is_err() {
                    return;
                }
                backoff.reset(u32::MAX);
                CONTACT_TIMEOUT
            }
            Err(error) => {
                let wait = backoff.next_delay().unwrap_or(backoff::MAX_DELAY);
                warn!(
                    wait_ms = wait.0,
                    error:% = error;
                    "cannot read balancer addresses; retrying"
                );
                wait
            }
        };
        time::sleep(wait.to_duration()).await;
        let Some(next) = wait_for_read(&mut polling).await else {
            return;
        };
        consistency = next;
    }
}

/// Waits until the balancers' addresses have to be read again; `None` if the event loop has
/// ended.
async fn wait_for_read(polling: &mut watch::Receiver<Polling>) -> Option<Consistency> {
    let lacks_contacts = polling.wait_for(|polling| polling.addresses == Addresses::Now);
    match time::timeout(READ_INTERVAL.to_duration(), lacks_contacts).await {
        Ok(Ok(_)) => return Some(Consistency::Strong),
        Ok(Err(_closed)) => return None,
        Err(_elapsed) => {}
    }
    let is_due = polling.wait_for(|polling| polling.addresses != Addresses::Idle);
    match is_due.await.ok()?.addresses {
        Addresses::Now => Some(Consistency::Strong),
        Addresses::Periodic | Addresses::Idle => Some(Consistency::Stale),
    }
}
