//! Proxies between the processes of a fleet, for the fleet's side.

use std::{fmt, net::SocketAddrV4};

use serde_json::Value;

/// What a process is to the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// A balancer.
    Balancer,
    /// An agent.
    Agent,
}

/// Where others reach a process that has proxies before it.
#[derive(Clone, Debug, Default)]
pub struct Endpoints {
    /// The `advertise` settings; null for none.
    pub advertise: Value,
    /// Where the fabric reaches a balancer's packets, if not where they are bound.
    pub packets: Option<SocketAddrV4>,
}

/// Gives the proxies before a process of a role and name, which listen already.
pub type BeforeStart = dyn FnMut(Role, &str) -> Endpoints + Send;

/// Takes role, name and the addresses that a process told.
pub type AfterStart = dyn FnMut(Role, &str, &Value) + Send;

/// Puts proxies between the processes of a fleet.
///
/// `before_start` is asked ahead of each start; `after_start` learns the addresses that
/// the process told, which its proxies then forward to.
pub struct Interposer {
    /// Asked ahead of each start.
    pub before_start: Box<BeforeStart>,
    /// Told after each start.
    pub after_start: Box<AfterStart>,
}

impl fmt::Debug for Interposer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Interposer")
    }
}
