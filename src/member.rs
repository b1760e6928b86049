//! Agents and balancers as they announce themselves.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{header, ident};

/// Kind of the platform's objects through which balancers find each other.
pub const BALANCER_KIND: &str = "cassiacross-balancers";

/// Steps that double the capacity.
pub const STEPS_PER_DOUBLING: f64 = 12.0;

/// What an upstream does with new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Not ready for work yet.
    Starting,
    /// Takes new work.
    Ready,
    /// Finishes what it has and takes nothing new; never ready again in this incarnation.
    Draining,
}

/// An agent and its upstream, as the agent announces them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The agent.
    pub node: ident::NodeId,
    /// The run of the agent.
    pub incarnation: ident::Incarnation,
    /// Counts the changes of this entry within the incarnation.
    pub change: u32,
    /// The upstream's name, unique in the fleet.
    pub name: String,
    /// Name of the service that the upstream serves.
    pub service: String,
    /// The host's failure domain.
    pub domain: String,
    /// Where the agent takes datagrams.
    pub packets: SocketAddrV4,
    /// Where the agent takes HTTP calls.
    pub http: SocketAddrV4,
    /// What the upstream does with new work.
    pub state: State,
    /// Measured capacity in steps, see [`capacity`].
    pub step: u8,
    /// The balancers that the agent sends heartbeats to.
    pub watchers: Vec<ident::NodeId>,
}

impl Member {
    /// Whether this entry replaces `other` of the same agent.
    #[must_use]
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.incarnation, self.change) > (other.incarnation, other.change)
    }

    /// The agent as a hop of a chain.
    #[must_use]
    pub const fn hop(&self) -> header::Hop {
        header::Hop {
            node: self.node,
            incarnation: self.incarnation,
            addr: self.packets,
        }
    }
}

/// A balancer, as it announces itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Balancer {
    /// The balancer.
    pub node: ident::NodeId,
    /// The run of the balancer.
    pub incarnation: ident::Incarnation,
    /// The balancer's name, unique in the fleet.
    pub name: String,
    /// The host's failure domain.
    pub domain: String,
    /// Where the balancer takes sealed datagrams.
    pub control: SocketAddrV4,
    /// Where the balancer takes HTTP calls.
    pub http: SocketAddrV4,
    /// Whether the balancer is being stopped.
    pub leaving: bool,
}

/// The capacity of a step, relative to step 0.
#[must_use]
pub fn capacity(step: u8) -> f64 {
    (f64::from(step) / STEPS_PER_DOUBLING).exp2()
}

/// The step nearest to a capacity relative to step 0.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the type"
)]
pub fn capacity_step(capacity: f64) -> u8 {
    (capacity.max(1.0).log2() * STEPS_PER_DOUBLING)
        .round()
        .clamp(0.0, f64::from(u8::MAX)) as u8
}
