//! Identifiers of services, failure domains, nodes and the incarnations of nodes.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::clock;

/// Number of low bits of an incarnation that are random; the start time is above them.
const RANDOM_BITS: u32 = 16;

/// Identifier of a service, a hash of its name.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ServiceId(pub u64);

/// Identifier of a failure domain, a hash of its name.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct DomainId(pub u32);

/// Identifier of a balancer or an agent, a hash of its name.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct NodeId(pub u64);

/// Identifier of one run of a node's process; a later run compares greater.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Incarnation(pub u64);

impl ServiceId {
    /// Returns the identifier of the service with this name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(xxh3::xxh3_64_with_seed(name.as_bytes(), 1))
    }
}

impl NodeId {
    /// Returns the identifier of the node with this name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(xxh3::xxh3_64_with_seed(name.as_bytes(), 2))
    }
}

impl DomainId {
    /// Returns the identifier of the failure domain with this name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let [a, b, c, d, ..] = xxh3::xxh3_64_with_seed(name.as_bytes(), 3).to_le_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}

impl Incarnation {
    /// Returns an incarnation that compares greater than `other`.
    #[must_use]
    pub const fn after(other: Self) -> Self {
        Self(other.0 + (1 << RANDOM_BITS))
    }

    /// Returns the incarnation of a process that starts now: the wall clock in
    /// milliseconds, followed by 16 random bits.
    #[must_use]
    pub fn start() -> Self {
        let random = u64::from(rand::random::<u16>());
        Self((clock::wall().0 << RANDOM_BITS) | random)
    }
}

impl fmt::Display for ServiceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
