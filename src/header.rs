//! What a balancer or agent puts before a caller's packet.
//!
//! Layout within a sealed datagram of kind `Packet`: length of the header
//! (2 bytes, big endian), the header in `MessagePack`, the IPv4 packet.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::ident;

/// The version that this code writes and reads.
pub const VERSION: u8 = 1;

/// The longest chain that is accepted.
pub const MAX_CHAIN: usize = 8;

const LEN_BYTES: usize = 2;

/// Why a datagram has no readable header.
#[derive(Debug, Error)]
pub enum Error {
    /// The datagram ends within the header.
    #[error("datagram ends within its header")]
    Short,
    /// The header is not `MessagePack` of this shape.
    #[error("header cannot be read")]
    Codec(#[from] rmp_serde::decode::Error),
    /// Written by a version that this code does not know.
    #[error("header is of version {0}")]
    Version(u8),
    /// The chain is longer than [`MAX_CHAIN`].
    #[error("chain of {0} candidates is too long")]
    Chain(usize),
}

/// One agent that a packet may be handed to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hop {
    /// The agent.
    pub node: ident::NodeId,
    /// The run of the agent that is meant.
    pub incarnation: ident::Incarnation,
    /// Where the agent takes datagrams.
    pub addr: SocketAddrV4,
}

/// Tells an agent whom a packet is meant for and what to do if it is another's.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Format, [`VERSION`].
    pub version: u8,
    /// The service that the packet's destination belongs to.
    pub service: ident::ServiceId,
    /// The agent that this datagram is for.
    pub target: Hop,
    /// Candidates that come after the target.
    pub chain: Vec<Hop>,
    /// The fabric's address, which takes answers.
    pub fabric: SocketAddrV4,
    /// Whether an agent sent the packet to the flow's stated owner.
    pub forwarded: bool,
}

/// Writes the body of a `Packet` datagram up to the packet itself.
///
/// # Panics
///
/// Never: the header holds plain values, and its size has a bound.
pub fn encode<T: Serialize>(header: &T, out: &mut Vec<u8>) {
    out.clear();
    out.extend_from_slice(&[0; LEN_BYTES]);
    rmp_serde::encode::write(out, header).expect("plain values can be written");
    let len = u16::try_from(out.len() - LEN_BYTES).expect("the header has a bound");
    out[..LEN_BYTES].copy_from_slice(&len.to_be_bytes());
}

/// Splits the body of a `Packet` datagram into header and packet.
pub fn decode(body: &[u8]) -> Result<(Header, &[u8]), Error> {
    let (header, packet): (Header, _) = split(body)?;
    if header.version != VERSION {
        return Err(Error::Version(header.version));
    }
    if header.chain.len() > MAX_CHAIN {
        return Err(Error::Chain(header.chain.len()));
    }
    Ok((header, packet))
}

/// Splits the body of a `Packet` datagram into a header of any kind and the packet.
pub fn split<T: DeserializeOwned>(body: &[u8]) -> Result<(T, &[u8]), Error> {
    let (len, rest) = body.split_at_checked(LEN_BYTES).ok_or(Error::Short)?;
    let len = usize::from(u16::from_be_bytes([len[0], len[1]]));
    let (head, packet) = rest.split_at_checked(len).ok_or(Error::Short)?;
    Ok((rmp_serde::from_slice(head)?, packet))
}
