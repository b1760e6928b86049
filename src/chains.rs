//! Chains of a pass-through service's agents, per failure domain of arrival.
//!
//! Callers' packets arrive in a domain, and agents there are preferred since bytes
//! between domains cost. A bucket's chain is ranked when it is first asked for.

use crate::{header::Hop, ident, member, protocol::ServiceHop, rendezvous, roster};

/// Candidates of one bucket.
pub const LEN: usize = 6;

/// Weight of an agent in the domain of arrival, relative to one elsewhere.
pub const NEAR_WEIGHT: f64 = 4.0;

const UNRANKED: [u16; LEN] = [rendezvous::NONE - 1; LEN];

#[derive(Clone, Debug)]
struct Candidate {
    domain: ident::DomainId,
    ranked: rendezvous::Candidate,
}

#[derive(Clone, Debug)]
struct Memo {
    origin: ident::DomainId,
    buckets: Vec<[u16; LEN]>,
}

/// The chains of one service.
#[derive(Clone, Debug)]
pub struct Chains {
    service: ident::ServiceId,
    candidates: Vec<Candidate>,
    memos: Vec<Memo>,
}

impl Chains {
    /// The chains over the agents that take new flows; where there are none, over
    /// all agents, so that packets of open flows still find their owners.
    #[must_use]
    pub fn new(service: ident::ServiceId, roster: &roster::Roster) -> Self {
        let mut entries = roster.ready_agents(service);
        if entries.is_empty() {
            entries = roster.agents(service).collect();
            entries.sort_by_key(|entry| entry.node);
        }
        Self {
            service,
            candidates: entries.into_iter().filter_map(candidate).collect(),
            memos: Vec::new(),
        }
    }

    /// The service.
    #[must_use]
    pub const fn service(&self) -> ident::ServiceId {
        self.service
    }

    /// Whether there is no candidate at all.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// The ordered candidates for a flow's hash and a domain of arrival.
    pub fn chain(
        &mut self,
        origin: ident::DomainId,
        hash: u64,
    ) -> impl Iterator<Item = ServiceHop> {
        let bucket = rendezvous::bucket(hash);
        let memo = self.memo(origin);
        if self.memos[memo].buckets[bucket] == UNRANKED {
            self.memos[memo].buckets[bucket] = self.rank(origin, bucket);
        }
        let service = self.service;
        let candidates = &self.candidates;
        self.memos[memo].buckets[bucket]
            .iter()
            .filter(|index| **index != rendezvous::NONE)
            .map(move |index| ServiceHop {
                service,
                hop: candidates[usize::from(*index)].ranked.hop,
            })
    }

    fn memo(&mut self, origin: ident::DomainId) -> usize {
        let found = self.memos.iter().position(|memo| memo.origin == origin);
        found.unwrap_or_else(|| {
            self.memos.push(Memo {
                origin,
                buckets: vec![UNRANKED; rendezvous::BUCKETS],
            });
            self.memos.len() - 1
        })
    }

    fn rank(&self, origin: ident::DomainId, bucket: usize) -> [u16; LEN] {
        let weighted = self.candidates.iter().map(|candidate| {
            let near = if candidate.domain == origin {
                NEAR_WEIGHT
            } else {
                1.0
            };
            rendezvous::Candidate {
                weight: candidate.ranked.weight * near,
                ..candidate.ranked
            }
        });
        rendezvous::rank(self.service, bucket, weighted)
    }
}

fn candidate(entry: &roster::Entry) -> Option<Candidate> {
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
