//! Parser for the IPv4 and TCP headers of callers' packets, and the flow that they identify.

use std::{fmt, net::SocketAddrV4};

use serde::{Deserialize, Serialize};
use smoltcp::wire;
use thiserror::Error;
use xxhash_rust::xxh3;

const KEY_LEN: usize = 12;

/// Why a packet cannot be forwarded.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The bytes are not a complete IPv4 packet.
    #[error("not a complete IPv4 packet")]
    Ip,
    /// The packet is a fragment; fragments are not supported, callers must use path MTU
    /// discovery.
    #[error("packet is a fragment")]
    Fragment,
    /// The payload is not TCP.
    #[error("payload is not TCP")]
    Protocol,
    /// The payload is not a complete TCP segment.
    #[error("not a complete TCP segment")]
    Tcp,
}

/// A TCP flow, identified by the addresses and ports of both ends.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Flow {
    /// The caller's address and port.
    pub caller: SocketAddrV4,
    /// The service's address and port.
    pub service: SocketAddrV4,
}

impl Flow {
    /// Hashes both ends with the fleet's flow hash seed.
    #[must_use]
    pub fn hash(&self, seed: u64) -> u64 {
        let mut key = [0; KEY_LEN];
        key[..4].copy_from_slice(&self.caller.ip().octets());
        key[4..6].copy_from_slice(&self.caller.port().to_be_bytes());
        key[6..10].copy_from_slice(&self.service.ip().octets());
        key[10..].copy_from_slice(&self.service.port().to_be_bytes());
        xxh3::xxh3_64_with_seed(&key, seed)
    }
}

impl fmt::Display for Flow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.caller, self.service)
    }
}

/// Header fields of a caller's packet that the forwarding decisions use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct View {
    /// The flow that the packet belongs to.
    pub flow: Flow,
    /// Whether the packet opens a flow (SYN without ACK).
    pub opening: bool,
    /// Whether the packet resets its flow (RST).
    pub reset: bool,
    /// Sequence number.
    pub seq: u32,
    /// Acknowledgement number, if the ACK flag is set.
    pub ack: Option<u32>,
    /// Length of the TCP payload in bytes.
    pub len: usize,
}

/// Parses an IPv4 packet with a TCP segment.
///
/// # Errors
///
/// Returns why the packet cannot be forwarded.
pub fn parse(bytes: &[u8]) -> Result<View, Error> {
    let ip = wire::Ipv4Packet::new_checked(bytes).map_err(|_short| Error::Ip)?;
    if ip.version() != 4 {
        return Err(Error::Ip);
    }
    if ip.more_frags() || ip.frag_offset() != 0 {
        return Err(Error::Fragment);
    }
    if ip.next_header() != wire::IpProtocol::Tcp {
        return Err(Error::Protocol);
    }
    let tcp = wire::TcpPacket::new_checked(ip.payload()).map_err(|_short| Error::Tcp)?;
    Ok(View {
        flow: Flow {
            caller: SocketAddrV4::new(ip.src_addr(), tcp.src_port()),
            service: SocketAddrV4::new(ip.dst_addr(), tcp.dst_port()),
        },
        opening: tcp.syn() && !tcp.ack(),
        reset: tcp.rst(),
        seq: sequence_number(tcp.seq_number()),
        ack: tcp.ack().then(|| sequence_number(tcp.ack_number())),
        len: tcp.payload().len(),
    })
}

const fn sequence_number(number: wire::TcpSeqNumber) -> u32 {
    number.0.cast_unsigned()
}
