//! Evacuations of failure domains: the operator's request that the upstreams of a domain get
//! no new flows until it is withdrawn.
//!
//! The platform holds the request. The balancers that watch it spread what they read with its
//! version, the position in the platform's history at which it was read; a higher version
//! replaces a lower one on every node.

use serde::{Deserialize, Serialize};

use crate::{ident::DomainId, platform::Position};

/// Number of low bits of a version that hold the revision; the era is above them.
const REVISION_BITS: u32 = 40;

/// Failure domains that are evacuated as of one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuations {
    /// Version, 0 before anything was read.
    pub version: u64,
    /// Evacuated domains, sorted.
    pub domains: Vec<DomainId>,
}

impl Evacuations {
    /// Creates the evacuations that were read at a position of the platform's history.
    #[must_use]
    pub fn at(position: Position, mut domains: Vec<DomainId>) -> Self {
        domains.sort_unstable();
        domains.dedup();
        Self {
            version: (position.era << REVISION_BITS) | position.revision,
            domains,
        }
    }

    /// Returns whether nothing was ever read.
    #[must_use]
    pub const fn is_unknown(&self) -> bool {
        self.version == 0
    }
}

/// What a node knows of the evacuations.
#[derive(Clone, Debug, Default, Serialize)]
pub struct View {
    active: Evacuations,
    /// What this node itself has read from the platform last.
    read: Evacuations,
}

impl View {
    /// Returns the evacuations in force.
    #[must_use]
    pub const fn active(&self) -> &Evacuations {
        &self.active
    }

    /// Records what was read from the platform. Returns whether the domains have changed.
    pub fn record_read(&mut self, read: Evacuations) -> bool {
        if read.version < self.read.version {
            return false;
        }
        self.read = read;
        self.read.version > self.active.version && self.activate_read()
    }

    /// Merges what another node has sent. Returns whether the domains have changed or are
    /// contradicted, so that the other nodes have to be told.
    ///
    /// What this node has read itself at a later position replaces it.
    pub fn merge(&mut self, other: &Evacuations) -> bool {
        if other.version <= self.active.version {
            return false;
        }
        if self.read.version >= other.version {
            let is_contradicted = self.read.domains != other.domains;
            self.active = self.read.clone();
            return is_contradicted;
        }
        let changed = self.active.domains != other.domains;
        self.active = other.clone();
        changed
    }

    fn activate_read(&mut self) -> bool {
        let changed = self.active.domains != self.read.domains;
        if changed || self.active.is_unknown() {
            self.active = self.read.clone();
        }
        changed
    }
}
