//! Generic UDP Encapsulation, variant 0, of one IPv4 packet per datagram
//! (draft-ietf-intarea-gue).

use thiserror::Error;

/// Bytes of the header without optional fields.
pub const HEADER_LEN: usize = 4;

const VARIANT_MASK: u8 = 0xc0;
const CONTROL_BIT: u8 = 0x20;
const LEN_MASK: u8 = 0x1f;
const WORD_LEN: usize = 4;
const PROTO_IPV4: u8 = 4;

/// Why a datagram is not an encapsulated IPv4 packet.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The datagram ends within the header.
    #[error("datagram is shorter than its header")]
    Short,
    /// Another variant, or a control message.
    #[error("datagram is not a data message of variant 0")]
    Variant,
    /// The payload is not IPv4.
    #[error("payload is of protocol {0}, not IPv4")]
    Protocol(u8),
}

/// The header for an IPv4 payload.
#[must_use]
pub const fn header() -> [u8; HEADER_LEN] {
    [0, PROTO_IPV4, 0, 0]
}

/// Writes header and packet to `out`, which is cleared first.
pub fn encode(packet: &[u8], out: &mut Vec<u8>) {
    out.clear();
    out.extend_from_slice(&header());
    out.extend_from_slice(packet);
}

/// The packet within a datagram.
pub fn decode(datagram: &[u8]) -> Result<&[u8], Error> {
    let (head, rest) = datagram.split_at_checked(HEADER_LEN).ok_or(Error::Short)?;
    if head[0] & (VARIANT_MASK | CONTROL_BIT) != 0 {
        return Err(Error::Variant);
    }
    if head[1] != PROTO_IPV4 {
        return Err(Error::Protocol(head[1]));
    }
    let optional = usize::from(head[0] & LEN_MASK) * WORD_LEN;
    rest.get(optional..).ok_or(Error::Short)
}
