//! Digests of the membership tables, by which processes find out whether theirs differ.

use xxhash_rust::xxh3;

use super::{MAX_KNOWN_BALANCERS, PARTITIONS, Tables, watchers};
use crate::{clock, ident, member};

impl Tables {
    /// Returns one digest of the agents' entries per partition.
    ///
    /// Processes with the same entries have the same digests.
    #[must_use]
    pub fn member_digests(&self) -> [u64; PARTITIONS] {
        let mut digests = [0; PARTITIONS];
        for row in &self.members {
            digests[partition(row.member.node)] ^= hash_member(&row.member);
        }
        digests
    }

    /// Returns a digest of the balancers' entries, equal in processes with the same entries.
    #[must_use]
    pub fn balancer_digest(&self) -> u64 {
        self.balancers.iter().fold(0, |digest, row| {
            let balancer = &row.balancer;
            let leaving = u64::from(balancer.leaving);
            digest ^ hash_entry(balancer.node, balancer.incarnation, leaving)
        })
    }

    /// Returns a digest of a service's view: the record's version, the active agents
    /// and the live balancers.
    #[must_use]
    pub fn view_digest(&self, service: &str, version: u64, now: clock::Millis) -> u64 {
        let members = self
            .active_members(service)
            .fold(version, |digest, member| digest ^ hash_member(member));
        self.live_balancers(now).fold(members, |digest, balancer| {
            digest ^ hash_entry(balancer.node, balancer.incarnation, 0)
        })
    }

    /// Returns a digest of an agent's view of its own service, with the balancers that
    /// [`super::rank_balancers`] selects for the agent.
    #[must_use]
    pub fn agent_digest(
        &self,
        agent: ident::NodeId,
        service: &str,
        version: u64,
        now: clock::Millis,
    ) -> u64 {
        let members = self
            .active_members(service)
            .fold(version, |digest, member| digest ^ hash_member(member));
        watchers::rank_balancers(agent, self.live_balancers(now), MAX_KNOWN_BALANCERS)
            .into_iter()
            .fold(members, |digest, balancer| {
                digest ^ hash_entry(balancer.node, balancer.incarnation, 0)
            })
    }

    pub(super) fn active_digest(&self) -> u64 {
        self.members
            .iter()
            .filter(|row| row.is_active())
            .fold(0, |digest, row| digest ^ hash_member(&row.member))
    }
}

/// Returns the partition of the agent table that a node's entry belongs to.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    reason = "the remainder is below the number of partitions"
)]
pub const fn partition(node: ident::NodeId) -> usize {
    (node.0 % PARTITIONS as u64) as usize
}

fn hash_member(member: &member::Member) -> u64 {
    hash_entry(member.node, member.incarnation, u64::from(member.change))
}

fn hash_entry(node: ident::NodeId, incarnation: ident::Incarnation, change: u64) -> u64 {
    let mut key = [0; 24];
    key[..8].copy_from_slice(&node.0.to_le_bytes());
    key[8..16].copy_from_slice(&incarnation.0.to_le_bytes());
    key[16..].copy_from_slice(&change.to_le_bytes());
    xxh3::xxh3_64(&key)
}
