//! TCP resets for packets of unknown flows (RFC 9293, section 3.10.7.1).

use smoltcp::{phy, wire};

use crate::packet;

/// IPv4 time to live of the resets.
const HOP_LIMIT: u8 = 64;

/// Builds the RST packet that answers a packet of an unknown flow.
///
/// Returns `None` if the packet is not a TCP packet or is a reset itself.
#[must_use]
pub fn build_rst(bytes: &[u8]) -> Option<Vec<u8>> {
    let view = packet::parse(bytes).ok()?;
    if view.reset {
        return None;
    }
    let ip = wire::Ipv4Packet::new_checked(bytes).ok()?;
    let tcp = wire::TcpPacket::new_checked(ip.payload()).ok()?;
    let segment = rst_segment(&view, &tcp);
    let header = wire::Ipv4Repr {
        src_addr: ip.dst_addr(),
        dst_addr: ip.src_addr(),
        next_header: wire::IpProtocol::Tcp,
        payload_len: segment.buffer_len(),
        hop_limit: HOP_LIMIT,
    };
    Some(emit_packet(&header, &segment))
}

/// Builds the RST segment with the sequence and acknowledgement numbers of the RFC.
fn rst_segment(view: &packet::View, tcp: &wire::TcpPacket<&[u8]>) -> wire::TcpRepr<'static> {
    let (seq_number, ack_number) = if view.ack.is_some() {
        (tcp.ack_number(), None)
    } else {
        let next_seq = tcp.seq_number() + tcp.segment_len();
        (wire::TcpSeqNumber(0), Some(next_seq))
    };
    wire::TcpRepr {
        src_port: tcp.dst_port(),
        dst_port: tcp.src_port(),
        control: wire::TcpControl::Rst,
        seq_number,
        ack_number,
        window_len: 0,
        window_scale: None,
        max_seg_size: None,
        sack_permitted: false,
        sack_ranges: [None; 3],
        timestamp: None,
        payload: &[],
    }
}

/// Serializes an IPv4 packet with checksums.
fn emit_packet(header: &wire::Ipv4Repr, segment: &wire::TcpRepr<'_>) -> Vec<u8> {
    let checksums = phy::ChecksumCapabilities::default();
    let mut bytes = vec![0; header.buffer_len() + header.payload_len];
    let mut ip = wire::Ipv4Packet::new_unchecked(&mut bytes);
    header.emit(&mut ip, &checksums);
    let mut tcp = wire::TcpPacket::new_unchecked(ip.payload_mut());
    segment.emit(
        &mut tcp,
        &header.src_addr.into(),
        &header.dst_addr.into(),
        &checksums,
    );
    bytes
}
