//! Control messages between agents and balancers: heartbeats, gossip datagrams,
//! sync and view requests, and the functions that build the responses.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{clock, ident, member, membership, record, record_table};

pub use crate::record_table::RecordVersion;

/// Maximum length of a heartbeat or gossip datagram including its seal, in bytes; balancers
/// drop longer ones.
pub const MAX_DATAGRAM: usize = 1_200;

/// Maximum number of records that are pulled from a peer at once.
const MAX_PULLED_RECORDS: usize = 256;

/// Heartbeat that an agent sends to each of its watchers once a period.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The agent's entry.
    pub member: member::Member,
    /// Sequence number within the incarnation.
    pub seq: u64,
    /// Version of the service's record that is active at the agent.
    pub version: u64,
    /// Digest of the agent's current view.
    pub digest: u64,
}

/// Acknowledgement of a heartbeat by a balancer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ack {
    /// The balancer.
    pub balancer: ident::NodeId,
    /// Incarnation of the balancer's process.
    pub incarnation: ident::Incarnation,
    /// Sequence number of the acknowledged heartbeat.
    pub seq: u64,
    /// Digest of the agent's view at the balancer; the agent pulls the view if its own differs.
    pub digest: u64,
    /// Highest version of any active service's record at the balancer.
    pub version: u64,
    /// If the entry was rejected, the newest entry known to the balancer.
    ///
    /// The agent must publish an entry that is newer: one with a greater incarnation,
    /// or with a greater change counter in the same incarnation.
    pub refused: Option<membership::Tombstone>,
}

/// Digests of one balancer's tables.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digests {
    /// Digest of the agents' entries.
    pub members: u64,
    /// Digest of the balancers' entries.
    pub balancers: u64,
    /// Digest of the names and versions of the records.
    pub records: u64,
}

/// Gossip datagram from one balancer to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Exchange {
    /// Entry of the sender.
    pub from: member::Balancer,
    /// Digests of the sender's tables.
    pub digests: Digests,
    /// New liveness reports of the sender and of other balancers.
    pub reports: Vec<membership::LivenessReport>,
    /// Changed entries of agents.
    pub members: Vec<member::Member>,
    /// Changed entries of balancers.
    pub balancers: Vec<member::Balancer>,
    /// Names and versions of changed records.
    pub record_versions: Vec<RecordVersion>,
}

/// Request for the entries in which the receiver's tables differ from the requester's.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncRequest {
    /// Entry of the requesting balancer, which the receiver adds to its table.
    pub from: Option<member::Balancer>,
    /// Digest of each partition of the requester's agent table; empty to get all partitions.
    pub partition_digests: Vec<u64>,
}

/// Response to a [`SyncRequest`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sync {
    /// All balancers.
    pub balancers: Vec<member::Balancer>,
    /// The liveness reports that are fresh at the responding balancer.
    pub reports: Vec<membership::LivenessReport>,
    /// Agents of the partitions that differ.
    pub members: Vec<member::Member>,
    /// Tombstones of the partitions that differ.
    pub tombstones: Vec<membership::Tombstone>,
    /// Names and versions of all records.
    pub record_versions: Vec<RecordVersion>,
}

/// Request for a balancer's view of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ViewRequest {
    /// The service of this name.
    Service(String),
    /// The service that currently has this address.
    Address(SocketAddrV4),
    /// An agent's own service, with the balancers that rank highest for the agent.
    Agent {
        /// Name of the service.
        service: String,
        /// The agent.
        node: ident::NodeId,
    },
}

/// View of a service: its record, its agents and the balancers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct View {
    /// The service's record, if there is one.
    pub service: Option<record::Service>,
    /// Version of the record, 0 without one.
    pub version: u64,
    /// The active agents of the service, sorted by node.
    pub members: Vec<member::Member>,
    /// The live balancers, limited to the highest-ranked ones in an agent's view,
    /// sorted by node.
    pub balancers: Vec<member::Balancer>,
    /// Digest of the view, comparable with [`Ack::digest`].
    pub digest: u64,
}

/// The active version of a service's record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionedService {
    /// The record's name.
    pub name: String,
    /// The record's version.
    pub version: u64,
    /// The service; `None` if this version deletes it.
    pub service: Option<record::Service>,
}

/// Returns the active version of each record of a table, sorted by name.
#[must_use]
pub fn versioned_services(table: &record_table::Table) -> Vec<VersionedService> {
    let statuses = table.statuses().filter(|status| status.in_force > 0);
    statuses
        .map(|status| VersionedService {
            service: table.service(&status.name).cloned(),
            version: status.in_force,
            name: status.name,
        })
        .collect()
}

/// Returns the highest version of each record that a table has seen, sorted by name.
#[must_use]
pub fn record_versions(table: &record_table::Table) -> Vec<RecordVersion> {
    table
        .statuses()
        .map(|status| RecordVersion {
            name: status.name,
            version: status.seen,
        })
        .collect()
}

/// Network operation that the gossip code requests from the daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a datagram of kind `Exchange`.
    Send {
        /// The peer's control address.
        to: SocketAddrV4,
        /// The datagram's body, not yet sealed.
        body: Vec<u8>,
    },
    /// Send a sync request to a peer.
    Sync {
        /// The peer's HTTP address.
        from: SocketAddrV4,
    },
    /// Pull records from a peer that has newer versions.
    PullRecords {
        /// The peer's HTTP address.
        from: SocketAddrV4,
        /// Names of the records, sorted.
        names: Vec<String>,
    },
}

/// Computes the digests of all tables.
#[must_use]
pub fn digests(tables: &membership::Tables, records: &[RecordVersion]) -> Digests {
    Digests {
        members: tables.member_digests().iter().fold(0, |all, one| all ^ one),
        balancers: tables.balancer_digest(),
        records: records
            .iter()
            .fold(0, |all, record| all ^ hash_record(record)),
    }
}

/// Builds the request for all partitions of the agent table that differ from this balancer's.
#[must_use]
pub fn sync_request(tables: &membership::Tables) -> SyncRequest {
    SyncRequest {
        from: Some(tables.own().clone()),
        partition_digests: tables.member_digests().to_vec(),
    }
}

/// Builds the response to a sync request.
#[must_use]
pub fn build_sync(
    tables: &membership::Tables,
    request: &SyncRequest,
    records: &[RecordVersion],
    now: clock::Millis,
) -> Sync {
    let digests = tables.member_digests();
    let differs = |node| {
        let partition = membership::partition(node);
        request.partition_digests.get(partition) != Some(&digests[partition])
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
            .filter(|tombstone| differs(tombstone.node))
            .collect(),
        record_versions: records.to_vec(),
    }
}

/// Builds the response to a view request; `services` are the active ones, sorted by name.
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
            .find(|versioned| service_address(versioned) == Some(*address)),
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

/// Encodes a message as `MessagePack`.
///
/// # Panics
///
/// Never: messages consist of values that `MessagePack` can represent.
#[must_use]
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("message types have a MessagePack encoding")
}

/// Returns the action that pulls the records whose `remote` version, at the peer `from`, is
/// newer than the `local` one; empty if there are none.
pub(crate) fn pull_records(
    remote: &[RecordVersion],
    local: &[RecordVersion],
    from: SocketAddrV4,
) -> Vec<Action> {
    let mut names: Vec<_> = remote
        .iter()
        .filter(|newer| {
            find_record(local, &newer.name).is_none_or(|own| own.version < newer.version)
        })
        .map(|newer| newer.name.clone())
        .take(MAX_PULLED_RECORDS)
        .collect();
    names.sort_unstable();
    names.dedup();
    if names.is_empty() {
        return Vec::new();
    }
    vec![Action::PullRecords { from, names }]
}

pub(crate) fn find_record<'a>(
    records: &'a [RecordVersion],
    name: &str,
) -> Option<&'a RecordVersion> {
    records
        .binary_search_by(|record| record.name.as_str().cmp(name))
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

fn hash_record(record: &RecordVersion) -> u64 {
    xxh3::xxh3_64_with_seed(record.name.as_bytes(), record.version)
}

fn service_address(versioned: &VersionedService) -> Option<SocketAddrV4> {
    versioned.service.as_ref().map(|service| service.address)
}
