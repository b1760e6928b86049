//! What travels before pass-through packets, and messages between nodes.

use std::net::{Ipv4Addr, SocketAddrV4};

use cassiacross::{
    clock::Millis,
    header::{self, Hop},
    ident::{DomainId, Incarnation, NodeId, ServiceId},
    protocol::{self, Error, Header, Message, Mode, ServiceHop},
    socket, transport,
};
use proptest::prelude::*;
use yare::parameterized;

fn header(stops: usize) -> Header {
    let stop = ServiceHop {
        service: ServiceId(u64::MAX),
        hop: Hop {
            node: NodeId(u64::MAX),
            incarnation: Incarnation(u64::MAX),
            addr: SocketAddrV4::new(Ipv4Addr::BROADCAST, u16::MAX),
        },
    };
    Header {
        version: protocol::VERSION,
        mode: Mode::Chain,
        origin: DomainId(u32::MAX),
        hops: vec![stop; stops],
        max_wait: Millis(500),
        best: Some(protocol::BestHop {
            candidate: stop,
            wait: Millis(100),
        }),
        requester: Some(stop.hop),
    }
}

fn encoded(header: &Header, packet: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    header::encode(header, &mut out);
    out.extend_from_slice(packet);
    out
}

#[test]
fn header_and_packet_are_read_back() {
    let header = header(6);
    let bytes = encoded(&header, b"packet");
    let (read, packet) = protocol::decode(&bytes).unwrap();
    assert_eq!(read, header);
    assert_eq!(packet, b"packet");
}

#[test]
fn largest_packet_fits_a_read() {
    let bytes = encoded(&header(protocol::MAX_HOPS), &[0; 1_236]);
    assert!(bytes.len() < socket::MAX_LEN);
}

#[parameterized(
    none = { 0 },
    too_many = { protocol::MAX_HOPS + 1 },
)]
fn number_of_stops_is_checked(stops: usize) {
    let bytes = encoded(&header(stops), b"");
    assert!(matches!(protocol::decode(&bytes), Err(Error::Hops(n)) if n == stops));
}

#[test]
fn version_that_is_not_known_is_refused() {
    let header = Header {
        version: protocol::VERSION + 1,
        ..header(1)
    };
    let bytes = encoded(&header, b"");
    assert!(matches!(protocol::decode(&bytes), Err(Error::Version(_))));
}

#[test]
fn datagram_of_another_fleet_is_refused() {
    let own = transport::Transport::new("store 10.0.0.1:80");
    let sealer = cassiacross::seal::Sealer::new("store 10.0.0.2:80");
    let mut datagram = Vec::new();
    let body = rmp_serde::to_vec(&Message::Want(3)).unwrap();
    sealer.seal(cassiacross::seal::Kind::Exchange, &[&body], &mut datagram);
    assert!(matches!(
        own.open(&datagram),
        Err(transport::Error::Seal(_))
    ));
}

proptest! {
    #[test]
    fn any_body_is_read_or_refused(body in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok((header, packet)) = protocol::decode(&body) {
            prop_assert!(!header.hops.is_empty());
            prop_assert!(packet.len() < body.len());
        }
    }

    #[test]
    fn any_datagram_is_opened_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let post = transport::Transport::new("secret");
        prop_assert!(post.open(&bytes).is_err());
    }
}
