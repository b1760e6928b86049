//! Encapsulation header of pass-through packets, and sealed messages between nodes.

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

const LINK_MBPS: f64 = 100.0;

fn header(hops: usize) -> Header {
    let agent = ServiceHop {
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
        hops: vec![agent; hops],
        max_wait: Millis(500),
        best: Some(protocol::BestHop {
            candidate: agent,
            wait: Millis(100),
        }),
        requester: Some(agent.hop),
        route: protocol::RouteInfo::default(),
    }
}

fn encoded(header: &Header, packet: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    header::encode(header, &mut out);
    out.extend_from_slice(packet);
    out
}

#[test]
fn header_and_packet_round_trip() {
    let header = header(6);
    let bytes = encoded(&header, b"packet");
    let (decoded, packet) = protocol::decode(&bytes).unwrap();
    assert_eq!(decoded, header);
    assert_eq!(packet, b"packet");
}

#[test]
fn largest_packet_fits_the_receive_buffer() {
    let bytes = encoded(&header(protocol::MAX_HOPS), &[0; 1_236]);
    assert!(bytes.len() < socket::MAX_LEN);
}

#[parameterized(
    none = { 0 },
    too_many = { protocol::MAX_HOPS + 1 },
)]
fn number_of_hops_is_checked(hops: usize) {
    let bytes = encoded(&header(hops), b"");
    assert!(matches!(protocol::decode(&bytes), Err(Error::Hops(n)) if n == hops));
}

#[test]
fn unsupported_version_is_rejected() {
    let header = Header {
        version: protocol::VERSION + 1,
        ..header(1)
    };
    let bytes = encoded(&header, b"");
    assert!(matches!(protocol::decode(&bytes), Err(Error::Version(_))));
}

#[test]
fn datagram_of_another_fleet_is_rejected() {
    let transport = transport::Transport::new("store 10.0.0.1:80", LINK_MBPS);
    let sealer = cassiacross::seal::Sealer::new("store 10.0.0.2:80");
    let mut datagram = Vec::new();
    let body = rmp_serde::to_vec(&Message::Roster(Vec::new())).unwrap();
    sealer.seal(cassiacross::seal::Kind::Exchange, &[&body], &mut datagram);
    assert!(matches!(
        transport.open(&datagram),
        Err(transport::Error::Seal(_))
    ));
}

proptest! {
    #[test]
    fn any_body_is_decoded_or_rejected(body in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok((header, packet)) = protocol::decode(&body) {
            prop_assert!(!header.hops.is_empty());
            prop_assert!(packet.len() < body.len());
        }
    }

    #[test]
    fn any_datagram_is_opened_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let transport = transport::Transport::new("secret", LINK_MBPS);
        prop_assert!(transport.open(&bytes).is_err());
    }
}

#[test]
fn header_of_a_new_flow_that_may_wait_round_trips() {
    let mut header = header(6);
    header.route.hold = Some(protocol::Hold {
        class: cassiacross::record::Class::Urgent,
        target: Millis(400),
        limit: Millis(1_000),
        repeated: true,
    });
    let bytes = encoded(&header, b"packet");
    let (decoded, _) = protocol::decode(&bytes).unwrap();
    assert_eq!(decoded, header);
}
