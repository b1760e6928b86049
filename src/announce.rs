//! What an upstream tells its agent about itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{member, membership};

/// The longest announcement, in bytes.
pub const MAX_LEN: usize = 4_096;

const MAX_SLOTS: usize = 10_000;
const MAX_CONNECTIONS: usize = 100_000;

/// Why an announcement was refused.
#[derive(Debug, Error)]
pub enum Error {
    /// Not JSON of this shape.
    #[error("announcement cannot be read: {0}")]
    Json(#[from] serde_json::Error),
    /// A value outside its range.
    #[error("{0}")]
    Range(&'static str),
}

/// An upstream as it announces itself, once a second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Name of the service that the upstream serves.
    pub service: String,
    /// Where the upstream takes connections; a loopback address.
    pub address: SocketAddr,
    /// Requests that run at once.
    pub slots: usize,
    /// Connections that are open at once.
    pub connections: usize,
    /// Path of the upstream's load report, unused where the agent's own measure serves.
    #[serde(default)]
    pub load: String,
    /// What the upstream does with new work.
    pub state: member::State,
}

/// Reads and checks an announcement.
pub fn parse(body: &[u8]) -> Result<Announcement, Error> {
    let announcement: Announcement = serde_json::from_slice(body)?;
    check(&announcement)?;
    Ok(announcement)
}

fn check(announcement: &Announcement) -> Result<(), Error> {
    if !(1..=membership::MAX_NAME_LEN).contains(&announcement.service.len()) {
        return Err(Error::Range("service must have 1 to 64 bytes"));
    }
    if !announcement.address.ip().is_loopback() {
        return Err(Error::Range("address must be a loopback address"));
    }
    if !(1..=MAX_SLOTS).contains(&announcement.slots) {
        return Err(Error::Range("slots must be 1 to 10000"));
    }
    if !(1..=MAX_CONNECTIONS).contains(&announcement.connections) {
        return Err(Error::Range("connections must be 1 to 100000"));
    }
    Ok(())
}
