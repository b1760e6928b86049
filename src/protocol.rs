//! Wire protocol between the balancers and agents of pass-through services: the header
//! that encapsulates a forwarded packet, and messages about membership, flow ownership
//! and configuration.
//!
//! Body of a sealed datagram of kind `Packet`: length of the header (2 bytes, big
//! endian), the header in `MessagePack`, the packet. Body of a sealed datagram of kind
//! `Exchange`: one [`Message`] in `MessagePack`.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    clock::Millis,
    config_transfer, domain_digest, evacuation, flow_recovery, former_services,
    header::{self, Hop},
    ident,
    packet::Flow,
    record, roster,
};

/// Version of the header format that is sent and accepted.
pub const VERSION: u8 = 1;

/// Maximum number of hops in a header.
pub const MAX_HOPS: usize = 16;

/// Maximum number of flows in one message, so that a datagram stays below 1,400 bytes.
pub const MAX_FLOWS: usize = 32;

/// Maximum number of entries in one roster message, so that a datagram stays below 1,400
/// bytes.
pub const MAX_ENTRIES: usize = 12;

/// Error in decoding the header of a packet datagram.
#[derive(Debug, Error)]
pub enum Error {
    /// The header cannot be decoded.
    #[error(transparent)]
    Header(#[from] header::Error),
    /// The header has an unsupported version.
    #[error("unsupported header version {0}")]
    Version(u8),
    /// The header has no hops or more than [`MAX_HOPS`].
    #[error("header lists {0} hops, which is outside the allowed range")]
    Hops(usize),
}

/// Address of an agent, with the service that its upstream is expected to serve.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceHop {
    /// Service that the agent's upstream must serve.
    pub service: ident::ServiceId,
    /// Node, incarnation and address of the agent.
    pub hop: Hop,
}

/// Forwarding mode of a packet.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Mode {
    /// The packet is forwarded along the hops until an agent accepts it.
    Chain,
    /// The packet is sent to the agent that announced itself as the owner of the flow.
    Owner,
    /// The packet is sent to all agents of the service to find the owner of its flow;
    /// only the owner delivers it.
    Search,
    /// The packet is sent to an agent that does not know all flows of its upstream, to find
    /// out whether the upstream has the flow.
    Trial,
}

/// What an agent has replied to a search.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// Its upstream does not have the flow.
    NotOwned,
    /// Its upstream has returned a packet of the flow.
    Returned,
    /// It does not know all flows of its upstream. If `trial` is set, it will not learn them
    /// from others any more, and may hand a packet to its upstream.
    Unknown {
        /// Whether a packet may be handed to the upstream.
        trial: bool,
    },
    /// It has lost its table at the same time as all agents that it knows. A packet may be
    /// handed to its upstream.
    Lost,
}

impl Reply {
    /// Returns the name of the reply in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotOwned => "disown",
            Self::Returned => "reply_returned",
            Self::Unknown { .. } => "reply_unknown",
            Self::Lost => "reply_lost",
        }
    }
}

/// Agent with the shortest expected wait for a new flow among those passed so far.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BestHop {
    /// Agent and service.
    pub candidate: ServiceHop,
    /// Expected latency of a request there: the wait for a free slot plus the service
    /// time.
    pub wait: Millis,
}

/// Header of a forwarded packet: its destination agent and the agents to try next.
///
/// The fields are encoded by position, so their order is part of the format.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Version of the header format; only [`VERSION`] is accepted.
    pub version: u8,
    /// Forwarding mode.
    pub mode: Mode,
    /// Failure domain in which the packet arrived.
    pub origin: ident::DomainId,
    /// Destination agent, followed by the candidates to try after it.
    pub hops: Vec<ServiceHop>,
    /// Maximum expected latency, including service time, at which a new flow is still
    /// accepted.
    pub max_wait: Millis,
    /// Best candidate so far, for a packet that opens a flow.
    pub best: Option<BestHop>,
    /// Agent to which the owner of the flow announces itself.
    pub requester: Option<Hop>,
    /// What is known of the route. Left out if it says nothing, so that nodes of the version
    /// before read such headers.
    #[serde(default, skip_serializing_if = "RouteInfo::is_default")]
    pub route: RouteInfo,
}

/// What an agent has to know of a packet's route: where the owner of an open flow may be, and
/// how long a new flow may wait.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteInfo {
    /// Services of the route, now or before, if there are several.
    pub services: Vec<ident::ServiceId>,
    /// Those of them whose agents have all replied that they do not own the flow.
    pub excluded: Vec<ident::ServiceId>,
    /// Whether the balancer may not know all services of the route yet.
    pub partial: bool,
    /// How long a new flow may wait for a free slot, if it may.
    pub hold: Option<Hold>,
}

/// Conditions under which a new flow may wait for a free slot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hold {
    /// Priority class of the requests.
    pub class: record::Class,
    /// Target latency of a request.
    pub target: Millis,
    /// Maximum time for which the flow may wait.
    pub limit: Millis,
    /// Whether the packet is a copy of a SYN that was not answered yet.
    pub repeated: bool,
}

impl RouteInfo {
    /// Returns whether an open flow can only be in one service, and a new flow may not wait.
    #[must_use]
    pub const fn is_default(&self) -> bool {
        self.services.is_empty() && !self.partial && self.hold.is_none()
    }
}

/// Heartbeat of a node. The fields are encoded by position.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Current entry of the sender.
    pub entry: roster::Entry,
    /// Time until the next heartbeat to this receiver.
    pub period: Millis,
    /// Version of the sender's configuration, 0 for none.
    pub config: u64,
    /// Evacuations that the sender knows. Left out as long as none was read.
    #[serde(default, skip_serializing_if = "evacuation::Evacuations::is_unknown")]
    pub evacuations: evacuation::Evacuations,
}

/// Message between nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Heartbeat of the sender.
    Beat(Heartbeat),
    /// Entries of nodes that are alive according to the sender.
    Roster(Vec<roster::Entry>),
    /// Announcement that an agent owns these flows.
    Own {
        /// Agent that owns the flows.
        owner: ServiceHop,
        /// Flows that it owns, at most [`MAX_FLOWS`].
        flows: Vec<Flow>,
    },
    /// Reply to a search, or withdrawal of an announcement: the sender does not own these
    /// flows.
    Unowned {
        /// Agent that does not own the flows.
        node: ident::NodeId,
        /// Flows that it does not own.
        flows: Vec<Flow>,
    },
    /// Request for pages of the configuration.
    WantPages(config_transfer::Request),
    /// Page of the configuration.
    ConfigPage(config_transfer::Page),
    /// Liveness of the sender's failure domain.
    Digest(domain_digest::Digest),
    /// Request for the live entries of the receiver's failure domain: its agents of these
    /// services, and its balancers for `None`.
    WantEntries(Vec<Option<ident::ServiceId>>),
    /// Entries of nodes that are alive in the sender's failure domain, at most
    /// [`MAX_ENTRIES`].
    Alive(Vec<roster::Entry>),
    /// Request for a heartbeat.
    Ping,
    /// Confirmation that these flows were opened at the upstream of an agent.
    Confirmed {
        /// Agent that owns the flows.
        owner: ServiceHop,
        /// Flows that it owns, at most [`MAX_FLOWS`].
        flows: Vec<Flow>,
    },
    /// Reply to a search, other than by the owner.
    Searched {
        /// Agent that replies.
        node: ident::NodeId,
        /// Its run.
        incarnation: ident::Incarnation,
        /// The searched flow.
        flow: Flow,
        /// What the agent knows of the flow.
        reply: Reply,
    },
    /// Request of a restarted agent for the flows that it owns.
    WantFlows(flow_recovery::Request),
    /// Flows that the receiver owns.
    OwnedFlows(flow_recovery::Page),
    /// Request for the former services of routes.
    WantFormer(former_services::Request),
    /// Former services of routes.
    Former(former_services::Page),
}

/// Decodes the body of a `Packet` datagram into header and packet.
pub fn decode(body: &[u8]) -> Result<(Header, &[u8]), Error> {
    let (header, packet): (Header, _) = header::split(body)?;
    if header.version != VERSION {
        return Err(Error::Version(header.version));
    }
    let hops = header.hops.len();
    if hops == 0 || hops > MAX_HOPS {
        return Err(Error::Hops(hops));
    }
    Ok((header, packet))
}
