//! Reset packets for flows that no endpoint has.

use std::net::SocketAddrV4;

use smoltcp::{
    phy::ChecksumCapabilities,
    wire::{self, TcpControl},
};

use crate::packet;

const HOP_LIMIT: u8 = 64;

/// The reset that answers a packet, from the service to the caller (RFC 9293, section 3.10.7.1).
///
/// `None` for a packet that is a reset itself.
#[must_use]
pub fn answer(view: &packet::View) -> Option<Vec<u8>> {
    if view.reset {
        return None;
    }
    let tcp = segment(view);
    let ip = wire::Ipv4Repr {
        src_addr: *view.flow.service.ip(),
        dst_addr: *view.flow.caller.ip(),
        next_header: wire::IpProtocol::Tcp,
        payload_len: tcp.buffer_len(),
        hop_limit: HOP_LIMIT,
    };
    let checksums = ChecksumCapabilities::default();
    let mut bytes = vec![0; ip.buffer_len() + tcp.buffer_len()];
    ip.emit(&mut wire::Ipv4Packet::new_unchecked(&mut bytes), &checksums);
    tcp.emit(
        &mut wire::TcpPacket::new_unchecked(&mut bytes[ip.buffer_len()..]),
        &address(view.flow.service),
        &address(view.flow.caller),
        &checksums,
    );
    Some(bytes)
}

fn segment(view: &packet::View) -> wire::TcpRepr<'static> {
    let (seq, ack) = match view.ack {
        Some(ack) => (sequence(ack), None),
        None => (sequence(0), Some(sequence(next(view)))),
    };
    wire::TcpRepr {
        src_port: view.flow.service.port(),
        dst_port: view.flow.caller.port(),
        control: TcpControl::Rst,
        seq_number: seq,
        ack_number: ack,
        window_len: 0,
        window_scale: None,
        max_seg_size: None,
        sack_permitted: false,
        sack_ranges: [None, None, None],
        timestamp: None,
        payload: &[],
    }
}

fn next(view: &packet::View) -> u32 {
    let len = u32::try_from(view.len).unwrap_or(u32::MAX);
    view.seq
        .wrapping_add(len)
        .wrapping_add(u32::from(view.opening))
}

const fn sequence(number: u32) -> wire::TcpSeqNumber {
    wire::TcpSeqNumber(number.cast_signed())
}

fn address(end: SocketAddrV4) -> wire::IpAddress {
    wire::IpAddress::Ipv4(*end.ip())
}
