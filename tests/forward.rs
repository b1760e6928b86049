//! Forwarding of packets from the fabric to agents, and the routes that it uses.

mod common;

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use cassiacross::{forward, gue, header, ident, member, packet, record, rendezvous, seal};
use common::{addr, service, service_addr, syn_packet};
use yare::parameterized;

const KEY: &str = "0123456789abcdef";
const FABRIC: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 9), 4_000);

fn members(states: &[member::State]) -> Vec<member::Member> {
    let mut members: Vec<_> = states
        .iter()
        .zip(1..)
        .map(|(state, port)| member::Member {
            state: *state,
            packets: addr(port),
            ..common::member(&format!("agent-{port}"), &[])
        })
        .collect();
    members.sort_by_key(|member| member.node);
    members
}

fn services() -> Vec<record::Service> {
    let versioned = [service("ledger", 80, 1), service("sheets", 81, 1)];
    versioned
        .into_iter()
        .filter_map(|one| one.service)
        .collect()
}

fn routes(services: &[record::Service], members: &[member::Member]) -> forward::Routes {
    forward::Routes::default().rebuild(services, |service| {
        let members_of_service = members
            .iter()
            .filter(|member| member.service == service.name);
        forward::candidates(service, members_of_service)
    })
}

#[test]
fn packet_goes_to_the_first_candidate_with_the_others_as_chain() {
    let to = service_addr(80);
    let routes = routes(&services(), &members(&[member::State::Ready; 5]));
    let sealer = seal::Sealer::new(KEY);
    let mut scratch = forward::Scratch::new();
    for caller in 1_000..1_200 {
        let bytes = syn_packet(caller, to);
        let mut datagram = Vec::new();
        gue::encode(&bytes, &mut datagram);
        let seed = sealer.flow_seed();
        let (agent, out) =
            forward::forward(&routes, &sealer, seed, FABRIC, &datagram, &mut scratch)
                .expect("the packet was dropped");
        let (kind, body) = sealer.open(out).expect("the datagram's seal is invalid");
        let (header, inner) = header::decode(body).expect("the header cannot be decoded");
        assert_eq!(kind, seal::Kind::Packet);
        assert_eq!(inner, bytes);
        assert_eq!(header.service, ident::ServiceId::of("ledger"));
        assert_eq!((header.target.addr, header.fabric), (agent, FABRIC));
        let view = packet::parse(&bytes).expect("the packet cannot be parsed");
        let route = routes.find(to).expect("the service has no route");
        let expected: Vec<_> = route.table.chain(view.flow.hash(seed)).copied().collect();
        let mut chain = vec![header.target];
        chain.extend(&header.chain);
        assert_eq!(chain, expected);
        assert_eq!(chain.len(), rendezvous::CHAIN_LEN);
    }
}

fn encapsulated(bytes: &[u8]) -> Vec<u8> {
    let mut datagram = Vec::new();
    gue::encode(bytes, &mut datagram);
    datagram
}

fn fragmented() -> Vec<u8> {
    let mut bytes = syn_packet(1, service_addr(80));
    bytes[6] |= 0x20;
    bytes
}

#[parameterized(
    empty = { Vec::new(), forward::Error::Gue(gue::Error::Short) },
    variant_1 = { vec![0x40, 4, 0, 0, 9], forward::Error::Gue(gue::Error::Variant) },
    truncated_options = { vec![0x1f, 4, 0, 0, 9], forward::Error::Gue(gue::Error::Short) },
    ipv6 = { vec![0, 41, 0, 0, 9], forward::Error::Gue(gue::Error::Protocol(41)) },
    empty_payload = { encapsulated(&[]), forward::Error::Packet(packet::Error::Ip) },
    not_an_ip_packet = { encapsulated(&[0xff; 60]), forward::Error::Packet(packet::Error::Ip) },
    fragment = { encapsulated(&fragmented()), forward::Error::Packet(packet::Error::Fragment) },
    truncated = { encapsulated(&syn_packet(1, addr(1))[..30]), forward::Error::Packet(packet::Error::Ip) },
    unknown_address = { encapsulated(&syn_packet(1, addr(1))), forward::Error::Service },
    service_without_agents = { encapsulated(&syn_packet(1, service_addr(81))), forward::Error::Candidates },
)]
fn dropped_datagram(datagram: Vec<u8>, expected: forward::Error) {
    let routes = routes(&services(), &members(&[member::State::Ready]));
    let sealer = seal::Sealer::new(KEY);
    let mut scratch = forward::Scratch::new();
    let result = forward::forward(&routes, &sealer, 1, FABRIC, &datagram, &mut scratch);
    assert_eq!(
        result.expect_err("the invalid datagram was forwarded"),
        expected
    );
}

#[parameterized(
    ready = { member::State::Ready, 1.0, member::capacity_step(2.0), Some(2.0) },
    weighted = { member::State::Ready, 0.5, member::capacity_step(4.0), Some(2.0) },
    without_weight = { member::State::Ready, 0.0, 4, None },
    starting = { member::State::Starting, 1.0, 4, None },
    draining = { member::State::Draining, 1.0, 4, None },
)]
fn effective_weight(state: member::State, weight: f64, step: u8, expected: Option<f64>) {
    let service = weighted_service("agent-1", weight);
    let mut all = members(&[state, member::State::Ready]);
    let index = all.iter().position(|member| member.name == "agent-1");
    let index = index.expect("agent-1 is not a member");
    (all[index].state, all[index].step) = (state, step);
    all[1 - index].state = member::State::Ready;
    let node = all[index].node;
    let candidates = forward::candidates(&service, &all);
    let found = candidates.iter().find(|one| one.hop.node == node);
    assert_eq!(found.map(|one| one.weight), expected);
    assert_eq!(candidates.len(), 1 + usize::from(expected.is_some()));
}

#[parameterized(
    without_weight = { member::State::Ready, 0.0 },
    starting = { member::State::Starting, 1.0 },
    draining = { member::State::Draining, 1.0 },
)]
fn all_agents_are_candidates_if_none_is_ready(state: member::State, weight: f64) {
    let service = weighted_service("agent-1", weight);
    let all = members(&[state]);
    let candidates = forward::candidates(&service, &all);
    assert_eq!(candidates.len(), 1);
    assert_eq!(candidates[0].hop, all[0].hop());
}

fn weighted_service(upstream: &str, weight: f64) -> record::Service {
    let mut service = services().remove(0);
    service.weights = vec![record::Weight {
        name: upstream.to_owned(),
        weight,
    }];
    service
}

#[test]
fn rebuild_shares_unchanged_tables() {
    let services = services();
    let ledger = members(&[member::State::Ready; 3]);
    let mut all = ledger.clone();
    all.extend(ledger.iter().map(|member| member::Member {
        service: "sheets".to_owned(),
        ..member.clone()
    }));
    let before = routes(&services, &all);
    let candidates_of = |drop_first: bool| {
        let all = all.clone();
        move |service: &record::Service| {
            let skip = usize::from(drop_first && service.name == "sheets");
            let members_of_service = all.iter().filter(|one| one.service == service.name);
            forward::candidates(service, members_of_service.skip(skip))
        }
    };
    assert!(
        before
            .rebuild(&services, candidates_of(false))
            .is_same(&before)
    );
    let after = before.rebuild(&services, candidates_of(true));
    let shared: Vec<_> = before
        .as_slice()
        .iter()
        .zip(after.as_slice())
        .map(|(old, new)| Arc::ptr_eq(&old.table, &new.table))
        .collect();
    assert_eq!(shared, [true, false]);
}

#[test]
fn reassigned_address_routes_only_to_its_new_service() {
    let ledger = services().remove(0);
    let sheets = record::Service {
        name: "sheets".to_owned(),
        ..ledger.clone()
    };
    let before = routes(
        std::slice::from_ref(&ledger),
        &members(&[member::State::Ready]),
    );
    let after = before.rebuild([&sheets], |_| Vec::new());
    let route = after
        .find(ledger.address)
        .expect("the address has no route");
    assert_eq!(route.service, ident::ServiceId::of("sheets"));
    assert_eq!(route.table.chain(1).count(), 0);
}

#[test]
fn former_address_routes_to_its_service_until_reassigned() {
    let moved = record::Service {
        address: service_addr(90),
        former: vec![service_addr(80)],
        ..services().remove(0)
    };
    let sheets = record::Service {
        name: "sheets".to_owned(),
        address: service_addr(81),
        former: Vec::new(),
        ..moved.clone()
    };
    let routed_service =
        |routes: &forward::Routes| routes.find(service_addr(80)).map(|route| route.service);
    let routes = routes(
        &[moved.clone(), sheets.clone()],
        &members(&[member::State::Ready]),
    );
    assert_eq!(
        routed_service(&routes),
        Some(ident::ServiceId::of("ledger"))
    );
    let reassigned = record::Service {
        address: service_addr(80),
        ..sheets
    };
    let routes = routes.rebuild([&moved, &reassigned], |_| Vec::new());
    assert_eq!(
        routed_service(&routes),
        Some(ident::ServiceId::of("sheets"))
    );
}
