//! Announcements: the JSON document by which an upstream registers with its agent.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{member, membership};

/// Maximum length of an announcement, in bytes.
pub const MAX_LEN: usize = 4_096;

const MAX_SLOTS: usize = 10_000;
const MAX_CONNECTIONS: usize = 100_000;

/// Why an announcement was rejected.
#[derive(Debug, Error)]
pub enum Error {
    /// The body is not the JSON of an [`Announcement`].
    #[error("announcement is not valid: {0}")]
    Json(#[from] serde_json::Error),
    /// A value is out of range, or the address is not a loopback address.
    #[error("{0}")]
    Range(&'static str),
}

/// Announcement of an upstream, sent to its agent once a second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Name of the service that the upstream serves.
    pub service: String,
    /// Loopback address on which the upstream accepts connections.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// HTTP path of the upstream's load report; unused if the agent measures the load itself.
    #[serde(default)]
    pub load: String,
    /// Readiness of the upstream for new requests and connections.
    pub state: member::State,
}

/// Parses and validates an announcement.
///
/// # Errors
///
/// Returns an error if the body is not valid JSON of an announcement, if a value is out of
/// range or if the address is not a loopback address.
pub fn parse(body: &[u8]) -> Result<Announcement, Error> {
    let announcement: Announcement = serde_json::from_slice(body)?;
    validate(&announcement)?;
    Ok(announcement)
}

fn validate(announcement: &Announcement) -> Result<(), Error> {
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
