//! Spreading of changes among balancers.
//!
//! Changed entries are rumours: each process repeats one for a bounded number
//! of rounds to a few random peers (Demers et al., "Epidemic algorithms for
//! replicated database maintenance", 1987). Digests find what rumours missed;
//! a difference that lasts is mended by a full sync over HTTP.

use std::net::SocketAddrV4;

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde::Serialize;

use crate::{
    clock,
    exchange::{self, Action},
    ident, member, membership, seal,
};

/// Peers that each round of rumours goes to.
pub const FANOUT: usize = 3;

/// Rounds of one period; rumours go out in each, digests once a period.
pub const ROUNDS_PER_PERIOD: u64 = 4;

const ENTRY_ROUNDS: u8 = 3;
const LINE_ROUNDS: u8 = 1;
const MAX_RUMOURS: usize = 8_192;
const MAX_DATAGRAMS: usize = 4;
const LENGTH_BYTES: usize = 16;
const STALE_PEER_ODDS: f64 = 0.1;
const MISMATCH_PERIODS: u64 = 2;
const SYNC_PERIODS: u64 = 5;

/// What a rumour is about; where datagrams are full, the first kinds go first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Topic {
    /// A record's version.
    Record(String),
    /// A balancer's line.
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

/// Rumours that one balancer still repeats, and what it saw of its peers' digests.
#[derive(Clone, Debug)]
pub struct Gossip {
    rng: SmallRng,
    rumours: Vec<Rumour>,
    round: u64,
    differs: Option<clock::Millis>,
    asked: Option<clock::Millis>,
}

impl Gossip {
    /// Starts without rumours; `seed` decides on the choice of peers.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            rumours: Vec::new(),
            round: 0,
            differs: None,
            asked: None,
        }
    }

    /// Starts a rumour, or starts it anew.
    pub fn start_rumour(&mut self, topic: Topic) {
        let rounds = match topic {
            Topic::Liveness(_) => LINE_ROUNDS,
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

    /// Rumours that are still repeated.
    #[must_use]
    pub const fn pending_rumours(&self) -> usize {
        self.rumours.len()
    }

    /// Takes a heartbeat and gives the answer; `None` if it was seen before.
    pub fn handle_heartbeat(
        &mut self,
        tables: &mut membership::Tables,
        beat: &exchange::Heartbeat,
        services: &[exchange::VersionedService],
        now: clock::Millis,
    ) -> Option<exchange::Ack> {
        let node = beat.member.node;
        let merge = tables.record_heartbeat(&beat.member, beat.seq, now)?;
        if merge == membership::Merge::Applied {
            self.start_rumour(Topic::Member(node));
        }
        if merge != membership::Merge::Rejected {
            tables.record_version(node, beat.version);
        }
        let refused = (merge == membership::Merge::Rejected)
            .then(|| tables.latest_entry(node))
            .flatten();
        let service = &beat.member.service;
        Some(exchange::Ack {
            balancer: tables.own().node,
            incarnation: tables.own().incarnation,
            seq: beat.seq,
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

    /// Takes a peer's datagram; `records` are those in force here, sorted by name.
    pub fn handle_exchange(
        &mut self,
        tables: &mut membership::Tables,
        exchange: &exchange::Exchange,
        records: &[exchange::Hint],
        now: clock::Millis,
    ) -> Vec<Action> {
        let from = std::slice::from_ref(&exchange.from);
        self.merge(tables, from, &exchange.balancers, now);
        self.merge_lines(tables, &exchange.reports, now);
        self.merge_members(tables, &exchange.members, now);
        self.compare(tables, exchange, records, now);
        let mut actions = exchange::pull_records(&exchange.hints, records, exchange.from.http);
        actions.extend(self.ask(tables, exchange.from.http, now));
        actions
    }

    /// Takes the entry of a balancer that asks for a sync.
    pub fn merge_sender(
        &mut self,
        tables: &mut membership::Tables,
        from: &member::Balancer,
        now: clock::Millis,
    ) {
        self.merge(tables, std::slice::from_ref(from), &[], now);
    }

    /// Takes a peer's answer to a sync, from its HTTP address.
    pub fn apply_sync(
        &mut self,
        tables: &mut membership::Tables,
        sync: &exchange::Sync,
        records: &[exchange::Hint],
        from: SocketAddrV4,
        now: clock::Millis,
    ) -> Vec<Action> {
        let joining = !tables.is_synced();
        let noted = self.rumours.clone();
        self.merge(tables, &[], &sync.balancers, now);
        for stone in &sync.tombstones {
            tables.merge_tombstone(stone, now);
        }
        self.merge_members(tables, &sync.members, now);
        // What a joining process takes from a peer is news to nobody else.
        if joining {
            self.rumours = noted;
        }
        for line in &sync.reports {
            tables.merge_report(line, now);
            if joining {
                tables.trust_report(line.balancer, now);
            }
        }
        tables.mark_synced(now);
        exchange::pull_records(&sync.hints, records, from)
    }

    /// Runs one of the [`ROUNDS`] of a period: brings the tables up to `now`
    /// and gives the datagrams to send.
    pub fn tick(
        &mut self,
        tables: &mut membership::Tables,
        records: &[exchange::Hint],
        now: clock::Millis,
    ) -> Vec<Action> {
        if tables.tick(now) {
            self.start_rumour(Topic::Liveness(tables.own().node));
        }
        self.round += 1;
        if self.rumours.is_empty() && !self.round.is_multiple_of(ROUNDS_PER_PERIOD) {
            return Vec::new();
        }
        let peers = self.peers(tables, now);
        if peers.is_empty() {
            self.rumours.clear();
            return Vec::new();
        }
        let bodies = self.bodies(tables, records);
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

    fn merge(
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

    fn merge_lines(
        &mut self,
        tables: &mut membership::Tables,
        lines: &[membership::LivenessReport],
        now: clock::Millis,
    ) {
        for line in lines {
            if tables.merge_report(line, now) == membership::Merge::Applied {
                self.start_rumour(Topic::Liveness(line.balancer));
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

    fn compare(
        &mut self,
        tables: &membership::Tables,
        exchange: &exchange::Exchange,
        records: &[exchange::Hint],
        now: clock::Millis,
    ) {
        if exchange::digests(tables, records) == exchange.digests {
            self.differs = None;
        } else {
            self.differs.get_or_insert(now);
        }
    }

    fn ask(
        &mut self,
        tables: &membership::Tables,
        from: SocketAddrV4,
        now: clock::Millis,
    ) -> Option<Action> {
        let period = tables.timing().period.0;
        let lasts = self
            .differs
            .is_some_and(|at| now.since(at).0 >= MISMATCH_PERIODS * period);
        let asked_lately = self
            .asked
            .is_some_and(|at| now.since(at).0 < SYNC_PERIODS * period);
        if !lasts || asked_lately {
            return None;
        }
        self.asked = Some(now);
        self.differs = None;
        Some(Action::Sync { from })
    }

    fn peers(&mut self, tables: &membership::Tables, now: clock::Millis) -> Vec<SocketAddrV4> {
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
        // A network that was cut heals only if somebody still tries the other side.
        if peers.is_empty() || self.rng.random_bool(STALE_PEER_ODDS) {
            let other = stale.choose(&mut self.rng);
            peers.extend(other.map(|row| row.balancer.control));
        }
        peers
    }

    fn bodies(&mut self, tables: &membership::Tables, records: &[exchange::Hint]) -> Vec<Vec<u8>> {
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

/// Fills datagrams up to [`exchange::MAX_DATAGRAM`].
struct Packer {
    empty: exchange::Exchange,
    base: usize,
    len: usize,
    current: exchange::Exchange,
    bodies: Vec<Vec<u8>>,
}

impl Packer {
    fn new(tables: &membership::Tables, records: &[exchange::Hint]) -> Self {
        let empty = exchange::Exchange {
            from: tables.own().clone(),
            digests: exchange::digests(tables, records),
            reports: Vec::new(),
            members: Vec::new(),
            balancers: Vec::new(),
            hints: Vec::new(),
        };
        let base = exchange::encode(&empty).len() + seal::OVERHEAD + LENGTH_BYTES;
        Self {
            current: empty.clone(),
            empty,
            base,
            len: base,
            bodies: Vec::new(),
        }
    }

    /// Adds what a rumour is about; false where all datagrams are full.
    fn push(
        &mut self,
        topic: &Topic,
        tables: &membership::Tables,
        records: &[exchange::Hint],
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
                .is_none_or(|line| self.reserve(line) && push(&mut self.current.reports, line)),
            Topic::Record(name) => exchange::find_hint(records, name)
                .is_none_or(|hint| self.reserve(hint) && push(&mut self.current.hints, hint)),
        }
    }

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
        self.len = self.base;
    }

    fn finish(mut self) -> Vec<Vec<u8>> {
        self.flush();
        self.bodies
    }
}

fn push<T: Clone>(items: &mut Vec<T>, item: &T) -> bool {
    items.push(item.clone());
    true
}
