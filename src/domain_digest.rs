//! Liveness of a failure domain, reported to the nodes of other domains.
//!
//! Periodic heartbeats stay within a failure domain. For each node of another domain, two
//! balancers of the domain are its reporters: they send it a digest of the nodes that are
//! alive, and the list of those that are not. A receiver whose own table yields the same
//! digest takes them all for alive. Otherwise it requests their entries from the reporter
//! (anti-entropy by checksums, Demers et al., "Epidemic algorithms for replicated database
//! maintenance", 1987). The traffic between domains thus grows with the number of nodes
//! and not with its square.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{clock::Millis, evacuation, ident, roster};

/// Number of balancers of a failure domain that report to one node of another domain, so
/// that the loss of one is not noticed there.
const REPORTERS: usize = 2;

/// Maximum number of missing nodes listed in a digest, so that a datagram stays below
/// 1,400 bytes.
const MAX_MISSING: usize = 64;

/// Digest of the nodes of one failure domain that its receiver has to know. The fields are
/// encoded by position.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// Failure domain of the reported nodes.
    pub domain: ident::DomainId,
    /// Balancer that reports.
    pub reporter: ident::NodeId,
    /// Time until the next digest to this receiver.
    pub period: Millis,
    /// Version of the reporter's configuration, 0 for none.
    pub config: u64,
    /// Digests by group, sorted by service.
    pub groups: Vec<Group>,
    /// Nodes of the domain whose heartbeats are missing.
    pub missing: Vec<ident::NodeId>,
    /// Evacuations that the reporter knows. Left out as long as none was read.
    #[serde(default, skip_serializing_if = "evacuation::Evacuations::is_unknown")]
    pub evacuations: evacuation::Evacuations,
}

/// Digest of the balancers of a domain, or of its agents of one service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Group {
    /// Service of the agents, `None` for the balancers.
    pub service: Option<ident::ServiceId>,
    /// Combined hash of the entries that are alive.
    pub hash: u64,
}

impl Digest {
    /// Creates the digest of this balancer's own domain for a receiver.
    #[must_use]
    pub fn new(
        roster: &roster::Roster,
        receiver: &roster::Entry,
        config: u64,
        now: Millis,
    ) -> Self {
        let me = roster.me();
        let period = roster.period();
        let is_known = |entry: &roster::Entry| must_know_each_other(entry, receiver);
        let peers = || {
            let rows = roster.peers().iter();
            rows.filter(|peer| peer.entry.domain == me.domain && is_known(&peer.entry))
        };
        let alive = peers().filter(|peer| !peer.is_suspect(now));
        let missing = peers().filter(|peer| peer.is_suspect(now));
        Self {
            domain: me.domain,
            reporter: me.node,
            period,
            config,
            groups: group(std::iter::once(me).chain(alive.map(|peer| &peer.entry))),
            missing: missing
                .map(|peer| peer.entry.node)
                .take(MAX_MISSING)
                .collect(),
            evacuations: evacuation::Evacuations::default(),
        }
    }

    /// Applies the digest to the receiver's table: the nodes of the groups that agree with
    /// it are alive, and those that are missing are suspected.
    ///
    /// Returns the services of the groups that differ.
    pub fn apply(&self, roster: &mut roster::Roster, now: Millis) -> Vec<Option<ident::ServiceId>> {
        let own = self.own_groups(roster);
        let (equal, differing): (Vec<&Group>, Vec<&Group>) =
            self.groups.iter().partition(|group| own.contains(group));
        let equal: Vec<_> = equal.iter().map(|group| group.service).collect();
        let is_alive =
            |entry: &roster::Entry| self.is_listed_alive(entry) && equal.contains(&entry.service());
        roster.report_alive(is_alive, self.period, now);
        for node in &self.missing {
            roster.report_missing(*node, now);
        }
        differing.iter().map(|group| group.service).collect()
    }

    /// Returns the digests of the domain's nodes that are alive according to the receiver's
    /// table and not missing.
    fn own_groups(&self, roster: &roster::Roster) -> Vec<Group> {
        let rows = roster.peers().iter();
        let alive = rows.filter(|peer| !peer.silent && self.is_listed_alive(&peer.entry));
        group(alive.map(|peer| &peer.entry))
    }

    fn is_listed_alive(&self, entry: &roster::Entry) -> bool {
        entry.domain == self.domain && self.missing.binary_search(&entry.node).is_err()
    }
}

/// Creates the digests that a balancer has to send, each with the address of its receiver:
/// to the nodes of other failure domains of which it is a reporter.
#[must_use]
pub fn reports(roster: &roster::Roster, config: u64, now: Millis) -> Vec<(SocketAddrV4, Digest)> {
    let me = roster.me();
    if me.upstream.is_some() || me.leaving {
        return Vec::new();
    }
    let others = near_balancers(roster);
    let mut digests: Vec<(Option<ident::ServiceId>, Digest)> = Vec::new();
    let mut reports = Vec::new();
    for receiver in roster.peers().iter().map(|peer| &peer.entry) {
        if receiver.domain == me.domain || !is_reporter(me.node, &others, receiver.node) {
            continue;
        }
        let service = receiver.service();
        let found = digests.binary_search_by_key(&service, |(service, _)| *service);
        let at = found.unwrap_or_else(|at| {
            digests.insert(at, (service, Digest::new(roster, receiver, config, now)));
            at
        });
        reports.push((receiver.control, digests[at].1.clone()));
    }
    reports
}

/// Returns whether a balancer is one of the reporters of its failure domain for a receiver:
/// one of the first by rendezvous hashing among itself and the `others`.
#[must_use]
pub fn is_reporter(me: ident::NodeId, others: &[ident::NodeId], receiver: ident::NodeId) -> bool {
    let own_score = score(me, receiver);
    let ahead = others
        .iter()
        .filter(|other| score(**other, receiver) > own_score);
    ahead.count() < REPORTERS
}

/// Returns the other live balancers of this node's failure domain.
fn near_balancers(roster: &roster::Roster) -> Vec<ident::NodeId> {
    let domain = roster.me().domain;
    let balancers = roster.live_balancers().map(|peer| &peer.entry);
    balancers
        .filter(|entry| entry.domain == domain)
        .map(|entry| entry.node)
        .collect()
}

/// Returns whether two nodes have to know each other: a balancer has to know all nodes,
/// an agent all balancers and the agents of its service.
#[must_use]
pub fn must_know_each_other(a: &roster::Entry, b: &roster::Entry) -> bool {
    match (a.service(), b.service()) {
        (Some(a), Some(b)) => a == b,
        _ => true,
    }
}

/// Combines entries into one hash per group, whatever their order.
fn group<'a>(entries: impl Iterator<Item = &'a roster::Entry>) -> Vec<Group> {
    let mut groups: Vec<Group> = Vec::new();
    for entry in entries {
        let service = entry.service();
        let hash = hash_entry(entry);
        match groups.binary_search_by_key(&service, |group| group.service) {
            Ok(at) => groups[at].hash ^= hash,
            Err(at) => groups.insert(at, Group { service, hash }),
        }
    }
    groups
}

fn hash_entry(entry: &roster::Entry) -> u64 {
    let mut key = [0; 20];
    key[..8].copy_from_slice(&entry.node.0.to_le_bytes());
    key[8..16].copy_from_slice(&entry.incarnation.0.to_le_bytes());
    key[16..].copy_from_slice(&entry.change.to_le_bytes());
    xxh3::xxh3_64(&key)
}

fn score(balancer: ident::NodeId, receiver: ident::NodeId) -> u64 {
    xxh3::xxh3_64_with_seed(&balancer.0.to_le_bytes(), receiver.0)
}
