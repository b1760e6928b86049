//! Packets of pass-through flows: both ends are outside, the contents are closed.
//!
//! The adapter of a platform knows the bytes and hands a [`Codec`] in; decisions
//! see [`Segment`] only.

use std::net::SocketAddrV4;

use thiserror::Error;

use crate::packet::Flow;

/// Why a datagram is no packet of a pass-through flow.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// Fewer bytes than a head.
    #[error("packet of {0} bytes is shorter than its head")]
    Short(usize),
    /// The head's length field does not fit the bytes.
    #[error("packet says {declared} bytes of data and has {actual}")]
    Length {
        /// Bytes of data by the head.
        declared: usize,
        /// Bytes after the head.
        actual: usize,
    },
}

/// What decisions need to know of one packet.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags of a packet are independent of each other"
)]
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// The sender's end.
    pub from: SocketAddrV4,
    /// The receiver's end.
    pub to: SocketAddrV4,
    /// Whether the packet opens a flow (SYN without ACK).
    pub syn: bool,
    /// Whether the packet answers an opening one (SYN with ACK).
    pub syn_ack: bool,
    /// Whether the sender has sent all of its data.
    pub fin: bool,
    /// Whether the packet resets its flow.
    pub reset: bool,
    /// Whether an upstream returned the packet undelivered.
    pub bounced: bool,
    /// The token that the agent wrote before it delivered the packet.
    pub token: u32,
    /// Sequence number of the first byte.
    pub seq: u32,
    /// Acknowledged sequence number; in an opening packet, the number of the copy.
    pub ack: u32,
    /// Bytes of data.
    pub len: usize,
}

impl Segment {
    /// The flow of a packet that a caller sent.
    #[must_use]
    pub const fn inbound(&self) -> Flow {
        Flow {
            caller: self.from,
            service: self.to,
        }
    }

    /// The flow of a packet that an upstream sent.
    #[must_use]
    pub const fn outbound(&self) -> Flow {
        Flow {
            caller: self.to,
            service: self.from,
        }
    }
}

/// Reads and writes the packets of one platform.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// Reads the head and checks the length.
    pub parse: fn(&[u8]) -> Result<Segment, Error>,
    /// Writes a token into a parsed packet and takes the bounce mark off.
    pub stamp: fn(&mut [u8], u32),
    /// A reset to the flow's caller, with a sequence number.
    pub reset: fn(&Flow, u32) -> Vec<u8>,
}
