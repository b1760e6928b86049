//! What balancers and agents put before a pass-through packet, and what they
//! tell each other about members, flows and configuration.
//!
//! Layout within a sealed datagram of kind `Packet`: length of the header
//! (2 bytes, big endian), the header in `MessagePack`, the packet. A sealed
//! datagram of kind `Exchange` holds one [`Message`] in `MessagePack`.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    clock::Millis,
    header::{self, Hop},
    ident,
    packet::Flow,
    roster,
};

/// The version that this code writes and reads.
pub const VERSION: u8 = 1;

/// The most stops that a header may name.
pub const MAX_HOPS: usize = 16;

/// Flows in one statement, so that a datagram stays below 1,400 bytes.
pub const MAX_FLOWS: usize = 32;

/// Entries in one roster message, so that a datagram stays below 1,400 bytes.
pub const MAX_ENTRIES: usize = 12;

/// Bytes of configuration in one page.
pub const PAGE_LEN: usize = 1_000;

/// Why a datagram has no readable header.
#[derive(Debug, Error)]
pub enum Error {
    /// The header cannot be read.
    #[error(transparent)]
    Header(#[from] header::Error),
    /// Written by a version that this code does not know.
    #[error("header is of version {0}")]
    Version(u8),
    /// No stop, or more than [`MAX_HOPS`].
    #[error("header names {0} stops")]
    Hops(usize),
}

/// An agent that a packet may be handed to, and the service it is meant for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceHop {
    /// The service that the agent's upstream must serve.
    pub service: ident::ServiceId,
    /// The agent.
    pub hop: Hop,
}

/// How a packet travels between agents.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Mode {
    /// Along the stops, until one takes it.
    Chain,
    /// To the agent that stated to own the flow.
    Owner,
    /// To all agents of the service; only the owner delivers it.
    Search,
}

/// The stop that could serve a new flow soonest, of those passed so far.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BestHop {
    /// The stop.
    pub candidate: ServiceHop,
    /// Its expected wait for a free slot.
    pub wait: Millis,
}

/// Tells an agent whom a packet is meant for and what to do if it is another's.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Format, [`VERSION`].
    pub version: u8,
    /// How the packet travels.
    pub mode: Mode,
    /// The failure domain in which the packet arrived.
    pub origin: ident::DomainId,
    /// The target first, then the candidates that come after it.
    pub hops: Vec<ServiceHop>,
    /// Longest expected wait, service included, with which a new flow is still accepted.
    pub max_wait: Millis,
    /// The best stop so far, for a packet that opens a flow.
    pub best: Option<BestHop>,
    /// The agent that wants to hear who owns the flow.
    pub requester: Option<Hop>,
}

/// One node's statement that it lives.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The node as it is.
    pub entry: roster::Entry,
    /// Time until its next statement.
    pub period: Millis,
    /// Version of the configuration that it holds, 0 for none.
    pub config: u64,
}

/// What nodes tell each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// The sender lives.
    Beat(Heartbeat),
    /// Nodes that the sender knows to live.
    Roster(Vec<roster::Entry>),
    /// The sender owns these flows.
    Own {
        /// The owner.
        owner: ServiceHop,
        /// The flows.
        flows: Vec<Flow>,
    },
    /// The sender was searched for these flows and does not own them.
    Unowned {
        /// Who does not own them.
        node: ident::NodeId,
        /// The flows.
        flows: Vec<Flow>,
    },
    /// The sender wants the configuration in this version or a later one.
    Want(u64),
    /// A part of an encoded configuration.
    Page {
        /// Version of the configuration.
        version: u64,
        /// Number of this part, from 0.
        index: u16,
        /// Number of all parts.
        total: u16,
        /// The part.
        bytes: Vec<u8>,
    },
}

/// Splits the body of a `Packet` datagram into header and packet.
pub fn decode(body: &[u8]) -> Result<(Header, &[u8]), Error> {
    let (header, packet): (Header, _) = header::split(body)?;
    if header.version != VERSION {
        return Err(Error::Version(header.version));
    }
    let stops = header.hops.len();
    if stops == 0 || stops > MAX_HOPS {
        return Err(Error::Hops(stops));
    }
    Ok((header, packet))
}
