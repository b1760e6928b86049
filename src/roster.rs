//! Who is there: balancers and agents of pass-through services.
//!
//! Each node states to the others that it lives; nobody states that another one
//! does not. A node that has been silent for some periods is left out of tables
//! and forgotten much later.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{clock::Millis, header::Hop, ident, member, store_watch};

/// Shortest time between two statements of one node.
pub const HEARTBEAT_PERIOD: Millis = Millis(400);

/// What each known node adds to the period, so that the statements which one
/// node takes a second have a bound.
pub const PERIOD_PER_NODE: Millis = Millis(4);

/// Half periods after which a node counts as silent.
const SILENT_HALVES: u64 = 7;

/// Half periods without a word of any node after which this node is cut off.
const ISOLATED_HALVES: u64 = 3;

/// Time within which an agent that was told to stop is back, if its upstream lives on.
const RETURN: Millis = Millis(8_000);

/// Time after which a silent node is forgotten.
pub const FORGET_AFTER: Millis = Millis(60_000);

/// Longest time between two ticks; a longer one means that this process stood still.
const STALL: Millis = Millis(500);

/// An agent's upstream, as the agent states it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// The service.
    pub service: ident::ServiceId,
    /// Where the agent takes packets.
    pub packets: SocketAddrV4,
    /// What the upstream does with new flows, none where there is no upstream.
    pub state: Option<member::State>,
    /// Capacity in steps, see [`member::capacity`].
    pub step: u8,
}

/// A node as it states itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The node.
    pub node: ident::NodeId,
    /// The run of its process.
    pub incarnation: ident::Incarnation,
    /// Counts the changes of this entry within the incarnation.
    pub change: u32,
    /// The host's failure domain.
    pub domain: ident::DomainId,
    /// Where the node takes messages.
    pub control: SocketAddrV4,
    /// Whether the process is being stopped.
    pub leaving: bool,
    /// Whether the platform did not answer a balancer's last call; true before the
    /// first one, and for agents.
    pub deaf: bool,
    /// The upstream of an agent, none for a balancer.
    pub upstream: Option<Upstream>,
}

impl Entry {
    /// A process of the fleet that starts now.
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

    /// Whether this entry replaces `other` of the same node.
    #[must_use]
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.incarnation, self.change) > (other.incarnation, other.change)
    }

    /// The agent as a hop, none for a balancer.
    #[must_use]
    pub fn hop(&self) -> Option<Hop> {
        self.upstream.map(|upstream| Hop {
            node: self.node,
            incarnation: self.incarnation,
            addr: upstream.packets,
        })
    }

    /// The service of an agent's upstream.
    #[must_use]
    pub fn service(&self) -> Option<ident::ServiceId> {
        self.upstream.map(|upstream| upstream.service)
    }
}

/// A node that is known here.
#[derive(Clone, Debug, Serialize)]
pub struct Peer {
    /// The node as it last stated itself.
    pub entry: Entry,
    /// When it was last heard of.
    pub heard: Millis,
    /// Time between its statements.
    pub period: Millis,
    /// Whether it has stated itself here, not only through others.
    pub direct: bool,
    /// Whether it has been silent for some periods.
    pub silent: bool,
}

/// What a statement changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Merge {
    /// A node, or a run of it, that was not known.
    New,
    /// A known node has changed.
    Changed,
    /// A known node, as it was.
    Same,
    /// An older statement.
    Old,
}

/// All nodes that are known here, sorted by node, without this one.
#[derive(Clone, Debug, Serialize)]
pub struct Roster {
    me: Entry,
    rows: Vec<Peer>,
    ticked: Millis,
    revision: u64,
}

impl Roster {
    /// A roster of this node alone.
    #[must_use]
    pub const fn new(me: Entry, now: Millis) -> Self {
        Self {
            me,
            rows: Vec::new(),
            ticked: now,
            revision: 0,
        }
    }

    /// This node.
    #[must_use]
    pub const fn me(&self) -> &Entry {
        &self.me
    }

    /// The other nodes.
    #[must_use]
    pub fn peers(&self) -> &[Peer] {
        &self.rows
    }

    /// Grows with each change that a table of candidates may depend on.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Time between two statements of this node, which grows with the nodes known.
    #[must_use]
    pub fn period(&self) -> Millis {
        let nodes = u64::try_from(self.rows.len()).unwrap_or(u64::MAX);
        HEARTBEAT_PERIOD.max(Millis(PERIOD_PER_NODE.0.saturating_mul(nodes)))
    }

    /// Changes this node's entry; false where the change leaves it as it was.
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

    /// Takes a node's own statement, or what another node (`direct` false) says of it.
    ///
    /// A statement about this node under a later run than its own means that the
    /// wall clock went back between two starts: this run then takes a later number.
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
            .binary_search_by_key(&entry.node, |row| row.entry.node);
        let heard = Peer {
            entry: entry.clone(),
            heard: now,
            period,
            direct,
            silent: false,
        };
        match found {
            Err(at) => self.insert(at, heard),
            Ok(at) => self.refresh(at, heard),
        }
    }

    /// Marks silent nodes and forgets those that are gone for long.
    pub fn tick(&mut self, now: Millis) {
        let gap = now.since(self.ticked);
        self.ticked = now;
        if gap > STALL {
            for row in &mut self.rows {
                row.heard = row.heard + gap;
            }
        }
        let before = self.rows.len();
        self.rows.retain(|row| now.since(row.heard) < FORGET_AFTER);
        let mut changed = before != self.rows.len();
        for row in &mut self.rows {
            let silent = now.since(row.heard).0 > row.period.0 * SILENT_HALVES / 2;
            changed |= silent != row.silent;
            row.silent = silent;
        }
        self.revision += u64::from(changed);
    }

    /// Whether this node hears nobody although it knows others that state themselves often.
    #[must_use]
    pub fn is_isolated(&self, now: Millis) -> bool {
        let limit = self.period().0.max(HEARTBEAT_PERIOD.0) * ISOLATED_HALVES / 2;
        let often = |row: &&Peer| row.direct && !row.entry.leaving;
        let mut rows = self.rows.iter().filter(often).peekable();
        rows.peek().is_some() && rows.all(|row| now.since(row.heard).0 > limit)
    }

    /// Whether this balancer is among those of its failure domain that follow the
    /// platform: the first by rendezvous hashing, and as many of those that it answers.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        let me = &self.me;
        let others = || {
            let entries = self.balancers().map(|row| &row.entry);
            entries.filter(|other| other.domain == me.domain)
        };
        let hearing = others().filter(|other| !other.deaf);
        store_watch::is_elected(me.node, others().map(|other| other.node))
            || (!me.deaf && store_watch::is_elected(me.node, hearing.map(|other| other.node)))
    }

    /// Whether the platform answers this node or another balancer.
    #[must_use]
    pub fn is_platform_reachable(&self) -> bool {
        !self.me.deaf || self.balancers().any(|row| !row.entry.deaf)
    }

    /// Whether no node through which others are found states itself here: a balancer
    /// for an agent, any other node for a balancer.
    #[must_use]
    pub fn lacks_contacts(&self) -> bool {
        let helps = |row: &&Peer| self.me.upstream.is_none() || row.entry.upstream.is_none();
        !self.rows.iter().filter(helps).any(is_live)
    }

    fn balancers(&self) -> impl Iterator<Item = &Peer> {
        let rows = self.rows.iter();
        rows.filter(|row| row.entry.upstream.is_none() && is_live(row))
    }

    /// A node by its identity.
    #[must_use]
    pub fn find(&self, node: ident::NodeId) -> Option<&Peer> {
        self.rows
            .binary_search_by_key(&node, |row| row.entry.node)
            .ok()
            .map(|at| &self.rows[at])
    }

    /// Whether an agent's upstream is gone as far as can be told: it left, or the
    /// agent fell silent while most others of the service did not.
    ///
    /// An agent that said that it stops while its upstream lives is given time to
    /// come back.
    #[must_use]
    pub fn is_gone(&self, node: ident::NodeId, now: Millis) -> bool {
        let Some(row) = self.find(node) else {
            return false;
        };
        let Some(upstream) = row.entry.upstream else {
            return true;
        };
        let left = upstream.state.is_none();
        let silent = row.silent && !self.is_mostly_silent(upstream.service);
        let missed = now.since(row.heard).0 > row.period.0 * ISOLATED_HALVES / 2;
        match (row.entry.leaving, left) {
            (true, true) => true,
            (false, true) => silent || missed,
            (true, false) => silent && now.since(row.heard) > RETURN,
            (false, false) => silent,
        }
    }

    /// Whether more than half of a service's agents are silent, which says more
    /// about this node than about them.
    fn is_mostly_silent(&self, service: ident::ServiceId) -> bool {
        let rows = || {
            let rows = self.rows.iter();
            rows.filter(|row| row.entry.service() == Some(service) && !row.entry.leaving)
        };
        let silent = rows().filter(|row| row.silent).count();
        silent * 2 > rows().count()
    }

    /// The agents of a service, with this node.
    pub fn agents(&self, service: ident::ServiceId) -> impl Iterator<Item = &Entry> {
        std::iter::once(&self.me)
            .chain(self.rows.iter().map(|row| &row.entry))
            .filter(move |entry| entry.service() == Some(service))
    }

    /// Longest time between two statements of an agent of a service, as they say.
    #[must_use]
    pub fn max_period(&self, service: ident::ServiceId) -> Millis {
        let rows = self.rows.iter();
        let agents = rows.filter(|row| row.entry.service() == Some(service));
        let periods = agents.map(|row| row.period);
        periods
            .max()
            .unwrap_or(HEARTBEAT_PERIOD)
            .max(HEARTBEAT_PERIOD)
    }

    /// The agents of a service that take new flows, with this node.
    ///
    /// Silent ones are left out unless more than half of the service fell silent.
    #[must_use]
    pub fn ready_agents(&self, service: ident::ServiceId) -> Vec<&Entry> {
        let ready = |entry: &Entry| {
            !entry.leaving
                && entry.upstream.is_some_and(|upstream| {
                    upstream.service == service && upstream.state == Some(member::State::Ready)
                })
        };
        let keep = self.is_mostly_silent(service);
        let mut entries: Vec<_> = self
            .rows
            .iter()
            .filter(|row| ready(&row.entry) && (keep || !row.silent))
            .map(|row| &row.entry)
            .collect();
        if ready(&self.me) {
            entries.push(&self.me);
        }
        entries.sort_by_key(|entry| entry.node);
        entries
    }

    fn insert(&mut self, at: usize, heard: Peer) -> Merge {
        self.rows.insert(at, heard);
        self.revision += 1;
        Merge::New
    }

    fn refresh(&mut self, at: usize, heard: Peer) -> Merge {
        let row = &mut self.rows[at];
        let newer = heard.entry.is_newer(&row.entry);
        if !newer && heard.entry != row.entry {
            return Merge::Old;
        }
        if !newer && !heard.direct {
            return Merge::Same;
        }
        let run = heard.entry.incarnation > row.entry.incarnation;
        let back = row.silent || (heard.direct && !row.direct);
        let direct = row.direct || heard.direct;
        *row = Peer { direct, ..heard };
        self.revision += u64::from(newer || back);
        match (run || back, newer) {
            (true, _) => Merge::New,
            (false, true) => Merge::Changed,
            (false, false) => Merge::Same,
        }
    }
}

fn is_live(row: &Peer) -> bool {
    row.direct && !row.silent && !row.entry.leaving
}
