//! Hooks that let a test put proxies in front of the processes of a fleet.

use std::{fmt, net::SocketAddrV4};

use serde_json::Value;

/// Role of a proxied process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// A balancer.
    Balancer,
    /// An agent.
    Agent,
}

/// Addresses of the proxies in front of a process.
#[derive(Clone, Debug, Default)]
pub struct Endpoints {
    /// Value of the process's `advertise` setting; null if it advertises its own addresses.
    pub advertise: Value,
    /// Address to which the fabric sends a balancer's packets; `None` for the bound address.
    pub packets: Option<SocketAddrV4>,
}

/// Callback that returns the addresses of the proxies in front of a process, given its role and
/// name; the proxies listen already.
pub type BeforeStart = dyn FnMut(Role, &str) -> Endpoints + Send;

/// Callback that receives the role, name and bound addresses of a started process.
pub type AfterStart = dyn FnMut(Role, &str, &Value) + Send;

/// Callbacks that put proxies between the processes of a fleet.
///
/// The proxies exist before their process, so that its settings can advertise their addresses;
/// their target addresses follow once the process has bound its sockets.
pub struct Interposer {
    /// Called before each start of a process.
    pub before_start: Box<BeforeStart>,
    /// Called after each start of a process.
    pub after_start: Box<AfterStart>,
}

impl fmt::Debug for Interposer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Interposer")
    }
}
