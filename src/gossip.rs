//! Gossip among balancers: rumour mongering with anti-entropy.
//!
//! A balancer sends each entry that changed, as a rumour, to a few random peers for
//! a bounded number of rounds (Demers et al., "Epidemic algorithms for replicated
//! database maintenance", 1987). Each datagram also carries digests of the
//! sender's tables; if digests keep differing, because rumours were lost, the
//! receiver repairs its tables by a full sync over HTTP.

use std::net::SocketAddrV4;

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde::Serialize;

use crate::{
    clock,
    exchange::{self, Action},
    ident, member, membership, seal,
};

/// Number of live peers, chosen at random, that receive the datagrams of one round.
pub const FANOUT: usize = 3;

/// Number of gossip rounds per heartbeat period.
///
/// Pending rumours are sent in each round; without any, digests are sent once a period.
pub const ROUNDS_PER_PERIOD: u64 = 4;

/// Number of rounds in which a rumour about an entry or a record is sent.
const ENTRY_ROUNDS: u8 = 3;
/// Number of rounds in which a rumour about a liveness report is sent.
const REPORT_ROUNDS: u8 = 1;
/// Maximum number of pending rumours; a change beyond it reaches the peers by a sync only.
const MAX_RUMOURS: usize = 8_192;
/// Maximum number of datagrams to one peer in one round.
const MAX_DATAGRAMS: usize = 4;
/// Allowance for the length prefixes of the lists in a message, which grow with the lists.
const LENGTH_PREFIX_BYTES: usize = 16;
/// Probability that a round also sends to a peer that is not live.
const STALE_PEER_PROBABILITY: f64 = 0.1;
/// Time for which digests must differ before a sync is requested, in heartbeat periods.
const MISMATCH_TIMEOUT_PERIODS: u64 = 2;
/// Minimum interval between two sync requests, in heartbeat periods.
const SYNC_INTERVAL_PERIODS: u64 = 5;

/// Subject of a rumour.
///
/// The order of the variants is the priority of rumours when datagrams are full.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Topic {
    /// The version of the record with this name.
    Record(String),
    /// A balancer's liveness report.
    Liveness(ident::NodeId),
    /// A balancer's entry.
    Balancer(ident::NodeId),
    /// An agent's entry.
    Member(ident::NodeId),
}

#[derive(Clone, Debug)]
struct Rumour {
    topic: Topic,
    rounds: u8,
}

/// The gossip state of one balancer: pending rumours, and how long digests have differed.
#[derive(Clone, Debug)]
pub struct Gossip {
    rng: SmallRng,
    rumours: Vec<Rumour>,
    round: u64,
    mismatch_since: Option<clock::Millis>,
    sync_requested: Option<clock::Millis>,
}

impl Gossip {
    /// Creates a state without rumours; `seed` seeds the random choice of peers.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            rumours: Vec::new(),
            round: 0,
            mismatch_since: None,
            sync_requested: None,
        }
    }

    /// Queues a rumour for its full number of rounds, also if it is already pending.
    ///
    /// The rumour is dropped if the queue is full; peers then see differing digests and
    /// request a sync.
    pub fn start_rumour(&mut self, topic: Topic) {
        let rounds = match topic {
            Topic::Liveness(_) => REPORT_ROUNDS,
            _ => ENTRY_ROUNDS,
        };
        match self
            .rumours
            .binary_search_by(|rumour| rumour.topic.cmp(&topic))
        {
            Ok(at) => self.rumours[at].rounds = rounds,
            Err(_) if self.rumours.len() >= MAX_RUMOURS => {}
            Err(at) => self.rumours.insert(at, Rumour { topic, rounds }),
        }
    }

    /// Returns the number of rumours that are still to be sent.
    #[must_use]
    pub const fn pending_rumours(&self) -> usize {
        self.rumours.len()
    }

    /// Merges a heartbeat and returns the acknowledgement, or `None` if the heartbeat
    /// was already seen.
    pub fn handle_heartbeat(
        &mut self,
        tables: &mut membership::Tables,
        heartbeat: &exchange::Heartbeat,
        services: &[exchange::VersionedService],
        now: clock::Millis,
    ) -> Option<exchange::Ack> {
        let node = heartbeat.member.node;
        let merge = tables.record_heartbeat(&heartbeat.member, heartbeat.seq, now)?;
        if merge == membership::Merge::Applied {
            self.start_rumour(Topic::Member(node));
        }
        if merge != membership::Merge::Rejected {
            tables.record_version(node, heartbeat.version);
        }
        let refused = (merge == membership::Merge::Rejected)
            .then(|| tables.latest_entry(node))
            .flatten();
        let service = &heartbeat.member.service;
        Some(exchange::Ack {
            balancer: tables.own().node,
            incarnation: tables.own().incarnation,
            seq: heartbeat.seq,
            digest: tables.agent_digest(
                node,
                service,
                exchange::version_of(services, service),
                now,
            ),
            version: exchange::max_version(services),
            refused,
        })
    }

    /// Merges a peer's datagram and returns the actions to carry out.
    ///
    /// `records` are the highest versions of this balancer's records, sorted by name.
    pub fn handle_exchange(
        &mut self,
        tables: &mut membership::Tables,
        exchange: &exchange::Exchange,
        records: &[exchange::RecordVersion],
        now: clock::Millis,
    ) -> Vec<Action> {
        let from = std::slice::from_ref(&exchange.from);
        self.merge_balancers(tables, from, &exchange.balancers, now);
        self.merge_reports(tables, &exchange.reports, now);
        self.merge_members(tables, &exchange.members, now);
        self.compare_digests(tables, exchange, records, now);
        let mut actions =
            exchange::pull_records(&exchange.record_versions, records, exchange.from.http);
        actions.extend(self.request_sync(tables, exchange.from.http, now));
        actions
    }

    /// Merges the entry of a balancer that sent a sync request.
    pub fn merge_sender(
        &mut self,
        tables: &mut membership::Tables,
        from: &member::Balancer,
        now: clock::Millis,
    ) {
        self.merge_balancers(tables, std::slice::from_ref(from), &[], now);
    }

    /// Merges the sync response of the peer with the HTTP address `from`.
    pub fn apply_sync(
        &mut self,
        tables: &mut membership::Tables,
        sync: &exchange::Sync,
        records: &[exchange::RecordVersion],
        from: SocketAddrV4,
        now: clock::Millis,
    ) -> Vec<Action> {
        let joining = !tables.is_synced();
        let pending = self.rumours.clone();
        self.merge_balancers(tables, &[], &sync.balancers, now);
        for tombstone in &sync.tombstones {
            tables.merge_tombstone(tombstone, now);
        }
        self.merge_members(tables, &sync.members, now);
        // The other balancers already have the entries that a joining process copies
        // from a peer, so no rumours are needed for them.
        if joining {
            self.rumours = pending;
        }
        for report in &sync.reports {
            tables.merge_report(report, now);
            if joining {
                tables.trust_report(report.balancer, now);
            }
        }
        tables.mark_synced(now);
        exchange::pull_records(&sync.record_versions, records, from)
    }

    /// Runs one gossip round; called [`ROUNDS_PER_PERIOD`] times per heartbeat period.
    ///
    /// Updates the tables to `now` and returns the datagrams to send.
    pub fn tick(
        &mut self,
        tables: &mut membership::Tables,
        records: &[exchange::RecordVersion],
        now: clock::Millis,
    ) -> Vec<Action> {
        if tables.tick(now) {
            self.start_rumour(Topic::Liveness(tables.own().node));
        }
        self.round += 1;
        if self.rumours.is_empty() && !self.round.is_multiple_of(ROUNDS_PER_PERIOD) {
            return Vec::new();
        }
        let peers = self.select_peers(tables, now);
        if peers.is_empty() {
            self.rumours.clear();
            return Vec::new();
        }
        let bodies = self.message_bodies(tables, records);
        peers
            .iter()
            .flat_map(|to| {
                bodies.iter().map(|body| Action::Send {
                    to: *to,
                    body: body.clone(),
                })
            })
            .collect()
    }

    fn merge_balancers(
        &mut self,
        tables: &mut membership::Tables,
        from: &[member::Balancer],
        balancers: &[member::Balancer],
        now: clock::Millis,
    ) {
        for balancer in from.iter().chain(balancers) {
            if tables.merge_balancer(balancer, now) == membership::Merge::Applied {
                self.start_rumour(Topic::Balancer(balancer.node));
            }
        }
    }

    fn merge_reports(
        &mut self,
        tables: &mut membership::Tables,
        reports: &[membership::LivenessReport],
        now: clock::Millis,
    ) {
        for report in reports {
            if tables.merge_report(report, now) == membership::Merge::Applied {
                self.start_rumour(Topic::Liveness(report.balancer));
            }
        }
    }

    fn merge_members(
        &mut self,
        tables: &mut membership::Tables,
        members: &[member::Member],
        now: clock::Millis,
    ) {
        for member in members {
            if tables.merge_member(member, now) == membership::Merge::Applied {
                self.start_rumour(Topic::Member(member.node));
            }
        }
    }

    fn compare_digests(
        &mut self,
        tables: &membership::Tables,
        exchange: &exchange::Exchange,
        records: &[exchange::RecordVersion],
        now: clock::Millis,
    ) {
        if exchange::digests(tables, records) == exchange.digests {
            self.mismatch_since = None;
        } else {
            self.mismatch_since.get_or_insert(now);
        }
    }

    fn request_sync(
        &mut self,
        tables: &membership::Tables,
        from: SocketAddrV4,
        now: clock::Millis,
    ) -> Option<Action> {
        let period = tables.timing().period.0;
        let persistent = self
            .mismatch_since
            .is_some_and(|at| now.since(at).0 >= MISMATCH_TIMEOUT_PERIODS * period);
        let requested_recently = self
            .sync_requested
            .is_some_and(|at| now.since(at).0 < SYNC_INTERVAL_PERIODS * period);
        if !persistent || requested_recently {
            return None;
        }
        self.sync_requested = Some(now);
        self.mismatch_since = None;
        Some(Action::Sync { from })
    }

    fn select_peers(
        &mut self,
        tables: &membership::Tables,
        now: clock::Millis,
    ) -> Vec<SocketAddrV4> {
        let me = tables.own().node;
        let (live, stale): (Vec<_>, Vec<_>) = tables
            .balancers()
            .iter()
            .filter(|row| row.balancer.node != me)
            .partition(|row| row.is_live(tables.timing(), now));
        let mut peers: Vec<_> = live
            .choose_multiple(&mut self.rng, FANOUT)
            .map(|row| row.balancer.control)
            .collect();
        // After a network partition, each side considers the other one dead. They merge
        // again only if some datagrams are still sent to peers that seem dead.
        if peers.is_empty() || self.rng.random_bool(STALE_PEER_PROBABILITY) {
            let other = stale.choose(&mut self.rng);
            peers.extend(other.map(|row| row.balancer.control));
        }
        peers
    }

    fn message_bodies(
        &mut self,
        tables: &membership::Tables,
        records: &[exchange::RecordVersion],
    ) -> Vec<Vec<u8>> {
        let mut packer = Packer::new(tables, records);
        for rumour in &mut self.rumours {
            if !packer.push(&rumour.topic, tables, records) {
                break;
            }
            rumour.rounds -= 1;
        }
        self.rumours.retain(|rumour| rumour.rounds > 0);
        packer.finish()
    }
}

/// Packs rumours into `Exchange` messages of at most [`exchange::MAX_DATAGRAM`] bytes.
struct Packer {
    empty: exchange::Exchange,
    base_len: usize,
    len: usize,
    current: exchange::Exchange,
    bodies: Vec<Vec<u8>>,
}

impl Packer {
    fn new(tables: &membership::Tables, records: &[exchange::RecordVersion]) -> Self {
        let empty = exchange::Exchange {
            from: tables.own().clone(),
            digests: exchange::digests(tables, records),
            reports: Vec::new(),
            members: Vec::new(),
            balancers: Vec::new(),
            record_versions: Vec::new(),
        };
        let base_len = exchange::encode(&empty).len() + seal::OVERHEAD + LENGTH_PREFIX_BYTES;
        Self {
            current: empty.clone(),
            empty,
            base_len,
            len: base_len,
            bodies: Vec::new(),
        }
    }

    /// Adds the entry that a rumour refers to, if it still exists.
    ///
    /// Returns false if all datagrams are full.
    fn push(
        &mut self,
        topic: &Topic,
        tables: &membership::Tables,
        records: &[exchange::RecordVersion],
    ) -> bool {
        match topic {
            Topic::Member(node) => tables.member(*node).is_none_or(|row| {
                self.reserve(&row.member) && push(&mut self.current.members, &row.member)
            }),
            Topic::Balancer(node) => tables.balancer(*node).is_none_or(|row| {
                self.reserve(&row.balancer) && push(&mut self.current.balancers, &row.balancer)
            }),
            Topic::Liveness(node) => tables
                .balancer(*node)
                .and_then(|row| row.report.as_ref())
                .is_none_or(|report| {
                    self.reserve(report) && push(&mut self.current.reports, report)
                }),
            Topic::Record(name) => exchange::find_record(records, name).is_none_or(|record| {
                self.reserve(record) && push(&mut self.current.record_versions, record)
            }),
        }
    }

    /// Reserves space for an item, in a new datagram if the current one is full.
    ///
    /// Returns false if all datagrams are full.
    fn reserve<T: Serialize>(&mut self, item: &T) -> bool {
        let len = exchange::encode(item).len();
        if self.len + len > exchange::MAX_DATAGRAM {
            if self.bodies.len() + 1 >= MAX_DATAGRAMS {
                return false;
            }
            self.flush();
        }
        self.len += len;
        true
    }

    fn flush(&mut self) {
        let full = std::mem::replace(&mut self.current, self.empty.clone());
        self.bodies.push(exchange::encode(&full));
        self.len = self.base_len;
    }

    fn finish(mut self) -> Vec<Vec<u8>> {
        self.flush();
        self.bodies
    }
}

/// Appends a copy of an item; always returns true, to be chained to [`Packer::reserve`].
fn push<T: Clone>(items: &mut Vec<T>, item: &T) -> bool {
    items.push(item.clone());
    true
}
