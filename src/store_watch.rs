//! Watches the platform store for changed objects.
//!
//! Only a few balancers of each failure domain are watchers; they are elected by
//! rendezvous hashing, and the other balancers receive the records by gossip.

use log::warn;
use xxhash_rust::xxh3;

use crate::{backoff, clock, ident, member, platform};

/// Number of watchers in each failure domain.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// Maximum time that one watch call waits for changes.
pub const MAX_WAIT: clock::Millis = clock::Millis(5_000);

/// Interval between two full lists, which find changes that a watch missed.
pub const RELIST_INTERVAL: clock::Millis = clock::Millis(60_000);

/// Interval between two full lists while a watch may have missed changes.
pub const MIN_RELIST_INTERVAL: clock::Millis = clock::Millis(1_000);

/// Seed of the rendezvous hash; equal in all balancers, so that they elect the same watchers.
const HASH_SEED: u64 = 0x7761_7463_6865_7273;

/// Returns whether `me` is a watcher: one of the first [`WATCHERS_PER_DOMAIN`] live
/// balancers of its failure domain by rendezvous hashing. Returns `false` if `me` is
/// not in `live` or is leaving.
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

/// Returns whether fewer than [`WATCHERS_PER_DOMAIN`] of the other balancers of a failure
/// domain have a higher rendezvous hash than `me`.
pub fn is_elected(me: ident::NodeId, others: impl Iterator<Item = ident::NodeId>) -> bool {
    let own_hash = rendezvous_hash(me);
    others
        .filter(|other| rendezvous_hash(*other) > own_hash)
        .count()
        < WATCHERS_PER_DOMAIN
}

/// Lists and watches the objects of one kind.
#[derive(Debug)]
pub struct Watcher {
    client: platform::Client,
    kind: &'static str,
    clock: clock::Clock,
    relist_interval: clock::Millis,
    listed_at: clock::Millis,
    may_have_missed: bool,
    position: Option<platform::Position>,
    has_listed: bool,
    backoff: backoff::Backoff,
}

impl Watcher {
    /// Creates a watcher for a kind; it lists all objects first and again at every
    /// `relist_interval`. `seed` determines the jitter of the retry delays.
    #[must_use]
    pub fn new(
        client: platform::Client,
        kind: &'static str,
        relist_interval: clock::Millis,
        seed: u64,
    ) -> Self {
        Self {
            client,
            kind,
            clock: clock::Clock::new(),
            relist_interval,
            listed_at: clock::Millis(0),
            may_have_missed: false,
            position: None,
            has_listed: false,
            backoff: backoff::Backoff::new(seed, u32::MAX),
        }
    }

    /// Returns whether all objects have been listed at least once.
    #[must_use]
    pub const fn has_listed(&self) -> bool {
        self.has_listed
    }

    /// Waits for changed objects and returns them; an older version of an object may
    /// follow a newer one.
    ///
    /// The result of a full list is returned immediately, even if empty. A failed
    /// call is logged and retried with backoff, starting with a full list. This
    /// function is cancellation-safe.
    pub async fn next(&mut self) -> Vec<platform::Object> {
        loop {
            match self.step().await {
                Ok(None) => {}
                Ok(Some(items)) => return items,
                Err(error) => self.back_off(&error).await,
            }
        }
    }

    async fn step(&mut self) -> Result<Option<Vec<platform::Object>>, platform::Error> {
        let now = self.clock.now();
        let age = now.since(self.listed_at);
        let interval = if self.may_have_missed {
            self.relist_interval.min(MIN_RELIST_INTERVAL)
        } else {
            self.relist_interval
        };
        let Some(position) = self.position.filter(|_| age < interval) else {
            let listing = self
                .client
                .list(self.kind, platform::Consistency::Strong)
                .await?;
            self.listed_at = now;
            self.may_have_missed = false;
            return Ok(Some(self.update_position(listing)));
        };
        let wait = MAX_WAIT.min(interval.since(age));
        let call = self.client.watch(self.kind, position, wait.to_duration());
        let listing = call.await?;
        if listing.position.revision < position.revision {
            self.position = None;
            return Ok(None);
        }
        self.may_have_missed |= has_revision_gap(&listing, position.revision);
        let items = self.update_position(listing);
        Ok((!items.is_empty()).then_some(items))
    }

    fn update_position(&mut self, listing: platform::Listing) -> Vec<platform::Object> {
        self.position = Some(listing.position);
        self.has_listed = true;
        self.backoff.reset(u32::MAX);
        listing.items
    }

    async fn back_off(&mut self, error: &platform::Error) {
        self.position = None;
        let delay = self.backoff.next_delay().unwrap_or(backoff::MAX_DELAY);
        warn!(kind = self.kind, wait_ms = delay.0, error:% = error; "watch of the platform store failed; listing all objects after the delay");
        tokio::time::sleep(delay.to_duration()).await;
    }
}

/// Returns whether some revisions after `revision` have no item in the listing. They
/// belong to objects of other kinds, or are changes that the watch missed.
fn has_revision_gap(listing: &platform::Listing, revision: u64) -> bool {
    let mut versions: Vec<_> = listing.items.iter().map(|item| item.version).collect();
    versions.retain(|version| *version > revision);
    versions.sort_unstable();
    versions.dedup();
    let count = u64::try_from(versions.len()).unwrap_or(u64::MAX);
    count < listing.position.revision - revision
}

fn rendezvous_hash(node: ident::NodeId) -> u64 {
    xxh3::xxh3_64_with_seed(&node.0.to_le_bytes(), HASH_SEED)
}
