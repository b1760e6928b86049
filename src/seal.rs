//! Authentication of the datagrams between the processes of a fleet.
//!
//! A sealed datagram is `kind (1 byte) | tag (16 bytes) | body`. The tag is a message
//! authentication code: BLAKE3 in keyed mode over kind and body, truncated to 16
//! bytes. The body is not encrypted.

use thiserror::Error;

/// Length of kind and tag, which precede the body, in bytes.
pub const OVERHEAD: usize = 1 + TAG_LEN;

/// Length of the authentication tag, in bytes.
const TAG_LEN: usize = 16;
/// Context string of the key derivation; another one makes all datagrams invalid.
const KEY_CONTEXT: &str = "cassiacross 2026 fleet key";

/// Kind of a sealed datagram's body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Kind {
    /// A caller's packet after a [`crate::header::Header`].
    Packet = 1,
    /// An agent's heartbeat to a balancer.
    Heartbeat = 2,
    /// A balancer's acknowledgement of a heartbeat.
    Ack = 3,
    /// A gossip datagram from one balancer to another.
    Exchange = 4,
    /// A message between agents about displaced flows.
    Displaced = 5,
}

/// Why a sealed datagram was rejected.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The datagram is shorter than kind and tag.
    #[error("datagram is shorter than its seal")]
    Short,
    /// The kind is not known to this version.
    #[error("datagram kind {0} is unknown")]
    Kind(u8),
    /// The datagram was sealed with another key, or altered in transit.
    #[error("datagram's tag does not match the fleet key")]
    Tag,
}

/// Seals and opens datagrams under the fleet key.
#[derive(Clone)]
pub struct Sealer {
    key: [u8; 32],
}

impl Sealer {
    /// Creates a sealer with a key derived from the fleet's secret.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self {
            key: blake3::derive_key(KEY_CONTEXT, secret.as_bytes()),
        }
    }

    /// Writes a sealed datagram to `out`, which is cleared first.
    ///
    /// The body is the concatenation of `parts`.
    pub fn seal(&self, kind: Kind, parts: &[&[u8]], out: &mut Vec<u8>) {
        out.clear();
        out.push(kind as u8);
        out.extend_from_slice(&[0; TAG_LEN]);
        for part in parts {
            out.extend_from_slice(part);
        }
        let tag = self.compute_tag(kind as u8, &out[OVERHEAD..]);
        out[1..OVERHEAD].copy_from_slice(&tag);
    }

    /// Verifies a datagram's tag and returns its kind and body.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is too short, its kind is unknown or its tag
    /// does not match.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Result<(Kind, &'a [u8]), Error> {
        let (head, body) = datagram.split_at_checked(OVERHEAD).ok_or(Error::Short)?;
        let kind = parse_kind(head[0])?;
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&head[1..]);
        let matches = constant_time_eq(tag, self.compute_tag(head[0], body));
        if matches {
            Ok((kind, body))
        } else {
            Err(Error::Tag)
        }
    }

    /// Returns the seed of the flow hash, which is the same in each process of the fleet.
    ///
    /// It is derived from the fleet key, which callers do not have, so that a caller cannot
    /// choose addresses and ports that put many flows in one bucket.
    #[must_use]
    pub fn flow_seed(&self) -> u64 {
        let hash = blake3::keyed_hash(&self.key, b"flow hash");
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(bytes)
    }

    /// Returns the bearer token for HTTP requests between processes of the fleet.
    #[must_use]
    pub fn bearer_token(&self) -> String {
        blake3::keyed_hash(&self.key, b"bearer")
            .to_hex()
            .to_string()
    }

    fn compute_tag(&self, kind: u8, body: &[u8]) -> [u8; TAG_LEN] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&[kind]);
        hasher.update(body);
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_LEN]);
        tag
    }
}

impl std::fmt::Debug for Sealer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Sealer(key hidden)")
    }
}

fn parse_kind(byte: u8) -> Result<Kind, Error> {
    match byte {
        1 => Ok(Kind::Packet),
        2 => Ok(Kind::Heartbeat),
        3 => Ok(Kind::Ack),
        4 => Ok(Kind::Exchange),
        5 => Ok(Kind::Displaced),
        other => Err(Error::Kind(other)),
    }
}

fn constant_time_eq(a: [u8; TAG_LEN], b: [u8; TAG_LEN]) -> bool {
    a.iter().zip(&b).fold(0, |diff, (x, y)| diff | (x ^ y)) == 0
}
