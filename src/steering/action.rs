//! Decisions of a pass-through agent on packets, with their names in logs and metrics.

use serde::Serialize;

use crate::{
    header::Hop,
    ident::NodeId,
    owner_cache::Claim,
    packet::Flow,
    protocol::{Header, Mode, Reply},
};

/// Reason for dropping a packet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
pub enum DropReason {
    /// The packet is addressed to another agent or service, and no further hop is left.
    Target,
    /// The packet opens a flow, and no agent of its chain accepts it.
    Full,
    /// The packet repeats a SYN that waits here for a free slot.
    Waiting,
    /// The owner is unknown, and no search was started: the last one is too recent, all
    /// agents have replied to it, or too many are pending.
    Searched,
    /// The upstream returned a packet whose sender is not known any more.
    NotOwned,
    /// The upstream resets a flow that is not tracked, in reply to a packet that it got in
    /// case it has the flow. The flow may belong to another upstream.
    NotTracked,
    /// The packet belongs to a flow that has ended, or resets a flow that is not tracked.
    Ended,
}

/// Reason for resetting a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResetCause {
    /// The flow is new, and no agent of the chain can serve it in time.
    Refused,
    /// The flow is new, and no slot became free while it waited.
    Expired,
    /// Every agent of the service has replied that it does not own the flow, or is
    /// considered gone; the first one that is gone, if any.
    Unowned(Option<NodeId>),
    /// The upstream that had the flow returned a packet of it.
    Returned,
    /// The upstream that has the flow failed or deregistered.
    UpstreamLost,
}

/// Action to take for a packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Deliver the packet to the upstream with this token (see [`Segment::token`]), which
    /// is 0 for a tracked flow.
    Deliver(u32),
    /// Deliver the buffered bytes of an earlier packet to the upstream with this token.
    DeliverHeld(u32, Vec<u8>),
    /// Forward the packet to the first hop of the header.
    Send(Header),
    /// Forward the buffered bytes of an earlier packet to the first hop of the header.
    Resend(Header, Vec<u8>),
    /// Send the packet to each of these agents, to find the owner of its flow, and to the
    /// header's second hop if there is one.
    Search(Header, Vec<NodeId>),
    /// Reply to the agent that searches for the owner of a flow what this agent knows.
    ReplySearch(Hop, Flow, Reply),
    /// Reply to the agent that searches for the owner of a flow who the owner is.
    ReplyOwner(Hop, Flow, Claim),
    /// Send the packet to its caller.
    Answer,
    /// Send the caller a reset of the flow with this sequence number, which is 0 if a new
    /// flow is refused.
    Reset(Flow, u32, ResetCause),
    /// Open a connection to the upstream to check that it still listens.
    Probe,
    /// Keep the SYN until a slot is free.
    Hold,
    /// Drop the packet.
    Drop(DropReason),
}

impl DropReason {
    /// Returns the name of the reason in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Target => "drop_target",
            Self::Full => "drop_full",
            Self::Waiting => "drop_waiting",
            Self::Searched => "drop_searched",
            Self::NotOwned => "drop_not_owned",
            Self::NotTracked => "drop_not_tracked",
            Self::Ended => "drop_ended",
        }
    }
}

impl ResetCause {
    /// Returns the name of the decision in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Refused => "refuse",
            Self::Expired => "refuse_expired",
            Self::Unowned(_) => "reset_unowned",
            Self::Returned => "reset_returned",
            Self::UpstreamLost => "reset_upstream_lost",
        }
    }
}

impl Action {
    /// Returns the name of the decision in logs and metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Deliver(0) => "deliver",
            Self::Deliver(_) => "accept",
            Self::DeliverHeld(..) => "deliver_held",
            Self::Send(header) => match header.mode {
                Mode::Owner => "forward_to_owner",
                Mode::Trial => "try",
                Mode::Chain | Mode::Search => "pass_on",
            },
            Self::Resend(header, _) => match header.mode {
                Mode::Trial => "try",
                _ => "pass_on_unanswered",
            },
            Self::Search(header, _) => match header.mode {
                Mode::Trial => "try_all",
                _ => "search",
            },
            Self::ReplySearch(_, _, reply) => reply.name(),
            Self::ReplyOwner(..) => "reply_owner",
            Self::Answer => "answer",
            Self::Reset(_, _, cause) => cause.name(),
            Self::Probe => "probe",
            Self::Hold => "hold",
            Self::Drop(reason) => reason.name(),
        }
    }
}
