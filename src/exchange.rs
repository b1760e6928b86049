//! Messages between agents and balancers, and the rules that spread changes.
//!
//! Changed entries are rumours: each process repeats one for a bounded number
//! of rounds to a few random peers (Demers et al., "Epidemic algorithms for
//! replicated database maintenance", 1987). Digests find what rumours missed;
//! a difference that lasts is mended by a full sync over HTTP.

use std::net::SocketAddrV4;

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{clock, config, ident, member, membership, record, seal};

pub use crate::config::Hint;

/// Longest datagram, with its seal.
pub const MAX_DATAGRAM: usize = 1_200;

/// Peers that each round of rumours goes to.
pub const FANOUT: usize = 3;

/// Rounds of one period; rumours go out in each, digests once a period.
pub const ROUNDS: u64 = 4;

const ENTRY_ROUNDS: u8 = 3;
const LINE_ROUNDS: u8 = 1;
const MAX_RUMOURS: usize = 8_192;
const MAX_DATAGRAMS: usize = 4;
const LENGTH_BYTES: usize = 16;
const STALE_PEER_ODDS: f64 = 0.1;
const MISMATCH_PERIODS: u64 = 2;
const SYNC_PERIODS: u64 = 5;
const MAX_PULL: usize = 256;

/// What an agent sends to each of its watchers once a period.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The agent's entry.
    pub member: member::Member,
    /// Grows with each heartbeat of the incarnation.
    pub seq: u64,
    /// Version of the service's record that is in force at the agent.
    pub version: u64,
    /// Digest of the view that the agent holds.
    pub digest: u64,
}

/// A balancer's answer to a heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ack {
    /// The balancer.
    pub balancer: ident::NodeId,
    /// The run of the balancer.
    pub incarnation: ident::Incarnation,
    /// The heartbeat that is answered.
    pub seq: u64,
    /// Digest of the view of the agent's service; the agent pulls if its own differs.
    pub digest: u64,
    /// Highest version of a record at the balancer.
    pub version: u64,
    /// Where the entry was refused: the agent must announce a later one than this.
    ///
    /// A later run has a greater incarnation; within one run the change counts.
    pub refused: Option<membership::Tombstone>,
}

/// Digests of one balancer's tables.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digests {
    /// Of the agents' entries.
    pub members: u64,
    /// Of the balancers' entries.
    pub balancers: u64,
    /// Of the names and versions of records.
    pub records: u64,
}

/// What one balancer tells another in one datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Exchange {
    /// The sender.
    pub from: member::Balancer,
    /// Digests of the sender's tables.
    pub digests: Digests,
    /// New lines of the sender and of others.
    pub lines: Vec<membership::Line>,
    /// Changed entries of agents.
    pub members: Vec<member::Member>,
    /// Changed entries of balancers.
    pub balancers: Vec<member::Balancer>,
    /// Changed records.
    pub hints: Vec<Hint>,
}

/// Asks a balancer for what differs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncRequest {
    /// The asking balancer, so that the two know each other.
    pub from: Option<member::Balancer>,
    /// Digests of the parts of the agents' table; empty to get all.
    pub parts: Vec<u64>,
}

/// A balancer's answer to a [`SyncRequest`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sync {
    /// All balancers.
    pub balancers: Vec<member::Balancer>,
    /// The lines that made progress lately.
    pub lines: Vec<membership::Line>,
    /// Agents of the parts that differ.
    pub members: Vec<member::Member>,
    /// Agents that were forgotten.
    pub tombstones: Vec<membership::Tombstone>,
    /// All records.
    pub hints: Vec<Hint>,
}

/// Asks a balancer for a view, by the name of a service or by its address.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ViewRequest {
    /// The service of this name.
    Service(String),
    /// The service that has this address now.
    Address(SocketAddrV4),
}

/// What an agent needs to know of a service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct View {
    /// The service's record, if there is one.
    pub service: Option<record::Service>,
    /// Version of the record, 0 without one.
    pub version: u64,
    /// The service's agents that are taken for alive, sorted by node.
    pub members: Vec<member::Member>,
    /// The live balancers, sorted by node.
    pub balancers: Vec<member::Balancer>,
    /// Digest of all this, as in [`Ack`].
    pub digest: u64,
}

/// A record in force, with its version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Versioned {
    /// The record's name.
    pub name: String,
    /// The record's version.
    pub version: u64,
    /// The service; `None` where this version deletes it.
    pub service: Option<record::Service>,
}

/// The records in force of a table, sorted by name.
#[must_use]
pub fn versioned(table: &config::Table) -> Vec<Versioned> {
    let standings = table.standings().filter(|standing| standing.in_force > 0);
    standings
        .map(|standing| Versioned {
            service: table.service(&standing.name).cloned(),
            version: standing.in_force,
            name: standing.name,
        })
        .collect()
}

/// The highest version of each record that a table has seen, sorted by name.
#[must_use]
pub fn hints(table: &config::Table) -> Vec<Hint> {
    table
        .standings()
        .map(|standing| Hint {
            name: standing.name,
            version: standing.seen,
        })
        .collect()
}

/// What is to be done after a rule has run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a datagram of kind `Exchange`.
    Send {
        /// The peer's control address.
        to: SocketAddrV4,
        /// The body, to be sealed.
        body: Vec<u8>,
    },
    /// Ask a peer for what differs.
    Sync {
        /// The peer's HTTP address.
        from: SocketAddrV4,
    },
    /// Pull records from a peer that has newer ones.
    PullRecords {
        /// The peer's HTTP address.
        from: SocketAddrV4,
        /// Names of the records, sorted.
        names: Vec<String>,
    },
}

/// What a rumour is about.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Topic {
    /// A balancer's line.
    Line(ident::NodeId),
    /// An agent's entry.
    Member(ident::NodeId),
    /// A balancer's entry.
    Balancer(ident::NodeId),
    /// A record's version.
    Record(String),
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
    pub fn note(&mut self, topic: Topic) {
        let rounds = match topic {
            Topic::Line(_) => LINE_ROUNDS,
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
    pub const fn pending(&self) -> usize {
        self.rumours.len()
    }

    /// Takes a heartbeat and gives the answer; `None` if it was seen before.
    pub fn heartbeat(
        &mut self,
        tables: &mut membership::Tables,
        beat: &Heartbeat,
        services: &[Versioned],
        now: clock::Millis,
    ) -> Option<Ack> {
        let node = beat.member.node;
        let merge = tables.beat(&beat.member, beat.seq, now)?;
        if merge == membership::Merge::Taken {
            self.note(Topic::Member(node));
        }
        let refused = (merge == membership::Merge::Refused)
            .then(|| tables.newest(node))
            .flatten();
        let service = &beat.member.service;
        Some(Ack {
            balancer: tables.own().node,
            incarnation: tables.own().incarnation,
            seq: beat.seq,
            digest: tables.view_digest(service, version_of(services, service), now),
            version: highest(services),
            refused,
        })
    }

    /// Takes a peer's datagram; `records` are those in force here, sorted by name.
    pub fn receive(
        &mut self,
        tables: &mut membership::Tables,
        exchange: &Exchange,
        records: &[Hint],
        now: clock::Millis,
    ) -> Vec<Action> {
        let from = std::slice::from_ref(&exchange.from);
        self.merge(tables, from, &exchange.balancers, now);
        self.merge_lines(tables, &exchange.lines, now);
        self.merge_members(tables, &exchange.members, now);
        self.compare(tables, exchange, records, now);
        let mut actions = pull(&exchange.hints, records, exchange.from.http);
        actions.extend(self.ask(tables, exchange.from.http, now));
        actions
    }

    /// Takes the entry of a balancer that asks for a sync.
    pub fn welcome(
        &mut self,
        tables: &mut membership::Tables,
        from: &member::Balancer,
        now: clock::Millis,
    ) {
        self.merge(tables, std::slice::from_ref(from), &[], now);
    }

    /// Takes a peer's answer to a sync, from its HTTP address.
    pub fn absorb(
        &mut self,
        tables: &mut membership::Tables,
        sync: &Sync,
        records: &[Hint],
        from: SocketAddrV4,
        now: clock::Millis,
    ) -> Vec<Action> {
        self.merge(tables, &[], &sync.balancers, now);
        for stone in &sync.tombstones {
            tables.merge_tombstone(stone, now);
        }
        self.merge_members(tables, &sync.members, now);
        let joining = !tables.is_synced();
        for line in &sync.lines {
            tables.merge_line(line, now);
            if joining {
                tables.trust_line(line.balancer, now);
            }
        }
        tables.synced(now);
        pull(&sync.hints, records, from)
    }

    /// Runs one of the [`ROUNDS`] of a period: brings the tables up to `now`
    /// and gives the datagrams to send.
    pub fn tick(
        &mut self,
        tables: &mut membership::Tables,
        records: &[Hint],
        now: clock::Millis,
    ) -> Vec<Action> {
        if tables.tick(now) {
            self.note(Topic::Line(tables.own().node));
        }
        self.round += 1;
        if self.rumours.is_empty() && !self.round.is_multiple_of(ROUNDS) {
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
            if tables.merge_balancer(balancer, now) == membership::Merge::Taken {
                self.note(Topic::Balancer(balancer.node));
            }
        }
    }

    fn merge_lines(
        &mut self,
        tables: &mut membership::Tables,
        lines: &[membership::Line],
        now: clock::Millis,
    ) {
        for line in lines {
            if tables.merge_line(line, now) == membership::Merge::Taken {
                self.note(Topic::Line(line.balancer));
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
            if tables.merge_member(member, now) == membership::Merge::Taken {
                self.note(Topic::Member(member.node));
            }
        }
    }

    fn compare(
        &mut self,
        tables: &membership::Tables,
        exchange: &Exchange,
        records: &[Hint],
        now: clock::Millis,
    ) {
        if digests(tables, records) == exchange.digests {
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

    fn bodies(&mut self, tables: &membership::Tables, records: &[Hint]) -> Vec<Vec<u8>> {
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

/// Fills datagrams up to [`MAX_DATAGRAM`].
struct Packer {
    empty: Exchange,
    base: usize,
    len: usize,
    current: Exchange,
    bodies: Vec<Vec<u8>>,
}

impl Packer {
    fn new(tables: &membership::Tables, records: &[Hint]) -> Self {
        let empty = Exchange {
            from: tables.own().clone(),
            digests: digests(tables, records),
            lines: Vec::new(),
            members: Vec::new(),
            balancers: Vec::new(),
            hints: Vec::new(),
        };
        let base = encode(&empty).len() + seal::OVERHEAD + LENGTH_BYTES;
        Self {
            current: empty.clone(),
            empty,
            base,
            len: base,
            bodies: Vec::new(),
        }
    }

    /// Adds what a rumour is about; false where all datagrams are full.
    fn push(&mut self, topic: &Topic, tables: &membership::Tables, records: &[Hint]) -> bool {
        match topic {
            Topic::Member(node) => tables.member(*node).is_none_or(|row| {
                self.reserve(&row.member) && push(&mut self.current.members, &row.member)
            }),
            Topic::Balancer(node) => tables.balancer(*node).is_none_or(|row| {
                self.reserve(&row.balancer) && push(&mut self.current.balancers, &row.balancer)
            }),
            Topic::Line(node) => tables
                .balancer(*node)
                .and_then(|row| row.line.as_ref())
                .is_none_or(|line| self.reserve(line) && push(&mut self.current.lines, line)),
            Topic::Record(name) => find(records, name)
                .is_none_or(|hint| self.reserve(hint) && push(&mut self.current.hints, hint)),
        }
    }

    fn reserve<T: Serialize>(&mut self, item: &T) -> bool {
        let len = encode(item).len();
        if self.len + len > MAX_DATAGRAM {
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
        self.bodies.push(encode(&full));
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

/// Digests of all tables.
#[must_use]
pub fn digests(tables: &membership::Tables, records: &[Hint]) -> Digests {
    Digests {
        members: tables.member_digests().iter().fold(0, |all, one| all ^ one),
        balancers: tables.balancer_digest(),
        records: records.iter().fold(0, |all, hint| all ^ hash(hint)),
    }
}

/// Asks for all parts of the agents' table that differ from this balancer's.
#[must_use]
pub fn sync_request(tables: &membership::Tables) -> SyncRequest {
    SyncRequest {
        from: Some(tables.own().clone()),
        parts: tables.member_digests().to_vec(),
    }
}

/// Answers a request for what differs.
#[must_use]
pub fn sync(
    tables: &membership::Tables,
    request: &SyncRequest,
    records: &[Hint],
    now: clock::Millis,
) -> Sync {
    let parts = tables.member_digests();
    let differs = |node| {
        let part = membership::part(node);
        request.parts.get(part) != Some(&parts[part])
    };
    let balancers = tables.balancers();
    Sync {
        balancers: balancers.iter().map(|row| row.balancer.clone()).collect(),
        lines: balancers
            .iter()
            .filter(|row| row.is_fresh(tables.timing(), now))
            .filter_map(|row| row.line.clone())
            .collect(),
        members: tables
            .members()
            .iter()
            .map(|row| &row.member)
            .filter(|member| differs(member.node))
            .cloned()
            .collect(),
        tombstones: tables
            .tombstones()
            .filter(|stone| differs(stone.node))
            .collect(),
        hints: records.to_vec(),
    }
}

/// Answers a request for a view; `services` are those in force, sorted by name.
#[must_use]
pub fn view(
    tables: &membership::Tables,
    request: &ViewRequest,
    services: &[Versioned],
    now: clock::Millis,
) -> View {
    let found = match request {
        ViewRequest::Service(name) => find_service(services, name),
        ViewRequest::Address(address) => services
            .iter()
            .find(|versioned| address_of(versioned) == Some(*address)),
    };
    let name = match (request, found) {
        (ViewRequest::Service(name), _) => name.as_str(),
        (ViewRequest::Address(_), found) => found.map_or("", |found| &found.name),
    };
    let version = found.map_or(0, |found| found.version);
    View {
        service: found.and_then(|found| found.service.clone()),
        version,
        members: tables.in_force(name).cloned().collect(),
        balancers: tables.live(now).cloned().collect(),
        digest: tables.view_digest(name, version, now),
    }
}

/// Writes a message in `MessagePack`.
///
/// # Panics
///
/// Never: messages hold plain values.
#[must_use]
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("plain values can be written")
}

/// The records that are newer at a peer than here.
fn pull(hints: &[Hint], records: &[Hint], from: SocketAddrV4) -> Vec<Action> {
    let mut names: Vec<_> = hints
        .iter()
        .filter(|hint| find(records, &hint.name).is_none_or(|own| own.version < hint.version))
        .map(|hint| hint.name.clone())
        .take(MAX_PULL)
        .collect();
    names.sort_unstable();
    names.dedup();
    if names.is_empty() {
        return Vec::new();
    }
    vec![Action::PullRecords { from, names }]
}

fn find<'a>(records: &'a [Hint], name: &str) -> Option<&'a Hint> {
    records
        .binary_search_by(|hint| hint.name.as_str().cmp(name))
        .ok()
        .map(|at| &records[at])
}

fn find_service<'a>(services: &'a [Versioned], name: &str) -> Option<&'a Versioned> {
    services
        .binary_search_by(|versioned| versioned.name.as_str().cmp(name))
        .ok()
        .map(|at| &services[at])
}

fn version_of(services: &[Versioned], name: &str) -> u64 {
    find_service(services, name).map_or(0, |found| found.version)
}

fn highest(services: &[Versioned]) -> u64 {
    services
        .iter()
        .map(|versioned| versioned.version)
        .max()
        .unwrap_or(0)
}

fn hash(hint: &Hint) -> u64 {
    xxh3::xxh3_64_with_seed(hint.name.as_bytes(), hint.version)
}

fn address_of(versioned: &Versioned) -> Option<SocketAddrV4> {
    versioned.service.as_ref().map(|service| service.address)
}
