//! Candidate chains of a pass-through service: for each hash bucket, the agents of the
//! service to try in order, ranked by weighted rendezvous hashing.
//!
//! There is one set of chains per failure domain in which callers' packets arrive, and
//! agents in that domain are preferred because traffic between domains is costly. A
//! bucket is ranked when it is first used.

use crate::{header::Hop, ident, member, protocol::ServiceHop, rendezvous, roster};

/// Number of home agents per flow: the first candidate of the flow's chain, and the next
/// one in case the first fails. The owner of the flow announces itself to them.
pub const HOMES: usize = 2;

/// Maximum number of candidates per bucket.
pub const CHAIN_LEN: usize = 6;

/// Weight of an agent in the domain of arrival, relative to an agent in another domain.
pub const NEAR_WEIGHT: f64 = 4.0;

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
        let weighted = self.candidates.iter().map(|candidate| {
            let factor = if candidate.domain == origin {
                NEAR_WEIGHT
            } else {
                1.0
            };
            rendezvous::Candidate {
                weight: candidate.ranked.weight * factor,
                ..candidate.ranked
            }
        });
        rendezvous::rank(self.service, bucket, weighted)
    }
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
