//! Packets of the platform: a header of 36 bytes, little-endian, and the data.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const LEN: usize = 36;
pub const FIN: u8 = 1;
pub const RST: u8 = 4;
pub const ACK: u8 = 8;
pub const SYN: u8 = 16;
pub const BOUNCED: u8 = 32;

/// Key of the sum, known to requesters and backends only.
const KEY: u32 = 0x9e37_79b9;

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
    pub fn new(flags: u8, from: SocketAddrV4, to: SocketAddrV4, seq: u32, ack: u32) -> Self {
        Self {
            flags,
            from,
            to,
            seq,
            ack,
            sum: 0,
            data: Vec::new(),
        }
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Returns whether the packet is as its sender wrote it.
    pub fn is_intact(&self) -> bool {
        self.sum == self.expected_sum()
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; LEN];
        bytes[4] = self.flags;
        bytes[10..14].copy_from_slice(&self.expected_sum().to_le_bytes());
        bytes[14..18].copy_from_slice(&self.from.ip().to_bits().to_le_bytes());
        bytes[18..20].copy_from_slice(&self.from.port().to_le_bytes());
        bytes[20..22].copy_from_slice(&self.to.port().to_le_bytes());
        bytes[22..26].copy_from_slice(&self.to.ip().to_bits().to_le_bytes());
        bytes[26..28].copy_from_slice(&(self.data.len() as u16).to_le_bytes());
        bytes[28..32].copy_from_slice(&self.seq.to_le_bytes());
        bytes[32..36].copy_from_slice(&self.ack.to_le_bytes());
        bytes.extend_from_slice(&self.data);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < LEN {
            return None;
        }
        let u16_at = |at: usize| u16::from_le_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let ip_at = |at: usize| Ipv4Addr::from_bits(u32_at(at));
        (usize::from(u16_at(26)) == bytes.len() - LEN).then(|| Self {
            flags: bytes[4],
            from: SocketAddrV4::new(ip_at(14), u16_at(18)),
            to: SocketAddrV4::new(ip_at(22), u16_at(20)),
            seq: u32_at(28),
            ack: u32_at(32),
            sum: u32_at(10),
            data: bytes[LEN..].to_vec(),
        })
    }

    /// Sum over all fields except `echo`, `pad` and the flag of returned packets; never 0.
    fn expected_sum(&self) -> u32 {
        let mut sum = KEY;
        let mut add = |value: u32| sum = (sum ^ value).wrapping_mul(0x0100_0193).rotate_left(5);
        add(u32::from(self.flags & !BOUNCED));
        add(self.from.ip().to_bits());
        add(self.to.ip().to_bits());
        add(u32::from(self.from.port()) << 16 | u32::from(self.to.port()));
        add(self.data.len() as u32);
        add(self.seq);
        add(self.ack);
        for byte in &self.data {
            add(u32::from(*byte));
        }
        sum | 1
    }
}
