//! Adapts packets that arrive out of order to what the TCP library accepts.
//!
//! The network sprays the packets of a flow over several balancers, so reordering is
//! frequent. smoltcp drops a packet whose acknowledgement number is older than the newest
//! one, with its data, takes over the window of any packet, and ignores a FIN ahead of
//! missing data. Each of these leaves the flow waiting for a timer.

use std::{borrow::Cow, cmp::Ordering};

use smoltcp::wire::{self, TcpSeqNumber};

/// Newest acknowledgement of the peer and the window that came with it.
#[derive(Clone, Copy, Debug)]
struct Acknowledged {
    number: TcpSeqNumber,
    window: u16,
}

/// Replaces outdated acknowledgement numbers and windows in the packets of a peer.
#[derive(Debug, Default)]
pub(super) struct AckFilter {
    /// End of the sequence numbers that were sent to the peer.
    sent_end: Option<TcpSeqNumber>,
    newest: Option<Acknowledged>,
}

impl AckFilter {
    /// Returns the peer's window in bytes, without its scale, which makes it larger; `None` if
    /// the handshake is not complete.
    pub(super) fn min_window(&self) -> Option<usize> {
        self.newest.map(|newest| usize::from(newest.window))
    }

    /// Records a packet that is sent to the peer.
    pub(super) fn record_sent(&mut self, packet: &[u8]) {
        let Some(end) = with_tcp(packet, |tcp| tcp.seq_number() + tcp.segment_len()) else {
            return;
        };
        if self.sent_end.is_none_or(|sent| end > sent) {
            self.sent_end = Some(end);
        }
    }

    /// Returns a packet of the peer with the newest acknowledgement and window that it sent;
    /// `None` if the packet carries nothing but an outdated acknowledgement.
    pub(super) fn update<'a>(&mut self, packet: &'a [u8]) -> Option<Cow<'a, [u8]>> {
        let Some((ack, is_bare)) = with_tcp(packet, |tcp| {
            (acknowledged(tcp), tcp.segment_len() == 0 && !tcp.rst())
        }) else {
            return Some(Cow::Borrowed(packet));
        };
        let Some(ack) = ack.filter(|ack| self.sent_end.is_some_and(|end| ack.number <= end)) else {
            return Some(Cow::Borrowed(packet));
        };
        let Some(newest) = self.newest else {
            self.newest = Some(ack);
            return Some(Cow::Borrowed(packet));
        };
        match ack.number.partial_cmp(&newest.number) {
            Some(Ordering::Less) if is_bare => None,
            Some(Ordering::Less) => Some(Cow::Owned(with_acknowledgement(packet, newest))),
            // A peer does not shrink its window (RFC 9293, section 3.8.6), so the smaller of
            // two windows with the same number is the older one.
            Some(Ordering::Equal) if ack.window < newest.window => {
                Some(Cow::Owned(with_acknowledgement(packet, newest)))
            }
            _ => {
                self.newest = Some(ack);
                Some(Cow::Borrowed(packet))
            }
        }
    }
}

/// Returns a copy of a FIN packet without its payload; `None` if the packet has no FIN.
pub(super) fn bare_fin(packet: &[u8]) -> Option<Vec<u8>> {
    let (payload_len, seq) = with_tcp(packet, |tcp| {
        let len = tcp.payload().len();
        tcp.fin().then_some((len, tcp.seq_number() + len))
    })??;
    let len = total_len(packet)? - payload_len;
    let mut bytes = packet[..len].to_vec();
    let mut ip = wire::Ipv4Packet::new_unchecked(&mut bytes);
    ip.set_total_len(u16::try_from(len).ok()?);
    ip.fill_checksum();
    edit_tcp(&mut bytes, |tcp| tcp.set_seq_number(seq));
    Some(bytes)
}

/// Returns the length of an IPv4 packet without padding after it.
fn total_len(packet: &[u8]) -> Option<usize> {
    let ip = wire::Ipv4Packet::new_checked(packet).ok()?;
    Some(usize::from(ip.total_len()))
}

/// Returns the acknowledgement of a packet. The window of a SYN has another scale.
fn acknowledged(tcp: &wire::TcpPacket<&[u8]>) -> Option<Acknowledged> {
    let is_scaled = tcp.ack() && !tcp.syn();
    is_scaled.then(|| Acknowledged {
        number: tcp.ack_number(),
        window: tcp.window_len(),
    })
}

fn with_acknowledgement(packet: &[u8], ack: Acknowledged) -> Vec<u8> {
    let mut bytes = packet.to_vec();
    edit_tcp(&mut bytes, |tcp| {
        tcp.set_ack_number(ack.number);
        tcp.set_window_len(ack.window);
    });
    bytes
}

/// Changes the TCP header of a valid packet and updates its checksum.
fn edit_tcp(bytes: &mut [u8], edit: impl FnOnce(&mut wire::TcpPacket<&mut [u8]>)) {
    let mut ip = wire::Ipv4Packet::new_unchecked(bytes);
    let (source, target) = (ip.src_addr().into(), ip.dst_addr().into());
    let mut tcp = wire::TcpPacket::new_unchecked(ip.payload_mut());
    edit(&mut tcp);
    tcp.fill_checksum(&source, &target);
}

/// Calls `f` with the TCP segment of a packet; `None` if it is incomplete or corrupted.
fn with_tcp<T>(packet: &[u8], f: impl FnOnce(&wire::TcpPacket<&[u8]>) -> T) -> Option<T> {
    let ip = wire::Ipv4Packet::new_checked(packet).ok()?;
    let tcp = wire::TcpPacket::new_checked(ip.payload()).ok()?;
    let (source, target) = (ip.src_addr().into(), ip.dst_addr().into());
    let is_intact = ip.verify_checksum() && tcp.verify_checksum(&source, &target);
    is_intact.then(|| f(&tcp))
}
