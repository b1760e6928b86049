//! Keyed checksums on every datagram between processes of one fleet.
//!
//! A sealed datagram is `kind (1 byte) | tag (16 bytes) | body`; the tag is
//! BLAKE3 in keyed mode over kind and body, cut to 16 bytes.

use thiserror::Error;

/// Bytes that the seal puts before the body.
pub const OVERHEAD: usize = 1 + TAG_LEN;

const TAG_LEN: usize = 16;
const KEY_CONTEXT: &str = "cassiacross 2026 fleet key";

/// What a sealed datagram carries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Kind {
    /// A caller's packet behind a [`crate::header::Header`].
    Packet = 1,
    /// An agent's heartbeat to a balancer.
    Heartbeat = 2,
    /// A balancer's answer to a heartbeat.
    Ack = 3,
    /// What one balancer tells another each period.
    Exchange = 4,
    /// One agent's message to another about displaced flows.
    Displaced = 5,
}

/// Why a datagram was not opened.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// Fewer bytes than the seal itself.
    #[error("datagram is shorter than its seal")]
    Short,
    /// A kind that this version does not know.
    #[error("datagram is of unknown kind {0}")]
    Kind(u8),
    /// Sealed with another key, or altered on the way.
    #[error("datagram's checksum does not fit the fleet key")]
    Tag,
}

/// Seals and opens datagrams under the fleet key.
#[derive(Clone)]
pub struct Sealer {
    key: [u8; 32],
}

impl Sealer {
    /// A sealer for the fleet's secret text.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self {
            key: blake3::derive_key(KEY_CONTEXT, secret.as_bytes()),
        }
    }

    /// Appends the sealed datagram of `body` parts to `out`, which is cleared first.
    pub fn seal(&self, kind: Kind, parts: &[&[u8]], out: &mut Vec<u8>) {
        out.clear();
        out.push(kind as u8);
        out.extend_from_slice(&[0; TAG_LEN]);
        for part in parts {
            out.extend_from_slice(part);
        }
        let tag = self.tag(kind as u8, &out[OVERHEAD..]);
        out[1..OVERHEAD].copy_from_slice(&tag);
    }

    /// Checks a datagram and gives its kind and body.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Result<(Kind, &'a [u8]), Error> {
        let (head, body) = datagram.split_at_checked(OVERHEAD).ok_or(Error::Short)?;
        let kind = kind(head[0])?;
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&head[1..]);
        let fits = constant_time_eq(tag, self.tag(head[0], body));
        if fits {
            Ok((kind, body))
        } else {
            Err(Error::Tag)
        }
    }

    /// A number derived from the fleet key, the same in each process of the fleet.
    ///
    /// Callers cannot know it, so they cannot aim flows at one bucket.
    #[must_use]
    pub fn flow_seed(&self) -> u64 {
        let hash = blake3::keyed_hash(&self.key, b"flow hash");
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(bytes)
    }

    /// The bearer text that calls between processes of the fleet carry.
    #[must_use]
    pub fn bearer_token(&self) -> String {
        blake3::keyed_hash(&self.key, b"bearer")
            .to_hex()
            .to_string()
    }

    fn tag(&self, kind: u8, body: &[u8]) -> [u8; TAG_LEN] {
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

fn kind(byte: u8) -> Result<Kind, Error> {
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
