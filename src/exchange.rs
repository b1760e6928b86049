//! Messages between agents and balancers, and the answers to them.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{clock, ident, member, membership, record, record_table};

pub use crate::record_table::RecordVersion as Hint;

/// Longest datagram, with its seal.
pub const MAX_DATAGRAM: usize = 1_200;

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
    pub reports: Vec<membership::LivenessReport>,
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
    pub partition_digests: Vec<u64>,
}

/// A balancer's answer to a [`SyncRequest`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sync {
    /// All balancers.
    pub balancers: Vec<member::Balancer>,
    /// The lines that made progress lately.
    pub reports: Vec<membership::LivenessReport>,
    /// Agents of the parts that differ.
    pub members: Vec<member::Member>,
    /// Agents that were forgotten.
    pub tombstones: Vec<membership::Tombstone>,
    /// All records.
    pub hints: Vec<Hint>,
}

/// Asks a balancer for a view of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ViewRequest {
    /// The service of this name.
    Service(String),
    /// The service that has this address now.
    Address(SocketAddrV4),
    /// An agent's own service, with the balancers that matter to the agent.
    Agent {
        /// Name of the service.
        service: String,
        /// The agent.
        node: ident::NodeId,
    },
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
    /// The live balancers, or those that matter to the asking agent, sorted by node.
    pub balancers: Vec<member::Balancer>,
    /// Digest of all this, as in [`Ack`].
    pub digest: u64,
}

/// A record in force, with its version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionedService {
    /// The record's name.
    pub name: String,
    /// The record's version.
    pub version: u64,
    /// The service; `None` where this version deletes it.
    pub service: Option<record::Service>,
}

/// The records in force of a table, sorted by name.
#[must_use]
pub fn versioned_services(table: &record_table::Table) -> Vec<VersionedService> {
    let standings = table.statuses().filter(|standing| standing.in_force > 0);
    standings
        .map(|standing| VersionedService {
            service: table.service(&standing.name).cloned(),
            version: standing.in_force,
            name: standing.name,
        })
        .collect()
}

/// The highest version of each record that a table has seen, sorted by name.
#[must_use]
pub fn hints(table: &record_table::Table) -> Vec<Hint> {
    table
        .statuses()
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
        partition_digests: tables.member_digests().to_vec(),
    }
}

/// Answers a request for what differs.
#[must_use]
pub fn build_sync(
    tables: &membership::Tables,
    request: &SyncRequest,
    records: &[Hint],
    now: clock::Millis,
) -> Sync {
    let parts = tables.member_digests();
    let differs = |node| {
        let part = membership::partition(node);
        request.partition_digests.get(part) != Some(&parts[part])
    };
    let balancers = tables.balancers();
    Sync {
        balancers: balancers.iter().map(|row| row.balancer.clone()).collect(),
        reports: balancers
            .iter()
            .filter(|row| row.is_fresh(tables.timing(), now))
            .filter_map(|row| row.report.clone())
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
pub fn build_view(
    tables: &membership::Tables,
    request: &ViewRequest,
    services: &[VersionedService],
    now: clock::Millis,
) -> View {
    let found = match request {
        ViewRequest::Service(name) | ViewRequest::Agent { service: name, .. } => {
            find_service(services, name)
        }
        ViewRequest::Address(address) => services
            .iter()
            .find(|versioned| address_of(versioned) == Some(*address)),
    };
    let name = match (request, found) {
        (ViewRequest::Service(name) | ViewRequest::Agent { service: name, .. }, _) => name.as_str(),
        (ViewRequest::Address(_), found) => found.map_or("", |found| &found.name),
    };
    let version = found.map_or(0, |found| found.version);
    let (balancers, digest) = match request {
        ViewRequest::Agent { node, .. } => (
            agent_balancers(tables, *node, now),
            tables.agent_digest(*node, name, version, now),
        ),
        _ => (
            tables.live_balancers(now).cloned().collect(),
            tables.view_digest(name, version, now),
        ),
    };
    View {
        service: found.and_then(|found| found.service.clone()),
        version,
        members: tables.active_members(name).cloned().collect(),
        balancers,
        digest,
    }
}

fn agent_balancers(
    tables: &membership::Tables,
    agent: ident::NodeId,
    now: clock::Millis,
) -> Vec<member::Balancer> {
    let mut balancers: Vec<_> = membership::rank_balancers(
        agent,
        tables.live_balancers(now),
        membership::MAX_KNOWN_BALANCERS,
    )
    .into_iter()
    .cloned()
    .collect();
    balancers.sort_unstable_by_key(|balancer| balancer.node);
    balancers
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
pub(crate) fn pull_records(hints: &[Hint], records: &[Hint], from: SocketAddrV4) -> Vec<Action> {
    let mut names: Vec<_> = hints
        .iter()
        .filter(|hint| find_hint(records, &hint.name).is_none_or(|own| own.version < hint.version))
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

pub(crate) fn find_hint<'a>(records: &'a [Hint], name: &str) -> Option<&'a Hint> {
    records
        .binary_search_by(|hint| hint.name.as_str().cmp(name))
        .ok()
        .map(|at| &records[at])
}

fn find_service<'a>(services: &'a [VersionedService], name: &str) -> Option<&'a VersionedService> {
    services
        .binary_search_by(|versioned| versioned.name.as_str().cmp(name))
        .ok()
        .map(|at| &services[at])
}

pub(crate) fn version_of(services: &[VersionedService], name: &str) -> u64 {
    find_service(services, name).map_or(0, |found| found.version)
}

pub(crate) fn max_version(services: &[VersionedService]) -> u64 {
    services
        .iter()
        .map(|versioned| versioned.version)
        .max()
        .unwrap_or(0)
}

fn hash(hint: &Hint) -> u64 {
    xxh3::xxh3_64_with_seed(hint.name.as_bytes(), hint.version)
}

fn address_of(versioned: &VersionedService) -> Option<SocketAddrV4> {
    versioned.service.as_ref().map(|service| service.address)
}
