//! Packets of the platform: a head of 36 bytes, little-endian, followed by the data.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const HEAD_LEN: usize = 36;
pub const RST: u8 = 4;
pub const ACK: u8 = 8;
pub const SYN: u8 = 16;
pub const BOUNCED: u8 = 32;

const FLAGS_AT: usize = 4;
const PAD_AT: usize = 5;
const SUM_AT: usize = 10;

/// Key of the senders' checksum, which the system under test does not know.
const SUM_KEY: u32 = 0x5bd1_e995;

#[derive(Clone, Debug)]
pub struct Packet {
    pub flags: u8,
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub sum: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Returns whether the checksum is the one that the sender wrote.
    pub fn is_authentic(&self) -> bool {
        self.sum == checksum(self)
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD_LEN];
        bytes[FLAGS_AT] = self.flags;
        bytes[SUM_AT..][..4].copy_from_slice(&checksum(self).to_le_bytes());
        bytes[14..18].copy_from_slice(&self.from.ip().to_bits().to_le_bytes());
        bytes[18..20].copy_from_slice(&self.from.port().to_le_bytes());
        bytes[20..22].copy_from_slice(&self.to.port().to_le_bytes());
        bytes[22..26].copy_from_slice(&self.to.ip().to_bits().to_le_bytes());
        let len = u16::try_from(self.data.len()).expect("data fits into a packet");
        bytes[26..28].copy_from_slice(&len.to_le_bytes());
        bytes[28..32].copy_from_slice(&self.seq.to_le_bytes());
        bytes[32..36].copy_from_slice(&self.ack.to_le_bytes());
        bytes.extend_from_slice(&self.data);
        bytes
    }
}

pub fn decode(bytes: &[u8]) -> Option<Packet> {
    if bytes.len() < HEAD_LEN {
        return None;
    }
    let u16_at = |at: usize| u16::from_le_bytes([bytes[at], bytes[at + 1]]);
    let u32_at =
        |at: usize| u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
    let address =
        |ip: usize, port: usize| SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(ip)), u16_at(port));
    let data = bytes[HEAD_LEN..].to_vec();
    (usize::from(u16_at(26)) == data.len()).then(|| Packet {
        flags: bytes[FLAGS_AT],
        from: address(14, 18),
        to: address(22, 20),
        seq: u32_at(28),
        ack: u32_at(32),
        sum: u32_at(SUM_AT),
        data,
    })
}

/// Returns an undeliverable packet as its backend sends it back: the flag is set, `echo` is
/// kept and `pad` is 0.
pub fn bounce(bytes: &[u8]) -> Vec<u8> {
    let mut returned = bytes.to_vec();
    returned[FLAGS_AT] |= BOUNCED;
    returned[PAD_AT..SUM_AT].fill(0);
    returned
}

/// Keyed checksum (FNV-1a) over all fields except `echo`, `pad` and the flag of a returned
/// packet. It is never 0, which marks a reset of the system's own.
fn checksum(packet: &Packet) -> u32 {
    let mut bytes = vec![packet.flags & !BOUNCED];
    for address in [packet.from, packet.to] {
        bytes.extend_from_slice(&address.ip().octets());
        bytes.extend_from_slice(&address.port().to_le_bytes());
    }
    bytes.extend_from_slice(&packet.seq.to_le_bytes());
    bytes.extend_from_slice(&packet.ack.to_le_bytes());
    bytes.extend_from_slice(&packet.data);
    let hash = bytes.iter().fold(SUM_KEY, |hash, byte| {
        (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193)
    });
    hash.max(1)
}
