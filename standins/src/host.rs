//! Hosts of a fleet: their processes and addresses.

use std::net::{SocketAddr, SocketAddrV4};

use serde::Deserialize;

use crate::process::Process;

/// Addresses of a balancer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct BalancerAddr {
    /// Where GUE datagrams arrive.
    pub packets: SocketAddrV4,
    /// Where sealed datagrams arrive.
    pub control: SocketAddrV4,
    /// Where HTTP calls arrive.
    pub http: SocketAddrV4,
}

/// Addresses of an agent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct AgentAddr {
    /// Where sealed datagrams arrive.
    pub packets: SocketAddrV4,
    /// Where HTTP calls arrive.
    pub http: SocketAddrV4,
    /// Where the upstream announces itself.
    pub local: SocketAddr,
}

/// Where a process is to listen; a free port of the loopback where nothing is said.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ListenAddrs {
    /// Where packets arrive.
    pub packets: Option<SocketAddrV4>,
    /// Where HTTP calls arrive.
    pub http: Option<SocketAddrV4>,
    /// Where sealed datagrams arrive at a balancer.
    pub control: Option<SocketAddrV4>,
    /// Where an upstream announces itself at its agent.
    pub local: Option<SocketAddr>,
}

impl From<BalancerAddr> for ListenAddrs {
    fn from(addr: BalancerAddr) -> Self {
        Self {
            packets: Some(addr.packets),
            http: Some(addr.http),
            control: Some(addr.control),
            local: None,
        }
    }
}

impl From<AgentAddr> for ListenAddrs {
    fn from(addr: AgentAddr) -> Self {
        Self {
            packets: Some(addr.packets),
            http: Some(addr.http),
            control: None,
            local: Some(addr.local),
        }
    }
}

/// Addresses of an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct UpstreamAddr {
    /// Where requests arrive.
    pub http: SocketAddr,
    /// Where ledger and faults are.
    pub control: SocketAddr,
}

/// A balancer of a fleet.
#[derive(Debug)]
pub struct Balancer {
    /// The process.
    pub process: Process,
    /// Its failure domain.
    pub domain: String,
    /// Its addresses.
    pub addr: BalancerAddr,
    /// Where others reach its HTTP calls.
    pub advertised: SocketAddrV4,
    /// Where the fabric reaches its packets.
    pub packets: SocketAddrV4,
}

/// An upstream host of a fleet.
#[derive(Debug)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: String,
    /// The agent's process.
    pub agent: Process,
    /// Addresses of the agent.
    pub agent_addr: AgentAddr,
    /// The upstream's process.
    pub process: Process,
    /// Addresses of the upstream.
    pub upstream_addr: UpstreamAddr,
    /// What the host is like.
    pub config: UpstreamConfig,
}

/// What an upstream host is like.
#[derive(Clone, Debug)]
pub struct UpstreamConfig {
    /// Name of the service.
    pub service: String,
    /// Failure domain.
    pub domain: String,
    /// Requests that the upstream runs at a time.
    pub slots: u32,
    /// Connections that the upstream takes.
    pub connections: u32,
    /// Speed of the upstream.
    pub speed: f64,
}
