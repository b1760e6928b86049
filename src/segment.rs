//! Platform-independent view of a TCP-like packet of a pass-through flow.
//!
//! Both endpoints of such a flow are outside this process and its payload is opaque. The
//! platform adapter supplies a [`Codec`] for the packet format; all decisions use
//! [`Segment`].

use std::net::SocketAddrV4;

use thiserror::Error;

use crate::packet::Flow;

/// Error in parsing a packet of a pass-through flow.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The packet is shorter than its header.
    #[error("packet of {0} bytes is shorter than its header")]
    Short(usize),
    /// The length field of the header differs from the length of the payload.
    #[error("packet header declares {declared} payload bytes, but {actual} follow")]
    Length {
        /// Payload length according to the header, in bytes.
        declared: usize,
        /// Bytes after the header.
        actual: usize,
    },
}

/// Parsed header of one packet.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags of a packet are independent of each other"
)]
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// Source address.
    pub from: SocketAddrV4,
    /// Destination address.
    pub to: SocketAddrV4,
    /// Whether the packet opens a flow (SYN without ACK).
    pub syn: bool,
    /// Whether the packet accepts a flow (SYN with ACK).
    pub syn_ack: bool,
    /// Whether the sender closes its direction of the flow (FIN).
    pub fin: bool,
    /// Whether the packet resets its flow (RST).
    pub reset: bool,
    /// Whether the upstream returned the packet undelivered.
    pub bounced: bool,
    /// Delivery token that the agent wrote into the packet, 0 for none. A returned packet
    /// still carries it.
    pub token: u32,
    /// Sequence number of the first byte.
    pub seq: u32,
    /// Acknowledgement number. In a SYN, the number of the copy, counted from 0 for the
    /// original.
    pub ack: u32,
    /// Payload length in bytes.
    pub len: usize,
}

impl Segment {
    /// Returns the flow of a packet that a caller sent.
    #[must_use]
    pub const fn inbound(&self) -> Flow {
        Flow {
            caller: self.from,
            service: self.to,
        }
    }

    /// Returns the flow of a packet that an upstream sent.
    #[must_use]
    pub const fn outbound(&self) -> Flow {
        Flow {
            caller: self.to,
            service: self.from,
        }
    }
}

/// Codec of one platform's packet format.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// Parses the header and checks the length.
    pub parse: fn(&[u8]) -> Result<Segment, Error>,
    /// Writes a delivery token into a parsed packet and clears its flag for a returned
    /// packet ([`Segment::bounced`]).
    pub stamp: fn(&mut [u8], u32),
    /// Creates a reset packet to the caller of a flow, with this sequence number.
    pub reset: fn(&Flow, u32) -> Vec<u8>,
}
