//! Borrowed views of callers' TCP packets.

use std::{fmt, net::SocketAddrV4};

use serde::{Deserialize, Serialize};
use smoltcp::wire;
use thiserror::Error;
use xxhash_rust::xxh3;

const KEY_LEN: usize = 12;

/// Why bytes are not a TCP packet that can be forwarded.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// Not a whole IPv4 packet.
    #[error("not a whole IPv4 packet")]
    Ip,
    /// A fragment; callers must use path MTU discovery.
    #[error("packet is a fragment")]
    Fragment,
    /// Another protocol than TCP.
    #[error("payload is not TCP")]
    Protocol,
    /// Not a whole TCP segment.
    #[error("not a whole TCP segment")]
    Tcp,
}

/// The two ends of a flow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Flow {
    /// The caller's address and port.
    pub caller: SocketAddrV4,
    /// The service's address and port.
    pub service: SocketAddrV4,
}

impl Flow {
    /// Hash of both ends under the fleet's seed.
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

/// What a decision needs to know of a packet from a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct View {
    /// The flow that the packet belongs to.
    pub flow: Flow,
    /// Whether the packet opens a flow (SYN without ACK).
    pub opening: bool,
    /// Whether the packet resets its flow.
    pub reset: bool,
    /// Sequence number of the first byte.
    pub seq: u32,
    /// Acknowledged sequence number, if any.
    pub ack: Option<u32>,
    /// Bytes of payload.
    pub len: usize,
}

/// Reads the ends and flags of an IPv4 packet with a TCP segment.
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
        seq: sequence(tcp.seq_number()),
        ack: tcp.ack().then(|| sequence(tcp.ack_number())),
        len: tcp.payload().len(),
    })
}

const fn sequence(number: wire::TcpSeqNumber) -> u32 {
    number.0.cast_unsigned()
}
