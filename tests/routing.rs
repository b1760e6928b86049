//! Packet routing of a pass-through balancer.

use std::net::{Ipv4Addr, SocketAddrV4};

use cassiacross::{
    clock::Millis,
    ident::{DomainId, Incarnation, NodeId, ServiceId},
    member, protocol, record, roster,
    routing::{self, Config, Refusal, Route, Target},
    segment::Segment,
};
use yare::parameterized;

const LEDGER: ServiceId = ServiceId(7);
const INTAKE: ServiceId = ServiceId(8);
const SEED: u64 = 3;

fn address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, last), 443)
}

fn entry(node: u16, service: Option<ServiceId>) -> roster::Entry {
    let addr = SocketAddrV4::new(Ipv4Addr::LOCALHOST, node);
    roster::Entry {
        node: NodeId(u64::from(node)),
        incarnation: Incarnation(1),
        change: 0,
        domain: DomainId(1),
        control: addr,
        leaving: false,
        deaf: false,
        upstream: service.map(|service| roster::Upstream {
            service,
            packets: addr,
            state: Some(member::State::Ready),
            step: 40,
        }),
    }
}

fn roster() -> roster::Roster {
    let mut roster = roster::Roster::new(entry(100, None), Millis(0));
    for node in 1..=4 {
        let entry = entry(node, Some(LEDGER));
        roster.merge(&entry, roster::HEARTBEAT_PERIOD, true, Millis(0));
    }
    for node in 11..=12 {
        let entry = entry(node, Some(INTAKE));
        roster.merge(&entry, roster::HEARTBEAT_PERIOD, true, Millis(0));
    }
    roster
}

fn target(service: ServiceId, weight: u32) -> Target {
    Target { service, weight }
}

fn config(version: u64, targets: Vec<Target>) -> Config {
    Config {
        version,
        routes: vec![Route {
            address: address(1),
            targets,
            former: Vec::new(),
            class: record::Class::Normal,
            target: Millis(200),
            timeout: None,
        }],
        limits: Vec::new(),
    }
}

fn segment(caller: u16, syn: bool) -> Segment {
    Segment {
        from: SocketAddrV4::new(Ipv4Addr::new(10, 77, 0, 1), caller),
        to: address(1),
        syn,
        syn_ack: false,
        fin: false,
        reset: false,
        bounced: false,
        token: 0,
        seq: 1,
        ack: 0,
        len: 0,
    }
}

fn header(config: &Config, segment: &Segment) -> Result<protocol::Header, Refusal> {
    let roster = roster();
    let mut tables = routing::Tables::default();
    tables.refresh(&roster);
    routing::build_header(Some(config), &mut tables, &roster, SEED, segment)
}

fn nodes(header: &protocol::Header) -> Vec<u64> {
    header.hops.iter().map(|hop| hop.hop.node.0).collect()
}

#[test]
fn syn_lists_all_candidates() {
    let config = config(1, vec![target(LEDGER, 1)]);
    let header = header(&config, &segment(4_000, true)).unwrap();
    let mut nodes = nodes(&header);
    nodes.sort_unstable();
    assert_eq!(nodes, [1, 2, 3, 4]);
}

#[parameterized(
    first = { 1 },
    second = { 2 },
)]
fn syn_copy_starts_later_in_the_chain(copy: u32) {
    let config = config(1, vec![target(LEDGER, 1)]);
    let first = header(&config, &segment(4_000, true)).unwrap();
    let retransmitted = Segment {
        ack: copy,
        ..segment(4_000, true)
    };
    let retransmitted = header(&config, &retransmitted).unwrap();
    let at = usize::try_from(copy).unwrap();
    assert_eq!(nodes(&retransmitted)[0], nodes(&first)[at]);
}

#[test]
fn later_packets_go_to_the_home_of_their_flow() {
    let config = config(1, vec![target(LEDGER, 1)]);
    let first = header(&config, &segment(4_000, true)).unwrap();
    let later = header(&config, &segment(4_000, false)).unwrap();
    assert_eq!(nodes(&later)[0], nodes(&first)[0]);
    assert!(nodes(&later).len() < nodes(&first).len());
}

#[test]
fn shares_of_new_flows_follow_the_weights() {
    let config = config(1, vec![target(LEDGER, 90), target(INTAKE, 10)]);
    let intake = (1_000..11_000)
        .filter(|caller| {
            let header = syn_header(&config, *caller);
            header.hops[0].service == INTAKE
        })
        .count();
    assert!((800..1_200).contains(&intake), "{intake} of 10,000 flows");
}

fn syn_header(config: &Config, caller: u16) -> protocol::Header {
    header(config, &segment(caller, true)).unwrap()
}

#[test]
fn packets_of_open_flows_are_also_sent_to_former_services() {
    let before = config(1, vec![target(LEDGER, 1)]);
    let after = config(2, vec![target(INTAKE, 1)]).inherit(Some(&before));
    let syn = header(&after, &segment(4_000, true)).unwrap();
    assert!(syn.hops.iter().all(|hop| hop.service == INTAKE));
    let later = header(&after, &segment(4_000, false)).unwrap();
    assert!(later.hops.iter().any(|hop| hop.service == LEDGER));
}

#[test]
fn former_service_is_dropped_when_it_becomes_a_target_again() {
    let first = config(1, vec![target(LEDGER, 1)]);
    let second = config(2, vec![target(INTAKE, 1)]).inherit(Some(&first));
    let third = config(3, vec![target(LEDGER, 1)]).inherit(Some(&second));
    assert_eq!(third.routes[0].former, [INTAKE]);
}

#[test]
fn packet_without_a_route_is_rejected() {
    let config = config(1, vec![target(LEDGER, 1)]);
    let unrouted = Segment {
        to: address(9),
        ..segment(4_000, true)
    };
    assert_eq!(header(&config, &unrouted), Err(Refusal::NoRoute));
}

#[parameterized(
    unknown_service = { vec![target(ServiceId(99), 1)] },
    no_weight = { vec![target(LEDGER, 0)] },
    no_target = { vec![] },
)]
fn route_without_agents_is_rejected(targets: Vec<Target>) {
    let config = config(1, targets);
    let header = header(&config, &segment(4_000, true));
    assert_eq!(header, Err(Refusal::NoAgents));
}

#[test]
fn nothing_is_forwarded_without_a_configuration() {
    let roster = roster();
    let mut tables = routing::Tables::default();
    let header = routing::build_header(None, &mut tables, &roster, SEED, &segment(4_000, true));
    assert_eq!(header, Err(Refusal::NoConfig));
}

#[parameterized(
    urgent = { record::Class::Urgent, 200 },
    normal = { record::Class::Normal, 100 },
    bulk = { record::Class::Bulk, 100 },
)]
fn urgent_work_may_wait_longer(class: record::Class, max_wait: u64) {
    let mut config = config(1, vec![target(LEDGER, 1)]);
    config.routes[0].class = class;
    let header = header(&config, &segment(4_000, true)).unwrap();
    assert_eq!(header.max_wait, Millis(max_wait));
}

/// The caller of a copy has waited already: 200 ms for the first, 600 ms for the second.
#[parameterized(
    first_syn = { 0, 250 },
    first_copy = { 1, 50 },
    second_copy = { 2, 0 },
    unknown_copy = { 9, 0 },
)]
fn syn_copy_may_wait_less(copy: u32, max_wait: u64) {
    let mut config = config(1, vec![target(LEDGER, 1)]);
    config.routes[0].target = Millis(500);
    let syn = Segment {
        ack: copy,
        ..segment(4_000, true)
    };
    let header = header(&config, &syn).unwrap();
    assert_eq!(header.max_wait, Millis(max_wait));
}

#[test]
fn acknowledgement_of_an_open_flow_is_no_copy_count() {
    let config = config(1, vec![target(LEDGER, 1)]);
    let packet = Segment {
        ack: 2,
        ..segment(4_000, false)
    };
    let header = header(&config, &packet).unwrap();
    assert_eq!(header.max_wait, Millis(100));
}
