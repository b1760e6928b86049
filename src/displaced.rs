//! Displaced flows: established flows whose owner, the agent that accepted them, is no
//! longer in the candidate chain of their bucket, for example after a weight change.
//!
//! The owner sends ownership statements to the candidates that now receive the
//! packets, so that they forward the packets to it. An agent that receives packets
//! of an unknown flow queries the other agents for the flow's owner.

use serde::{Deserialize, Serialize};

use crate::{clock::Millis, flow, header::Hop, ident::ServiceId, packet::Flow, rendezvous};

/// Maximum number of flows in one message, which keeps a datagram below 1,400 bytes.
pub const MAX_FLOWS: usize = 32;

/// Interval at which an owner repeats its ownership statement about a displaced flow.
pub const STATEMENT_INTERVAL: Millis = Millis(10_000);

/// Maximum number of agents that are queried for the owner of one flow.
pub const MAX_QUERIED_AGENTS: usize = 32;

/// Message between agents about the owners of flows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Ownership statement for flows, sent by their owner.
    Own {
        /// The owner.
        owner: Hop,
        /// The owner's service.
        service: ServiceId,
        /// The flows.
        flows: Vec<Flow>,
    },
    /// Query for the owner of a flow.
    Ask {
        /// The querying agent.
        from: Hop,
        /// The flow.
        flow: Flow,
    },
}

/// An ownership statement to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Statement {
    /// The receiver, a candidate to which balancers may now send packets of the flows.
    pub to: Hop,
    /// The flows, sorted.
    pub flows: Vec<Flow>,
}

/// Returns the ownership statements that an owner has to send under the current tables.
///
/// `seed` is the fleet's flow hash seed; `find_table` returns the current hash table for the
/// destination address of a flow. Flows that are not confirmed, and flows whose bucket
/// still has the owner in its chain, need no statement.
#[must_use]
pub fn statements<'a>(
    owner: &Hop,
    flows: &[flow::Owned],
    seed: u64,
    find_table: impl Fn(&Flow) -> Option<&'a rendezvous::Table>,
) -> Vec<Statement> {
    let mut pairs: Vec<(Hop, Flow)> = Vec::new();
    for entry in flows.iter().filter(|entry| entry.confirmed) {
        let Some(table) = find_table(&entry.flow) else {
            continue;
        };
        let hash = entry.flow.hash(seed);
        if table.chain(hash).any(|hop| hop.node == owner.node) {
            continue;
        }
        pairs.extend(table.chain(hash).map(|hop| (*hop, entry.flow)));
    }
    pairs.sort_by_key(|(hop, flow)| (hop.node, *flow));
    group_by_receiver(&pairs)
}

fn group_by_receiver(pairs: &[(Hop, Flow)]) -> Vec<Statement> {
    pairs
        .chunk_by(|a, b| a.0 == b.0)
        .flat_map(|run| run.chunks(MAX_FLOWS))
        .map(|run| Statement {
            to: run[0].0,
            flows: run.iter().map(|(_, flow)| *flow).collect(),
        })
        .collect()
}
