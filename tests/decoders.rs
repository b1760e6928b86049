//! Decoders of datagrams: no input makes them panic, and altered or invalid datagrams are
//! rejected.

use std::net::{Ipv4Addr, SocketAddrV4};

use cassiacross::{gue, header, ident, packet, seal};
use proptest::prelude::*;
use yare::parameterized;

fn hop(port: u16) -> header::Hop {
    header::Hop {
        node: ident::NodeId(u64::from(port)),
        incarnation: ident::Incarnation(u64::MAX),
        addr: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
    }
}

fn valid_header(chain: usize) -> header::Header {
    header::Header {
        version: header::VERSION,
        service: ident::ServiceId(7),
        target: hop(1),
        chain: (0..chain).map(|_| hop(2)).collect(),
        fabric: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9),
        forwarded: false,
    }
}

fn encoded(header: &header::Header) -> Vec<u8> {
    let mut out = Vec::new();
    header::encode(header, &mut out);
    out
}

proptest! {
    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let sealer = seal::Sealer::new("0123456789abcdef");
        let _sealed = sealer.open(&bytes);
        let _gue = gue::decode(&bytes);
        let _header = header::decode(&bytes);
        let _packet = packet::parse(&bytes);
    }

    #[test]
    fn altered_datagram_is_rejected(
        body in prop::collection::vec(any::<u8>(), 0..1_400),
        position in any::<prop::sample::Index>(),
        flip in 1_u8..,
    ) {
        let sealer = seal::Sealer::new("0123456789abcdef");
        let mut datagram = Vec::new();
        sealer.seal(seal::Kind::Packet, &[&body], &mut datagram);
        prop_assert_eq!(sealer.open(&datagram), Ok((seal::Kind::Packet, body.as_slice())));
        let position = position.index(datagram.len());
        datagram[position] ^= flip;
        prop_assert!(sealer.open(&datagram).is_err());
    }

    #[test]
    fn header_and_packet_round_trip(
        chain in 0..=header::MAX_CHAIN,
        packet in prop::collection::vec(any::<u8>(), 0..1_400),
    ) {
        let header = valid_header(chain);
        let mut body = encoded(&header);
        body.extend_from_slice(&packet);
        let (decoded, rest) = header::decode(&body).expect("a valid header was rejected");
        prop_assert_eq!(decoded, header);
        prop_assert_eq!(rest, packet.as_slice());
    }
}

#[test]
fn other_fleet_key_is_rejected() {
    let mut datagram = Vec::new();
    seal::Sealer::new("0123456789abcdef").seal(seal::Kind::Ack, &[b"body"], &mut datagram);
    let other = seal::Sealer::new("fedcba9876543210");
    assert_eq!(other.open(&datagram), Err(seal::Error::Tag));
}

#[test]
fn unknown_version_and_long_chain_are_rejected() {
    let newer = header::Header {
        version: header::VERSION + 1,
        ..valid_header(0)
    };
    assert!(matches!(
        header::decode(&encoded(&newer)),
        Err(header::Error::Version(_))
    ));
    let long = valid_header(header::MAX_CHAIN + 1);
    assert!(matches!(
        header::decode(&encoded(&long)),
        Err(header::Error::Chain(_))
    ));
}

#[parameterized(
    short = { &[0, 4, 0], gue::Error::Short },
    control = { &[0x20, 4, 0, 0], gue::Error::Variant },
    variant = { &[0x40, 4, 0, 0], gue::Error::Variant },
    protocol = { &[0, 41, 0, 0], gue::Error::Protocol(41) },
    truncated_fields = { &[1, 4, 0, 0, 1], gue::Error::Short },
)]
fn invalid_gue_datagram(datagram: &[u8], expected: gue::Error) {
    assert_eq!(gue::decode(datagram), Err(expected));
}
