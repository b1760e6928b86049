//! Watches the platform for changes, from few processes.

use log::warn;
use xxhash_rust::xxh3;

use crate::{backoff, clock, ident, member, platform};

/// Watchers in each failure domain.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// Time that one watch waits for changes.
pub const MAX_WAIT: clock::Millis = clock::Millis(5_000);

/// Time after which everything is listed again, in case a watch missed a change.
pub const RELIST_INTERVAL: clock::Millis = clock::Millis(60_000);

/// Shortest time between two lists where a watch left revisions unexplained.
pub const MIN_RELIST_INTERVAL: clock::Millis = clock::Millis(1_000);

const SEED: u64 = 0x7761_7463_6865_7273;

/// Whether `me` is among the watchers of its failure domain: the first two of
/// the live balancers by rendezvous hashing. Unknown balancers are none.
#[must_use]
pub fn is_watcher(live: &[member::Balancer], me: ident::NodeId) -> bool {
    let Some(own) = live.iter().find(|balancer| balancer.node == me) else {
        return false;
    };
    let others = live
        .iter()
        .filter(|other| other.domain == own.domain && !other.leaving)
        .map(|other| other.node);
    !own.leaving && is_elected(me, others)
}

/// Whether fewer than [`WATCHERS_PER_DOMAIN`] of the other balancers of a failure domain come
/// before `me` by rendezvous hashing.
pub fn is_elected(me: ident::NodeId, others: impl Iterator<Item = ident::NodeId>) -> bool {
    let own = score(me);
    others.filter(|other| score(*other) > own).count() < WATCHERS_PER_DOMAIN
}

/// Follows the objects of one kind.
#[derive(Debug)]
pub struct Watcher {
    client: platform::Client,
    kind: &'static str,
    clock: clock::Clock,
    relist: clock::Millis,
    listed: clock::Millis,
    missed: bool,
    after: Option<u64>,
    complete: bool,
    backoff: backoff::Backoff,
}

impl Watcher {
    /// Follows a kind; the first answer lists everything, and so does one each `relist`.
    #[must_use]
    pub fn new(
        client: platform::Client,
        kind: &'static str,
        relist: clock::Millis,
        seed: u64,
    ) -> Self {
        Self {
            client,
            kind,
            clock: clock::Clock::new(),
            relist,
            listed: clock::Millis(0),
            missed: false,
            after: None,
            complete: false,
            backoff: backoff::Backoff::new(seed, u32::MAX),
        }
    }

    /// Whether all objects have been listed at least once.
    #[must_use]
    pub const fn has_listed(&self) -> bool {
        self.complete
    }

    /// Waits for the next changed objects; older versions may come after newer ones.
    ///
    /// A list is given at once, also an empty one. Failures are logged and
    /// retried; all objects are listed after one. May be dropped at any point
    /// and called again.
    pub async fn next(&mut self) -> Vec<platform::Object> {
        loop {
            match self.step().await {
                Ok(None) => {}
                Ok(Some(items)) => return items,
                Err(error) => self.recover(&error).await,
            }
        }
    }

    async fn step(&mut self) -> Result<Option<Vec<platform::Object>>, platform::Error> {
        let now = self.clock.now();
        let age = now.since(self.listed);
        let relist = if self.missed {
            self.relist.min(MIN_RELIST_INTERVAL)
        } else {
            self.relist
        };
        let Some(after) = self.after.filter(|_| age < relist) else {
            let listing = self
                .client
                .list(self.kind, platform::Consistency::Strong)
                .await?;
            self.listed = now;
            self.missed = false;
            return Ok(Some(self.take(listing)));
        };
        let wait = MAX_WAIT.min(relist.since(age));
        let heard = self.client.watch(self.kind, after, wait.to_duration());
        let listing = heard.await?;
        if listing.revision < after {
            self.after = None;
            return Ok(None);
        }
        self.missed |= is_partial(&listing, after);
        let items = self.take(listing);
        Ok((!items.is_empty()).then_some(items))
    }

    fn take(&mut self, listing: platform::Listing) -> Vec<platform::Object> {
        self.after = Some(listing.revision);
        self.complete = true;
        self.backoff.reset(u32::MAX);
        listing.items
    }

    async fn recover(&mut self, error: &platform::Error) {
        self.after = None;
        let wait = self.backoff.next_delay().unwrap_or(backoff::MAX_DELAY);
        warn!(kind = self.kind, wait_ms = wait.0, error:% = error; "watch failed");
        tokio::time::sleep(wait.to_duration()).await;
    }
}

/// Whether some revisions since `after` are not among the items: objects of
/// other kinds, or changes that the watch missed.
fn is_partial(listing: &platform::Listing, after: u64) -> bool {
    let mut versions: Vec<_> = listing.items.iter().map(|item| item.version).collect();
    versions.retain(|version| *version > after);
    versions.sort_unstable();
    versions.dedup();
    let explained = u64::try_from(versions.len()).unwrap_or(u64::MAX);
    explained < listing.revision - after
}

fn score(node: ident::NodeId) -> u64 {
    xxh3::xxh3_64_with_seed(&node.0.to_le_bytes(), SEED)
}
