//! Hosts of a fleet, with their processes and addresses.

use std::net::{SocketAddr, SocketAddrV4};

use serde::Deserialize;

use crate::process::Process;

/// Bound addresses of a balancer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct BalancerAddr {
    /// Address for GUE datagrams from the fabric.
    pub packets: SocketAddrV4,
    /// Address for sealed (authenticated) datagrams.
    pub control: SocketAddrV4,
    /// Address for HTTP requests.
    pub http: SocketAddrV4,
}

/// Bound addresses of an agent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct AgentAddr {
    /// Address for sealed (authenticated) datagrams.
    pub packets: SocketAddrV4,
    /// Address for HTTP requests.
    pub http: SocketAddrV4,
    /// Address for announcements of the upstream.
    pub local: SocketAddr,
}

/// Listen addresses of a process; `None` selects a free port on the loopback interface.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ListenAddrs {
    /// Address for data packets.
    pub packets: Option<SocketAddrV4>,
    /// Address for HTTP requests.
    pub http: Option<SocketAddrV4>,
    /// Address for sealed (authenticated) control datagrams; balancers only.
    pub control: Option<SocketAddrV4>,
    /// Address for announcements of the upstream; agents only.
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

/// Bound addresses of an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct UpstreamAddr {
    /// Address for requests.
    pub http: SocketAddr,
    /// Address of the control port (execution ledger and fault injection).
    pub control: SocketAddr,
}

/// A balancer of a fleet.
#[derive(Debug)]
pub struct Balancer {
    /// Balancer process.
    pub process: Process,
    /// Failure domain.
    pub domain: String,
    /// Bound addresses.
    pub addr: BalancerAddr,
    /// HTTP address that other processes use; a proxy's address if there is one in front.
    pub advertised: SocketAddrV4,
    /// GUE address that the fabric uses; a proxy's address if there is one in front.
    pub packets: SocketAddrV4,
}

/// An upstream host of a fleet.
#[derive(Debug)]
pub struct Upstream {
    /// Upstream name.
    pub name: String,
    /// Agent process.
    pub agent: Process,
    /// Bound addresses of the agent.
    pub agent_addr: AgentAddr,
    /// Upstream process.
    pub process: Process,
    /// Bound addresses of the upstream.
    pub upstream_addr: UpstreamAddr,
    /// Configuration of the host.
    pub config: UpstreamConfig,
}

/// Configuration of an upstream host.
#[derive(Clone, Debug)]
pub struct UpstreamConfig {
    /// Name of the service.
    pub service: String,
    /// Failure domain.
    pub domain: String,
    /// Maximum number of concurrently executing requests.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
    /// Speed factor; the service time of a request is divided by it.
    pub speed: f64,
}
