//! Evacuations of failure domains: versions, their spread and what they mean for new flows.

mod node_network;

use cassiacross::{
    clock::Millis,
    evacuation::{Evacuations, View},
    ident::DomainId,
    platform::Position,
    protocol::{self, Message},
    roster, routing,
};
use node_network::{Network, SERVICE, addr, entry};
use yare::parameterized;

fn at(era: u64, revision: u64, domains: &[u32]) -> Evacuations {
    let domains = domains.iter().copied().map(DomainId).collect();
    Evacuations::at(Position { era, revision }, domains)
}

/// Two balancers and two agents in each of three domains: nodes 1, 2, 11, 12 in domain 1, and
/// so on.
fn network() -> Network {
    let nodes = (1..4).flat_map(|domain| {
        let first = u16::try_from(domain * 20).unwrap();
        [
            entry(first + 1, domain, None),
            entry(first + 2, domain, None),
            entry(first + 11, domain, Some(SERVICE)),
            entry(first + 12, domain, Some(SERVICE)),
        ]
    });
    let mut network = Network::new(nodes.collect(), 1);
    network.run_until(Millis(3_000));
    network
}

fn ready(roster: &roster::Roster) -> Vec<u32> {
    let entries = roster.ready_agents(SERVICE);
    entries.iter().map(|entry| entry.domain.0).collect()
}

fn evacuated(network: &Network) -> Vec<usize> {
    let nodes = network.nodes.iter();
    nodes.map(|node| node.evacuations().domains.len()).collect()
}

#[test]
fn evacuation_reaches_all_nodes_at_once() {
    let mut network = network();
    network.nodes[0].apply_evacuations(at(0, 9, &[2]));
    while network.deliver() {}
    assert_eq!(evacuated(&network), [1; 12]);
    for node in &network.nodes {
        assert!(!ready(node.roster()).contains(&2));
    }
    network.nodes[4].apply_evacuations(at(0, 12, &[]));
    while network.deliver() {}
    assert_eq!(evacuated(&network), [0; 12]);
}

#[test]
fn overlapping_evacuations_leave_the_third_domain() {
    let mut network = network();
    network.nodes[0].apply_evacuations(at(0, 9, &[2]));
    network.nodes[4].apply_evacuations(at(0, 10, &[2, 3]));
    while network.deliver() {}
    assert_eq!(ready(network.nodes[11].roster()), [1, 1]);
    network.nodes[0].apply_evacuations(at(0, 11, &[3]));
    while network.deliver() {}
    assert_eq!(ready(network.nodes[11].roster()), [1, 1, 2, 2]);
}

// Guards against a node that goes on with an evacuation whose end it missed while it was cut off.
#[parameterized(
    begun = { &[], &[2], 1 },
    withdrawn = { &[2], &[], 0 },
)]
fn change_during_a_partition_is_learned_after_it(before: &[u32], after: &[u32], expected: usize) {
    let mut network = network();
    network.nodes[0].apply_evacuations(at(0, 9, before));
    while network.deliver() {}
    network.partitioned.push(addr(51));
    network.nodes[0].apply_evacuations(at(0, 10, after));
    network.run_until(Millis(6_000));
    network.partitioned.clear();
    network.run_until(Millis(9_000));
    assert_eq!(evacuated(&network), [expected; 12]);
}

#[test]
fn node_that_starts_during_an_evacuation_learns_of_it() {
    let mut network = network();
    network.nodes[0].apply_evacuations(at(0, 9, &[2]));
    while network.deliver() {}
    let me = network.nodes[10].roster().me().clone();
    let now = network.now;
    network.nodes[10] = cassiacross::peer_sync::PeerSync::new(me, vec![addr(21)], 3, now);
    network.run_until(Millis(5_000));
    assert_eq!(evacuated(&network), [1; 12]);
}

// Guards against an older state of the evacuations that wins because it was read at a later
// position than the change that ended it.
#[test]
fn later_read_of_the_platform_replaces_the_state_of_a_peer() {
    let mut view = View::default();
    assert!(view.record_read(at(0, 100, &[2])));
    assert!(!view.record_read(at(0, 170, &[2])));
    assert!(view.merge(&at(0, 150, &[])));
    assert_eq!(view.active(), &at(0, 170, &[2]));
}

#[parameterized(
    older = { at(0, 8, &[]), 1 },
    newer = { at(0, 10, &[]), 0 },
    restored_platform = { at(1, 2, &[]), 0 },
)]
fn higher_version_is_in_force(other: Evacuations, expected: usize) {
    let mut view = View::default();
    view.record_read(at(0, 9, &[2]));
    view.merge(&other);
    assert_eq!(view.active().domains.len(), expected);
}

/// Returns the refusal of a new flow, or of a packet of an open one, at a balancer of domain 1.
fn refusal(network: &Network, syn: bool) -> Option<routing::Refusal> {
    let address = addr(9_000);
    let config = routing::Config {
        version: 1,
        routes: vec![routing::Route {
            address,
            targets: vec![routing::Target {
                service: SERVICE,
                weight: 1,
            }],
            former: Vec::new(),
            class: cassiacross::record::Class::Normal,
            target: Millis(200),
            timeout: None,
        }],
        limits: Vec::new(),
    };
    let segment = cassiacross::segment::Segment {
        from: addr(5_000),
        to: address,
        syn,
        syn_ack: false,
        fin: false,
        reset: false,
        bounced: false,
        token: 0,
        seq: 1,
        ack: 0,
        len: 0,
    };
    let roster = network.nodes[0].roster();
    let mut tables = routing::Tables::default();
    routing::build_header(Some(&config), &mut tables, roster, 1, &segment).err()
}

#[test]
fn new_flows_are_refused_when_all_domains_are_evacuated() {
    let mut network = network();
    network.nodes[0].apply_evacuations(at(0, 9, &[1, 2, 3]));
    while network.deliver() {}
    assert_eq!(refusal(&network, true), Some(routing::Refusal::Evacuated));
    assert_eq!(refusal(&network, false), None);
}

// Guards against messages that nodes of the version before cannot read, where nothing is ever
// evacuated.
#[test]
fn heartbeat_without_evacuations_has_the_former_format() {
    let heartbeat = protocol::Heartbeat {
        entry: entry(1, 1, None),
        period: Millis(400),
        config: 3,
        evacuations: Evacuations::default(),
    };
    let former = rmp_serde::to_vec(&(&heartbeat.entry, heartbeat.period, heartbeat.config));
    let bytes = rmp_serde::to_vec(&heartbeat).unwrap();
    assert_eq!(bytes, former.unwrap());
    let message: Message =
        rmp_serde::from_slice(&rmp_serde::to_vec(&Message::Ping).unwrap()).unwrap();
    assert_eq!(message, Message::Ping);
}
