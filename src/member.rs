//! Membership entries of agents and balancers; each process publishes its own.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{header, ident};

/// Object kind in the platform's store under which balancers register for discovery.
pub const BALANCER_KIND: &str = "cassiacross-balancers";

/// Number of capacity steps per doubling of the capacity.
pub const STEPS_PER_DOUBLING: f64 = 12.0;

/// Readiness of an upstream for new requests and connections.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Not ready yet.
    Starting,
    /// Accepts new requests and connections.
    Ready,
    /// Finishes its current requests and connections and accepts no new ones; final within
    /// an incarnation.
    Draining,
}

/// Entry of an agent and its upstream, published by the agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The agent.
    pub node: ident::NodeId,
    /// Incarnation of the agent's process.
    pub incarnation: ident::Incarnation,
    /// Change counter of this entry within the incarnation; the higher one is newer.
    pub change: u32,
    /// The upstream's name, unique in the fleet.
    pub name: String,
    /// Name of the service that the upstream serves.
    pub service: String,
    /// The host's failure domain.
    pub domain: String,
    /// Address on which the agent receives datagrams.
    pub packets: SocketAddrV4,
    /// Address of the agent's HTTP server.
    pub http: SocketAddrV4,
    /// Readiness of the upstream.
    pub state: State,
    /// Measured capacity as a step on the logarithmic scale of [`capacity`].
    pub step: u8,
    /// The balancers that receive the agent's heartbeats.
    pub watchers: Vec<ident::NodeId>,
}

impl Member {
    /// Returns whether this entry is newer than `other`, an entry of the same agent.
    #[must_use]
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.incarnation, self.change) > (other.incarnation, other.change)
    }

    /// Returns the agent as a hop of a forwarding chain.
    #[must_use]
    pub const fn hop(&self) -> header::Hop {
        header::Hop {
            node: self.node,
            incarnation: self.incarnation,
            addr: self.packets,
        }
    }
}

/// Entry of a balancer, published by the balancer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Balancer {
    /// The balancer.
    pub node: ident::NodeId,
    /// Incarnation of the balancer's process.
    pub incarnation: ident::Incarnation,
    /// The balancer's name, unique in the fleet.
    pub name: String,
    /// The host's failure domain.
    pub domain: String,
    /// Address on which the balancer receives sealed datagrams.
    pub control: SocketAddrV4,
    /// Address of the balancer's HTTP server.
    pub http: SocketAddrV4,
    /// Whether the balancer is shutting down.
    pub leaving: bool,
}

/// Returns the capacity of a step, relative to step 0.
#[must_use]
pub fn capacity(step: u8) -> f64 {
    (f64::from(step) / STEPS_PER_DOUBLING).exp2()
}

/// Returns the step nearest to a capacity, which is relative to step 0.
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
