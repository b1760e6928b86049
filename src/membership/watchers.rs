//! Selection of the balancers that an agent sends its heartbeats to.

use xxhash_rust::xxh3;

use super::WATCHERS;
use crate::{ident, member};

/// Selects the balancers that an agent sends its heartbeats to: the first
/// [`WATCHERS`] of [`rank_balancers`].
pub fn select_watchers<'a>(
    agent: ident::NodeId,
    balancers: impl IntoIterator<Item = &'a member::Balancer>,
) -> Vec<ident::NodeId> {
    rank_balancers(agent, balancers, WATCHERS)
        .into_iter()
        .map(|balancer| balancer.node)
        .collect()
}

/// Ranks the balancers for an agent and returns the first `limit`.
///
/// The rank comes from rendezvous hashing (Thaler and Ravishankar, 1998). The
/// best balancer of each failure domain comes first, then the others by rank.
/// Leaving balancers are skipped. A smaller limit returns a prefix of the result
/// for a greater one.
pub fn rank_balancers<'a>(
    agent: ident::NodeId,
    balancers: impl IntoIterator<Item = &'a member::Balancer>,
    limit: usize,
) -> Vec<&'a member::Balancer> {
    let mut ranked: Vec<_> = balancers
        .into_iter()
        .filter(|balancer| !balancer.leaving)
        .map(|balancer| (hash_rank(agent, balancer.node), balancer))
        .collect();
    ranked.sort_unstable_by_key(|(rank, balancer)| (std::cmp::Reverse(*rank), balancer.node));
    let mut domains = Vec::new();
    let (mut chosen, rest): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .map(|(_, balancer)| balancer)
        .partition(|balancer| {
            let first = !domains.contains(&balancer.domain.as_str());
            if first {
                domains.push(&balancer.domain);
            }
            first
        });
    chosen.extend(rest);
    chosen.truncate(limit);
    chosen
}

fn hash_rank(agent: ident::NodeId, balancer: ident::NodeId) -> u64 {
    xxh3::xxh3_64_with_seed(&balancer.0.to_le_bytes(), agent.0)
}
