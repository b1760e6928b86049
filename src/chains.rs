//! Candidate chains of a pass-through service: for each hash bucket, the agents of the
//! service to try in order, ranked by weighted rendezvous hashing.
//!
//! There is one set of chains per failure domain in which callers' packets arrive. Agents
//! in that domain come first because traffic between domains is costly; each chain also has
//! agents of other domains, so that new flows leave a domain that is full or has failed. A
//! bucket is ranked when it is first used.

use crate::{header::Hop, ident, member, protocol::ServiceHop, rendezvous, roster};

/// Number of home agents per flow: the first candidate of the flow's chain, and the next
/// one in case the first fails. The owner of the flow announces itself to them.
pub const HOMES: usize = 2;

/// Maximum number of candidates per bucket.
pub const CHAIN_LEN: usize = 6;

/// Number of candidates in the domain of arrival before each candidate of another domain.
const NEAR_RUN: usize = 2;

/// Marks a bucket that has not been ranked yet.
const UNRANKED: [u16; CHAIN_LEN] = [rendezvous::NONE - 1; CHAIN_LEN];

#[derive(Clone, Debug)]
struct Candidate {
    domain: ident::DomainId,
    ranked: rendezvous::Candidate,
}

#[derive(Clone, Debug)]
struct DomainBuckets {
    origin: ident::DomainId,
    buckets: Vec<[u16; CHAIN_LEN]>,
}

/// Candidate chains of one service.
#[derive(Clone, Debug)]
pub struct Chains {
    service: ident::ServiceId,
    candidates: Vec<Candidate>,
    domains: Vec<DomainBuckets>,
}

impl Chains {
    /// Creates the chains over the agents that accept new flows. If there are none, the
    /// chains contain all agents, so that packets of open flows still reach their owners.
    #[must_use]
    pub fn new(service: ident::ServiceId, roster: &roster::Roster) -> Self {
        let mut entries = roster.ready_agents(service);
        if entries.is_empty() {
            entries = roster.agents(service).collect();
            entries.sort_by_key(|entry| entry.node);
        }
        Self {
            service,
            candidates: entries.into_iter().filter_map(to_candidate).collect(),
            domains: Vec::new(),
        }
    }

    /// Returns the service.
    #[must_use]
    pub const fn service(&self) -> ident::ServiceId {
        self.service
    }

    /// Returns whether there are no candidates.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Returns the candidates for a flow hash and a domain of arrival, in order of
    /// preference.
    pub fn chain(
        &mut self,
        origin: ident::DomainId,
        hash: u64,
    ) -> impl Iterator<Item = ServiceHop> {
        let bucket = rendezvous::bucket(hash);
        let domain = self.domain_index(origin);
        if self.domains[domain].buckets[bucket] == UNRANKED {
            self.domains[domain].buckets[bucket] = self.rank_bucket(origin, bucket);
        }
        let service = self.service;
        let candidates = &self.candidates;
        self.domains[domain].buckets[bucket]
            .iter()
            .filter(|index| **index != rendezvous::NONE)
            .map(move |index| ServiceHop {
                service,
                hop: candidates[usize::from(*index)].ranked.hop,
            })
    }

    fn domain_index(&mut self, origin: ident::DomainId) -> usize {
        let found = self
            .domains
            .iter()
            .position(|domain| domain.origin == origin);
        found.unwrap_or_else(|| {
            self.domains.push(DomainBuckets {
                origin,
                buckets: vec![UNRANKED; rendezvous::BUCKETS],
            });
            self.domains.len() - 1
        })
    }

    fn rank_bucket(&self, origin: ident::DomainId, bucket: usize) -> [u16; CHAIN_LEN] {
        let ranked = |is_near: bool| -> [u16; CHAIN_LEN] {
            let candidates = (0..rendezvous::NONE).zip(&self.candidates);
            let side = candidates.filter(|(_, other)| (other.domain == origin) == is_near);
            let weighted = side.map(|(index, candidate)| (index, candidate.ranked));
            rendezvous::rank(self.service, bucket, weighted)
        };
        interleave(ranked(true), ranked(false))
    }
}

/// Merges ranked candidates of the domain of arrival and of other domains into one chain.
fn interleave(near: [u16; CHAIN_LEN], far: [u16; CHAIN_LEN]) -> [u16; CHAIN_LEN] {
    let is_some = |index: &u16| *index != rendezvous::NONE;
    let mut near = near.into_iter().filter(is_some);
    let mut far = far.into_iter().filter(is_some);
    std::array::from_fn(|at| {
        let next = if at % (NEAR_RUN + 1) < NEAR_RUN {
            near.next().or_else(|| far.next())
        } else {
            far.next().or_else(|| near.next())
        };
        next.unwrap_or(rendezvous::NONE)
    })
}

fn to_candidate(entry: &roster::Entry) -> Option<Candidate> {
    let upstream = entry.upstream?;
    let hop = Hop {
        node: entry.node,
        incarnation: entry.incarnation,
        addr: upstream.packets,
    };
    Some(Candidate {
        domain: entry.domain,
        ranked: rendezvous::Candidate {
            hop,
            weight: member::capacity(upstream.step),
        },
    })
}
