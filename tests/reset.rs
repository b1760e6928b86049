//! Resets for unknown flows are accepted by the endpoint that receives them.

use std::net::{Ipv4Addr, SocketAddrV4};

use cassiacross::{
    clock,
    endpoint::{self, Endpoint, Error},
    packet, reset,
};

const FLOW: packet::Flow = packet::Flow {
    caller: SocketAddrV4::new(Ipv4Addr::new(10, 77, 0, 1), 40_000),
    service: SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), 80),
};
const NOW: clock::Millis = clock::Millis(0);

/// Polls an endpoint and returns the packets that it sends.
fn poll(end: &mut Endpoint) -> Vec<Vec<u8>> {
    let mut sent = Vec::new();
    end.poll(NOW, &mut |packet| sent.push(packet.to_vec()));
    sent
}

/// Delivers packets to an endpoint and returns the packets that it sends in reply.
fn deliver(end: &mut Endpoint, packets: &[Vec<u8>]) -> Vec<Vec<u8>> {
    let mut sent = Vec::new();
    for packet in packets {
        let _ = end.deliver(packet, NOW, &mut |packet| sent.push(packet.to_vec()));
    }
    sent
}

/// Returns the resets for packets of an unknown flow.
fn build_resets(packets: &[Vec<u8>]) -> Vec<Vec<u8>> {
    packets
        .iter()
        .filter_map(|packet| reset::build_rst(packet))
        .collect()
}

#[test]
fn reset_of_opening_packet_is_accepted() {
    let mut caller = Endpoint::connect(FLOW, endpoint::Options::default(), 1, NOW);
    let resets = build_resets(&poll(&mut caller));
    deliver(&mut caller, &resets);
    assert_eq!(caller.error(), Some(Error::Reset));
}

#[test]
fn reset_of_data_is_accepted() {
    let options = endpoint::Options::default();
    let mut caller = Endpoint::connect(FLOW, options, 1, NOW);
    let mut service = Endpoint::accept(FLOW, options, 2, NOW);
    let opening = poll(&mut caller);
    let answer = deliver(&mut service, &opening);
    deliver(&mut caller, &answer);
    assert!(caller.is_established());
    assert!(caller.write(b"x").is_ready());
    let resets = build_resets(&poll(&mut caller));
    deliver(&mut caller, &resets);
    assert_eq!(caller.error(), Some(Error::Reset));
}

#[test]
fn reset_gets_no_reset() {
    let mut caller = Endpoint::connect(FLOW, endpoint::Options::default(), 1, NOW);
    let first = build_resets(&poll(&mut caller));
    assert_eq!(first.len(), 1);
    assert!(build_resets(&first).is_empty());
    assert_eq!(reset::build_rst(b"no packet"), None);
}
