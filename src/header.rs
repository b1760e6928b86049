//! Forwarding header that balancers and agents put in front of a caller's packet.
//!
//! The body of a sealed datagram of kind `Packet` consists of the header's length
//! (2 bytes, big endian), the header in `MessagePack`, and the IPv4 packet.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::ident;

/// The format version that this code writes and reads.
pub const VERSION: u8 = 1;

/// Maximum length of the chain in a decoded header.
pub const MAX_CHAIN: usize = 8;

/// Size of the length prefix of an encoded header, in bytes.
const LEN_BYTES: usize = 2;

/// Why a header could not be decoded.
#[derive(Debug, Error)]
pub enum Error {
    /// The datagram ends within the header.
    #[error("datagram ends within its header")]
    Short,
    /// The header is not the `MessagePack` encoding of the expected type.
    #[error("header cannot be decoded")]
    Codec(#[from] rmp_serde::decode::Error),
    /// The format version is not supported.
    #[error("header version {0} is not supported")]
    Version(u8),
    /// The chain is longer than [`MAX_CHAIN`].
    #[error("chain of {0} candidates is too long")]
    Chain(usize),
}

/// An agent that a packet may be sent to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hop {
    /// The agent.
    pub node: ident::NodeId,
    /// Incarnation of the agent's process.
    pub incarnation: ident::Incarnation,
    /// Address on which the agent receives datagrams.
    pub addr: SocketAddrV4,
}

/// Header with the packet's target agent and the candidates to which the packet is passed
/// on, one after the other, if the target does not own its flow.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Format version, [`VERSION`].
    pub version: u8,
    /// The service that the packet's destination address belongs to.
    pub service: ident::ServiceId,
    /// The agent that this datagram is addressed to.
    pub target: Hop,
    /// Candidates after the target, in order.
    pub chain: Vec<Hop>,
    /// Address of the fabric, to which the agent sends the packets for the caller.
    pub fabric: SocketAddrV4,
    /// Whether an agent forwarded the packet to the flow's owner.
    pub forwarded: bool,
}

/// Writes a header with its length prefix to `out`, which is cleared first.
///
/// # Panics
///
/// Never: header types have a `MessagePack` encoding, and their length is bounded.
pub fn encode<T: Serialize>(header: &T, out: &mut Vec<u8>) {
    out.clear();
    out.extend_from_slice(&[0; LEN_BYTES]);
    rmp_serde::encode::write(out, header).expect("header types have a MessagePack encoding");
    let len = u16::try_from(out.len() - LEN_BYTES).expect("the header's length is bounded");
    out[..LEN_BYTES].copy_from_slice(&len.to_be_bytes());
}

/// Splits the body of a `Packet` datagram into header and packet.
///
/// # Errors
///
/// Returns an error if the body is truncated, the header does not decode, its version is
/// unsupported or its chain is too long.
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

/// Splits the body of a `Packet` datagram into a header of type `T` and the packet.
///
/// # Errors
///
/// Returns an error if the body is truncated or the header does not decode as `T`.
pub fn split<T: DeserializeOwned>(body: &[u8]) -> Result<(T, &[u8]), Error> {
    let (len, rest) = body.split_at_checked(LEN_BYTES).ok_or(Error::Short)?;
    let len = usize::from(u16::from_be_bytes([len[0], len[1]]));
    let (head, packet) = rest.split_at_checked(len).ok_or(Error::Short)?;
    Ok((rmp_serde::from_slice(head)?, packet))
}
