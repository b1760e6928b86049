//! Generic UDP Encapsulation (GUE, draft-ietf-intarea-gue), variant 0, with one IPv4
//! packet per datagram.

use thiserror::Error;

/// Length of the GUE header without optional fields, in bytes.
pub const HEADER_LEN: usize = 4;

/// Bits of the first byte with the variant, which is 0.
const VARIANT_MASK: u8 = 0xc0;
/// Bit of the first byte that marks a control message.
const CONTROL_BIT: u8 = 0x20;
/// Bits of the first byte with the length of the optional fields, in words.
const LEN_MASK: u8 = 0x1f;
/// Length of a word of the header, in bytes.
const WORD_LEN: usize = 4;
/// Protocol number of an encapsulated IPv4 packet.
const PROTO_IPV4: u8 = 4;

/// Why a datagram is not an encapsulated IPv4 packet.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The datagram ends within the header.
    #[error("datagram is shorter than its header")]
    Short,
    /// The datagram's GUE variant is not 0, or it is a control message.
    #[error("datagram is not a data message of variant 0")]
    Variant,
    /// The payload is not IPv4.
    #[error("payload has protocol number {0}, not IPv4")]
    Protocol(u8),
}

/// Returns the GUE header for an IPv4 payload.
#[must_use]
pub const fn header() -> [u8; HEADER_LEN] {
    [0, PROTO_IPV4, 0, 0]
}

/// Writes the encapsulated packet to `out`, which is cleared first.
pub fn encode(packet: &[u8], out: &mut Vec<u8>) {
    out.clear();
    out.extend_from_slice(&header());
    out.extend_from_slice(packet);
}

/// Returns the packet in an encapsulated datagram.
///
/// # Errors
///
/// Returns an error if the datagram is too short, is not a data message of variant 0, or
/// does not contain IPv4.
pub fn decode(datagram: &[u8]) -> Result<&[u8], Error> {
    let (head, rest) = datagram.split_at_checked(HEADER_LEN).ok_or(Error::Short)?;
    if head[0] & (VARIANT_MASK | CONTROL_BIT) != 0 {
        return Err(Error::Variant);
    }
    if head[1] != PROTO_IPV4 {
        return Err(Error::Protocol(head[1]));
    }
    let options_len = usize::from(head[0] & LEN_MASK) * WORD_LEN;
    rest.get(options_len..).ok_or(Error::Short)
}
