//! Displaced flows: flows whose owner is no candidate of their bucket any more.
//!
//! The owner states such flows to the candidates that packets now reach, and an
//! agent that gets packets of an unknown flow asks for its owner.

use serde::{Deserialize, Serialize};

use crate::{clock::Millis, flow, header::Hop, ident::ServiceId, packet::Flow, rendezvous};

/// Flows in one message, so that a datagram stays below 1,400 bytes.
pub const MAX_FLOWS: usize = 32;

/// Time between two statements of the same displaced flow.
pub const STATEMENT_INTERVAL: Millis = Millis(10_000);

/// Agents that are asked for the owner of one flow.
pub const MAX_QUERIED_AGENTS: usize = 32;

/// What one agent tells another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// The owner states its flows.
    Own {
        /// The owner.
        owner: Hop,
        /// The owner's service.
        service: ServiceId,
        /// The flows.
        flows: Vec<Flow>,
    },
    /// An agent looks for the owner of a flow.
    Ask {
        /// Who asks.
        from: Hop,
        /// The flow.
        flow: Flow,
    },
}

/// A statement to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Statement {
    /// The candidate that packets of the flows now reach.
    pub to: Hop,
    /// The flows, sorted.
    pub flows: Vec<Flow>,
}

/// The statements that an owner has to make under a service's new table.
///
/// `seed` is the fleet's flow hash seed, `chains` gives the table in force for
/// a flow's address. Flows in buckets whose chain names
/// the owner need none.
#[must_use]
pub fn statements<'a>(
    owner: &Hop,
    flows: &[flow::Owned],
    seed: u64,
    chains: impl Fn(&Flow) -> Option<&'a rendezvous::Table>,
) -> Vec<Statement> {
    let mut pairs: Vec<(Hop, Flow)> = Vec::new();
    for entry in flows.iter().filter(|entry| entry.confirmed) {
        let Some(table) = chains(&entry.flow) else {
            continue;
        };
        let hash = entry.flow.hash(seed);
        if table.chain(hash).any(|hop| hop.node == owner.node) {
            continue;
        }
        pairs.extend(table.chain(hash).map(|hop| (*hop, entry.flow)));
    }
    pairs.sort_by_key(|(hop, flow)| (hop.node, *flow));
    group(&pairs)
}

fn group(pairs: &[(Hop, Flow)]) -> Vec<Statement> {
    pairs
        .chunk_by(|a, b| a.0 == b.0)
        .flat_map(|run| run.chunks(MAX_FLOWS))
        .map(|run| Statement {
            to: run[0].0,
            flows: run.iter().map(|(_, flow)| *flow).collect(),
        })
        .collect()
}
