//! Contact of a node with the others: isolation, the balancers that it hears, and which of them
//! watch the platform.

use super::{HEARTBEAT_PERIOD, MISSED_HALF_PERIODS, Peer, Roster, is_live};
use crate::{clock::Millis, store_watch};

impl Roster {
    /// Returns whether this node receives no heartbeats although other nodes should be
    /// sending them.
    #[must_use]
    pub fn is_isolated(&self, now: Millis) -> bool {
        let limit = self.period().0.max(HEARTBEAT_PERIOD.0) * MISSED_HALF_PERIODS / 2;
        let is_expected = |peer: &&Peer| peer.direct && !peer.entry.leaving;
        let mut expected = self.rows.iter().filter(is_expected).peekable();
        expected.peek().is_some() && expected.all(|peer| now.since(peer.heard).0 > limit)
    }

    /// Returns whether this balancer is one of those in its failure domain that watch the
    /// platform: the first ones by rendezvous hashing, and the first ones among those that
    /// can reach the platform.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        let me = &self.me;
        let others = || {
            let entries = self.live_balancers().map(|peer| &peer.entry);
            entries.filter(|other| other.domain == me.domain)
        };
        let reachable = others().filter(|other| !other.deaf);
        store_watch::is_elected(me.node, others().map(|other| other.node))
            || (!me.deaf && store_watch::is_elected(me.node, reachable.map(|other| other.node)))
    }

    /// Returns whether this node or a live balancer can reach the platform.
    #[must_use]
    pub fn is_platform_reachable(&self) -> bool {
        !self.me.deaf || self.live_balancers().any(|peer| !peer.entry.deaf)
    }

    /// Returns whether any balancer has sent a heartbeat.
    #[must_use]
    pub fn hears_balancer(&self) -> bool {
        let mut rows = self.rows.iter();
        rows.any(|peer| peer.direct && peer.entry.upstream.is_none())
    }

    /// Returns whether this node receives heartbeats from no node that could introduce it
    /// to others: for an agent a balancer, for a balancer any other node.
    #[must_use]
    pub fn lacks_contacts(&self) -> bool {
        let is_contact = |peer: &&Peer| self.me.upstream.is_none() || peer.entry.upstream.is_none();
        !self.rows.iter().filter(is_contact).any(is_live)
    }

    /// Returns the balancers that are alive and not shutting down, without this node.
    pub fn live_balancers(&self) -> impl Iterator<Item = &Peer> {
        let rows = self.rows.iter();
        rows.filter(|peer| peer.entry.upstream.is_none() && is_live(peer))
    }
}
