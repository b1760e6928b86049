//! Membership table of pass-through services: the known balancers and agents, and which
//! of them are alive.
//!
//! Each node sends heartbeats about itself within its failure domain; nodes of other
//! domains are reported alive by balancers there (see [`domain_digest`]). Failures are not
//! gossiped: each node judges by itself whether another one is alive. A node that is
//! neither heard nor reported for several periods is left out of the candidate chains, and
//! is removed from the table much later.
//!
//! [`domain_digest`]: crate::domain_digest

mod agents;
mod contacts;

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{clock::Millis, header::Hop, ident, member};

/// Minimum heartbeat period of a node.
pub const HEARTBEAT_PERIOD: Millis = Millis(400);

/// Heartbeat period per known node of the own failure domain: with `n` nodes the period is
/// at least `n` times this, which bounds the heartbeats that one node receives per second.
pub const PERIOD_PER_NODE: Millis = Millis(4);

/// Half heartbeat periods after which a node counts as silent.
const SILENT_HALF_PERIODS: u64 = 7;

/// Half heartbeat periods after which a node's next heartbeat counts as missed. A node
/// that misses the heartbeats of all others considers itself isolated.
const MISSED_HALF_PERIODS: u64 = 3;

/// Half heartbeat periods after which a node is suspected, so that its domain no longer
/// reports it alive.
const SUSPECT_HALF_PERIODS: u64 = 5;

/// Half heartbeat periods left to probe a node that its domain reports missing, before it
/// counts as silent.
const PROBE_HALF_PERIODS: u64 = 3;

/// Time since its last heartbeat after which a node is removed.
pub const FORGET_AFTER: Millis = Millis(60_000);

/// Maximum time between two ticks. A longer gap means that this process itself was
/// suspended; it does not count as silence of the other nodes.
const STALL_THRESHOLD: Millis = Millis(500);

/// Upstream of an agent, as announced by the agent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// Service of the upstream.
    pub service: ident::ServiceId,
    /// Address at which the agent receives packets.
    pub packets: SocketAddrV4,
    /// Whether the upstream accepts new flows, `None` if no upstream is running.
    pub state: Option<member::State>,
    /// Capacity in steps, see [`member::capacity`].
    pub step: u8,
}

/// Announced state of a node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Identifier of the node.
    pub node: ident::NodeId,
    /// Incarnation number of its process.
    pub incarnation: ident::Incarnation,
    /// Number of changes of this entry within the incarnation.
    pub change: u32,
    /// Failure domain of the host.
    pub domain: ident::DomainId,
    /// Address at which the node receives messages.
    pub control: SocketAddrV4,
    /// Whether the process is shutting down.
    pub leaving: bool,
    /// Whether the platform is unreachable for this node: a balancer's last call to it
    /// failed. True before the first call, and always true for agents.
    pub deaf: bool,
    /// Upstream of an agent, `None` for a balancer.
    pub upstream: Option<Upstream>,
}

impl Entry {
    /// Creates the entry of a process that starts now.
    #[must_use]
    pub fn starting(
        name: &str,
        domain: &str,
        control: SocketAddrV4,
        upstream: Option<Upstream>,
    ) -> Self {
        Self {
            node: ident::NodeId::of(name),
            incarnation: ident::Incarnation::start(),
            change: 0,
            domain: ident::DomainId::of(domain),
            control,
            leaving: false,
            deaf: true,
            upstream,
        }
    }

    /// Returns whether this entry replaces `other` of the same node.
    #[must_use]
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.incarnation, self.change) > (other.incarnation, other.change)
    }

    /// Returns the agent's forwarding address, or `None` for a balancer.
    #[must_use]
    pub fn hop(&self) -> Option<Hop> {
        self.upstream.map(|upstream| Hop {
            node: self.node,
            incarnation: self.incarnation,
            addr: upstream.packets,
        })
    }

    /// Returns the service of an agent's upstream, or `None` for a balancer.
    #[must_use]
    pub fn service(&self) -> Option<ident::ServiceId> {
        self.upstream.map(|upstream| upstream.service)
    }
}

/// Another node and its liveness.
#[derive(Clone, Debug, Serialize)]
pub struct Peer {
    /// Last entry received of the node.
    pub entry: Entry,
    /// Time of the last heartbeat of the node, of the last report that it is alive, or of
    /// the last newer entry of it from another node.
    pub heard: Millis,
    /// Heartbeat period that the node announced.
    pub period: Millis,
    /// Whether a heartbeat of the node has been received, or its entry from a balancer of
    /// its failure domain, not only its entry through other nodes.
    pub direct: bool,
    /// Whether heartbeats have been missing for more than three and a half periods.
    pub silent: bool,
    /// Version of the node's configuration, as last announced; 0 for none.
    pub config: u64,
    /// Whether a heartbeat of this run of the node showed that it understands digests.
    pub digests: bool,
    /// Time at which this run of the node was first heard of.
    pub started: Millis,
    /// The run before this one, if this node knew it.
    pub previous: Option<PreviousRun>,
}

/// How a former run of a node ended, in the order of how much may be lost with it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum PreviousRun {
    /// It announced its shutdown.
    Stopped,
    /// It ended without an announcement.
    Crashed,
}

impl Peer {
    /// Returns whether heartbeats or reports have been missing for several periods.
    #[must_use]
    pub fn is_suspect(&self, now: Millis) -> bool {
        self.is_overdue(SUSPECT_HALF_PERIODS, now)
    }

    /// Returns whether the last heartbeat or report was missed.
    #[must_use]
    pub fn has_missed(&self, now: Millis) -> bool {
        self.is_overdue(MISSED_HALF_PERIODS, now)
    }

    /// Returns whether the agent has announced its shutdown and left a running upstream.
    #[must_use]
    pub fn has_left_upstream(&self) -> bool {
        let upstream = self.entry.upstream;
        self.entry.leaving && upstream.is_some_and(|upstream| upstream.state.is_some())
    }

    /// Returns whether the agent has stated that it shuts down and that no upstream is running.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        let upstream = self.entry.upstream;
        self.entry.leaving && upstream.is_some_and(|upstream| upstream.state.is_none())
    }

    /// Returns how the current run ended, if a later one has started.
    const fn ending(&self) -> PreviousRun {
        if self.entry.leaving {
            PreviousRun::Stopped
        } else {
            PreviousRun::Crashed
        }
    }

    fn is_overdue(&self, half_periods: u64, now: Millis) -> bool {
        now.since(self.heard).0 > self.period.0 * half_periods / 2
    }
}

/// Result of merging an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Merge {
    /// A new node or incarnation, or the first heartbeat of a node that was silent or
    /// known only through others.
    New,
    /// A newer entry of a known node.
    Changed,
    /// An unchanged entry of a known node.
    Same,
    /// An outdated entry of the known incarnation, or an entry of this node; ignored.
    Old,
    /// An entry of an incarnation before the known one; ignored. If its sender is alive, its
    /// wall clock was set back between two starts.
    Superseded,
}

/// All known nodes. The rows are sorted by node and do not include this node.
#[derive(Clone, Debug, Serialize)]
pub struct Roster {
    me: Entry,
    rows: Vec<Peer>,
    /// Failure domains whose upstreams get no new flows, sorted.
    evacuated: Vec<ident::DomainId>,
    /// Time of the last tick.
    ticked: Millis,
    revision: u64,
}

impl Roster {
    /// Creates a roster without other nodes.
    #[must_use]
    pub const fn new(me: Entry, now: Millis) -> Self {
        Self {
            me,
            rows: Vec::new(),
            evacuated: Vec::new(),
            ticked: now,
            revision: 0,
        }
    }

    /// Returns the entry of this node.
    #[must_use]
    pub const fn me(&self) -> &Entry {
        &self.me
    }

    /// Returns the other nodes.
    #[must_use]
    pub fn peers(&self) -> &[Peer] {
        &self.rows
    }

    /// Returns the revision, which grows with each change that may affect the candidate
    /// chains.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the heartbeat period of this node, which grows with the number of known
    /// nodes of its failure domain.
    #[must_use]
    pub fn period(&self) -> Millis {
        let domain = self.me.domain;
        let peers = self.rows.iter();
        let near = peers.filter(|peer| peer.entry.domain == domain).count();
        let nodes = u64::try_from(near).unwrap_or(u64::MAX);
        HEARTBEAT_PERIOD.max(Millis(PERIOD_PER_NODE.0.saturating_mul(nodes)))
    }

    /// Modifies the entry of this node. Returns false if that left it unchanged.
    pub fn update(&mut self, change: impl FnOnce(&mut Entry)) -> bool {
        let before = self.me.clone();
        change(&mut self.me);
        if self.me == before {
            return false;
        }
        self.me.change += 1;
        self.revision += 1;
        true
    }

    /// Merges an entry that was received from the node itself or a balancer of its failure
    /// domain (`direct`), or from another node.
    ///
    /// An entry of this node with a later incarnation means that the wall clock was set
    /// back between two starts of it. This process then takes a still later incarnation.
    pub fn merge(&mut self, entry: &Entry, period: Millis, direct: bool, now: Millis) -> Merge {
        if entry.node == self.me.node {
            if entry.incarnation > self.me.incarnation {
                self.me.incarnation = ident::Incarnation::after(entry.incarnation);
                self.revision += 1;
            }
            return Merge::Old;
        }
        let found = self
            .rows
            .binary_search_by_key(&entry.node, |peer| peer.entry.node);
        let update = Peer {
            entry: entry.clone(),
            heard: now,
            period,
            direct,
            silent: false,
            config: 0,
            digests: false,
            started: now,
            previous: None,
        };
        match found {
            Err(at) => self.insert(at, update),
            Ok(at) => self.refresh(at, update),
        }
    }

    /// Records that a node understands digests.
    pub fn record_digests(&mut self, node: ident::NodeId) {
        let found = self
            .rows
            .binary_search_by_key(&node, |peer| peer.entry.node);
        if let Ok(at) = found {
            self.rows[at].digests = true;
        }
    }

    /// Records the version of the configuration that a node announced.
    pub fn record_config(&mut self, node: ident::NodeId, version: u64) {
        let found = self
            .rows
            .binary_search_by_key(&node, |peer| peer.entry.node);
        if let Ok(at) = found {
            self.rows[at].config = version;
        }
    }

    /// Records that the nodes whose entries satisfy `is_reported` are alive according to
    /// their failure domain. A silent node stays silent until its entry is received.
    pub fn report_alive(
        &mut self,
        is_reported: impl Fn(&Entry) -> bool,
        period: Millis,
        now: Millis,
    ) {
        let peers = self.rows.iter_mut();
        for peer in peers.filter(|peer| !peer.silent && is_reported(&peer.entry)) {
            peer.heard = now;
            peer.period = period;
        }
    }

    /// Records that a node is reported missing in its failure domain. It counts as silent
    /// soon unless it is heard.
    pub fn report_missing(&mut self, node: ident::NodeId, now: Millis) {
        let found = self
            .rows
            .binary_search_by_key(&node, |peer| peer.entry.node);
        if let Ok(at) = found {
            let peer = &mut self.rows[at];
            let half_periods = SILENT_HALF_PERIODS - PROBE_HALF_PERIODS;
            let age = Millis(peer.period.0 * half_periods / 2);
            peer.heard = peer.heard.min(now - age);
        }
    }

    /// Returns the number of suspected nodes of this node's failure domain.
    #[must_use]
    pub fn suspects(&self, now: Millis) -> usize {
        let domain = self.me.domain;
        let peers = self.rows.iter();
        peers
            .filter(|peer| peer.entry.domain == domain && peer.is_suspect(now))
            .count()
    }

    /// Returns the nodes of other failure domains that have missed a report and are not
    /// silent yet.
    pub fn unreported(&self, now: Millis) -> impl Iterator<Item = &Entry> {
        let domain = self.me.domain;
        let peers = self.rows.iter();
        peers
            .filter(move |peer| peer.entry.domain != domain && !peer.silent && peer.has_missed(now))
            .map(|peer| &peer.entry)
    }

    /// Marks silent nodes and removes those without a heartbeat for [`FORGET_AFTER`].
    pub fn tick(&mut self, now: Millis) {
        let gap = now.since(self.ticked);
        self.ticked = now;
        if gap > STALL_THRESHOLD {
            for peer in &mut self.rows {
                peer.heard = peer.heard + gap;
            }
        }
        let before = self.rows.len();
        self.rows
            .retain(|peer| now.since(peer.heard) < FORGET_AFTER);
        let mut changed = before != self.rows.len();
        for peer in &mut self.rows {
            let silent = peer.is_overdue(SILENT_HALF_PERIODS, now);
            changed |= silent != peer.silent;
            peer.silent = silent;
        }
        self.revision += u64::from(changed);
    }

    /// Returns a node by its identifier.
    #[must_use]
    pub fn find(&self, node: ident::NodeId) -> Option<&Peer> {
        self.rows
            .binary_search_by_key(&node, |peer| peer.entry.node)
            .ok()
            .map(|at| &self.rows[at])
    }

    fn insert(&mut self, at: usize, update: Peer) -> Merge {
        self.rows.insert(at, update);
        self.revision += 1;
        Merge::New
    }

    /// Replaces the entry of a known node unless the update is outdated.
    fn refresh(&mut self, at: usize, update: Peer) -> Merge {
        let peer = &mut self.rows[at];
        if update.entry.incarnation < peer.entry.incarnation {
            return Merge::Superseded;
        }
        let newer = update.entry.is_newer(&peer.entry);
        if !newer && update.entry != peer.entry {
            return Merge::Old;
        }
        if !newer && !update.direct {
            return Merge::Same;
        }
        let new_run = update.entry.incarnation > peer.entry.incarnation;
        let returned = peer.silent || (update.direct && !peer.direct);
        let direct = peer.direct || update.direct;
        let config = if new_run { 0 } else { peer.config };
        let digests = peer.digests && !new_run;
        let (started, previous) = if new_run {
            (update.heard, Some(peer.ending()))
        } else {
            (peer.started, peer.previous)
        };
        *peer = Peer {
            direct,
            config,
            digests,
            started,
            previous,
            ..update
        };
        self.revision += u64::from(newer || returned);
        match (new_run || returned, newer) {
            (true, _) => Merge::New,
            (false, true) => Merge::Changed,
            (false, false) => Merge::Same,
        }
    }
}

/// Returns whether a node sends heartbeats here and is not shutting down.
fn is_live(peer: &Peer) -> bool {
    peer.direct && !peer.silent && !peer.entry.leaving
}
