//! Propagation of membership and configuration among pass-through nodes.

mod node_network;

use std::net::{Ipv4Addr, SocketAddrV4};

use cassiacross::{
    clock::Millis,
    config_transfer,
    ident::{self, ServiceId},
    member, peer_sync,
    protocol::{self, Message},
    record, roster, routing,
};
use node_network::{Network, SERVICE, addr};
use yare::parameterized;

fn entry(node: u16, service: Option<ServiceId>) -> roster::Entry {
    node_network::entry(node, 1, service)
}

fn config(version: u64) -> routing::Config {
    let route = |last: u8| routing::Route {
        address: SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, last), 443),
        targets: vec![routing::Target {
            service: SERVICE,
            weight: 1,
        }],
        former: Vec::new(),
        class: record::Class::Normal,
        target: Millis(200),
        timeout: None,
    };
    routing::Config {
        version,
        routes: (0..200).map(route).collect(),
        limits: Vec::new(),
    }
}

/// Creates balancers 1 to 3 and agents 11 and 12.
fn network() -> Network {
    let entries = vec![
        entry(1, None),
        entry(2, None),
        entry(3, None),
        entry(11, Some(SERVICE)),
        entry(12, Some(SERVICE)),
    ];
    Network::new(entries, 1)
}

fn known(network: &Network, at: usize) -> Vec<u64> {
    let peers = network.nodes[at].roster().peers();
    peers.iter().map(|peer| peer.entry.node.0).collect()
}

#[test]
fn all_nodes_discover_each_other_through_one_seed() {
    let mut network = network();
    network.run_until(Millis(1_000));
    assert_eq!(known(&network, 1), [1, 3, 11, 12]);
    assert_eq!(known(&network, 3), [1, 2, 3, 12]);
}

#[test]
fn one_address_from_the_platform_is_enough() {
    let mut network = network();
    network.partitioned.push(addr(1));
    network.run_until(Millis(1_000));
    assert!(known(&network, 3).is_empty());
    for node in &mut network.nodes {
        node.set_platform_addresses(vec![addr(2)]);
    }
    network.run_until(Millis(2_000));
    assert_eq!(known(&network, 3), [2, 3, 12]);
}

#[test]
fn configuration_reaches_nodes_without_platform_access() {
    let mut network = network();
    network.run_until(Millis(500));
    assert!(network.nodes[0].apply_config(config(5)));
    network.run_until(Millis(2_500));
    for node in &network.nodes {
        assert_eq!(node.config_version(), 5);
        assert_eq!(node.config().map(|config| config.routes.len()), Some(200));
    }
}

#[test]
fn older_configuration_is_ignored() {
    let mut network = network();
    assert!(network.nodes[0].apply_config(config(5)));
    assert!(!network.nodes[0].apply_config(config(4)));
    assert!(!network.nodes[0].apply_config(config(5)));
    assert_eq!(network.nodes[0].config_version(), 5);
}

#[test]
fn reconnected_node_gets_the_newer_configuration() {
    let mut network = network();
    network.run_until(Millis(500));
    network.partitioned.push(addr(3));
    network.nodes[0].apply_config(config(5));
    network.run_until(Millis(3_000));
    assert_eq!(network.nodes[2].config_version(), 0);
    network.partitioned.clear();
    network.run_until(Millis(6_000));
    assert_eq!(network.nodes[2].config_version(), 5);
}

#[test]
fn state_change_is_sent_at_once() {
    let mut network = network();
    network.run_until(Millis(1_000));
    network.nodes[3].update_self(|me| {
        if let Some(upstream) = &mut me.upstream {
            upstream.state = Some(member::State::Draining);
        }
    });
    while network.deliver() {}
    let ready = network.nodes[1].roster().ready_agents(SERVICE);
    let ready: Vec<_> = ready.iter().map(|entry| entry.node.0).collect();
    assert_eq!(ready, [12]);
}

#[test]
fn invalid_page_is_ignored() {
    let mut network = network();
    for (index, total) in [(0, 1), (5, 2), (0, u16::MAX)] {
        let page = Message::ConfigPage(config_transfer::Page {
            version: 9,
            digest: 1,
            index,
            total,
            bytes: vec![0xc1; 20],
        });
        network.nodes[0].receive(addr(2), page, Millis(0));
    }
    assert_eq!(network.nodes[0].config_version(), 0);
}

#[test]
fn missing_version_is_read_from_the_platform() {
    let mut node = peer_sync::PeerSync::new(entry(1, None), Vec::new(), 1, Millis(0));
    node.apply_config(config(3));
    let peers = (2..9).map(|peer| entry(peer, None));
    for peer in peers.clone() {
        let heartbeat = protocol::Heartbeat {
            entry: peer,
            period: roster::HEARTBEAT_PERIOD,
            config: 4,
            evacuations: cassiacross::evacuation::Evacuations::default(),
        };
        node.receive(addr(2), Message::Beat(heartbeat), Millis(0));
    }
    assert!(!node.roster().is_watcher());
    node.tick(Millis(100));
    assert!(!node.polling(Millis(100)).config);
    node.tick(Millis(1_200));
    assert!(node.polling(Millis(1_200)).config);
    node.apply_config(config(4));
    assert!(!node.polling(Millis(1_200)).config);
}

/// Restarts a node with a lower incarnation than before, as after a clock that was set back.
fn restart_behind(network: &mut Network, at: usize) {
    let mut me = network.nodes[at].roster().me().clone();
    me.incarnation = ident::Incarnation(1);
    me.change = 0;
    me.leaving = false;
    let now = network.now;
    network.nodes[at] = peer_sync::PeerSync::new(me, vec![addr(1)], 9, now);
}

// Guards against a node that stays unknown to its peers after its clock was set back between two
// starts: whichever kind of node is left to tell it.
#[parameterized(
    agent_known_to_all = { 3, &[] },
    agent_known_to_a_balancer = { 3, &[2, 3, 12] },
    balancer_known_to_an_agent = { 1, &[1, 3, 12] },
)]
fn node_that_restarts_with_an_earlier_incarnation_is_known_again(at: usize, cut: &[u16]) {
    let mut network = network();
    network.nodes[at].update_self(|me| me.incarnation = ident::Incarnation(900_000));
    network.run_until(Millis(2_000));
    network.nodes[at].update_self(|me| me.leaving = true);
    while network.deliver() {}
    network.partitioned = cut.iter().map(|node| addr(*node)).collect();
    restart_behind(&mut network, at);
    let seeds = [1, 2, 11].map(addr).to_vec();
    network.nodes[at].set_platform_addresses(seeds);
    network.run_until(Millis(4_000));
    network.partitioned.clear();
    network.run_until(Millis(8_000));
    let restarted = network.nodes[at].roster().me().clone();
    assert!(restarted.incarnation > ident::Incarnation(900_000));
    for (other, node) in network.nodes.iter().enumerate() {
        if other != at {
            let peer = node.roster().find(restarted.node).unwrap();
            assert_eq!(peer.entry.incarnation, restarted.incarnation);
            assert!(!peer.silent && !peer.entry.leaving);
        }
    }
}

// Guards against two processes at one address that raise their incarnations in turn: a late
// message of the one that has ended changes nothing.
#[test]
fn late_heartbeat_of_an_ended_process_does_not_change_the_incarnation() {
    let mut network = network();
    network.run_until(Millis(1_000));
    let ended = network.nodes[3].roster().me().clone();
    network.nodes[3].update_self(|me| me.incarnation = ident::Incarnation(900_000));
    network.run_until(Millis(2_000));
    for at in [0, 1, 2, 4] {
        let heartbeat = protocol::Heartbeat {
            entry: ended.clone(),
            period: roster::HEARTBEAT_PERIOD,
            config: 0,
            evacuations: cassiacross::evacuation::Evacuations::default(),
        };
        let now = network.now;
        network.nodes[at].receive(ended.control, Message::Beat(heartbeat), now);
    }
    network.run_until(Millis(4_000));
    let run = network.nodes[3].roster().me().incarnation;
    assert_eq!(run, ident::Incarnation(900_000));
}

// Guards against resets of open flows of a service that a route has left, by a balancer that
// started after the change.
#[test]
fn restarted_balancer_learns_the_former_services_of_routes() {
    let mut network = network();
    network.run_until(Millis(500));
    let mut before = config(5);
    for route in &mut before.routes {
        route.targets[0].service = ServiceId(8);
    }
    network.nodes[0].apply_config(before);
    network.run_until(Millis(2_500));
    network.nodes[0].apply_config(config(6));
    network.run_until(Millis(4_500));
    restart_behind(&mut network, 1);
    network.nodes[1].apply_config(config(6));
    assert!(!network.nodes[1].knows_services(network.now));
    network.run_until(Millis(7_000));
    assert!(network.nodes[1].knows_services(network.now));
    let config = network.nodes[1].config().unwrap();
    for route in &config.routes {
        assert_eq!(route.former, [ServiceId(8)]);
    }
}

/// Runs the network while the routes move from service 8 to the one of `config`, version 6.
fn move_routes(network: &mut Network) {
    for node in &mut network.nodes {
        node.record_first_start();
    }
    network.run_until(Millis(500));
    let mut before = config(5);
    for route in &mut before.routes {
        route.targets[0].service = ServiceId(8);
    }
    network.nodes[0].apply_config(before);
    network.run_until(Millis(2_500));
    network.nodes[0].apply_config(config(6));
    network.run_until(Millis(4_500));
}

/// Restarts nodes with later incarnations. Balancer 2 reads the configuration from the platform.
fn restart(network: &mut Network, nodes: &[usize]) {
    for at in nodes {
        let mut me = network.nodes[*at].roster().me().clone();
        me.incarnation = ident::Incarnation(me.incarnation.0 + 1);
        me.change = 0;
        let seeds = vec![addr(1), addr(21)];
        network.nodes[*at] = peer_sync::PeerSync::new(me, seeds, 9, network.now);
    }
    network.nodes[1].apply_config(config(6));
}

fn knows_former(network: &Network, at: usize) -> bool {
    let routes = &network.nodes[at].config().unwrap().routes;
    let mut routes = routes.iter();
    network.nodes[at].knows_services(network.now)
        && routes.all(|route| route.former == [ServiceId(8)])
}

// Guards against resets of open flows by a balancer that starts together with all nodes of its
// failure domain: that these do not know the former services does not mean that there are none.
#[parameterized(
    all_nodes_of_its_domain_have_restarted = { &[0, 1, 2, 3, 4], &[] },
    nodes_of_its_domain_do_not_reply = { &[1], &[1, 3, 11, 12] },
)]
fn restarted_balancer_learns_former_services_from_another_domain(restarted: &[usize], cut: &[u16]) {
    let mut network = network();
    for (node, service) in [(21, None), (31, Some(SERVICE))] {
        let entry = node_network::entry(node, 2, service);
        let seeds = vec![addr(1)];
        let node = peer_sync::PeerSync::new(entry, seeds, u64::from(node), Millis(0));
        network.nodes.push(node);
    }
    move_routes(&mut network);
    network.partitioned = cut.iter().map(|node| addr(*node)).collect();
    restart(&mut network, restarted);
    network.run_until(Millis(9_000));
    assert!(knows_former(&network, 1));
}

// Guards against a balancer that takes the silence of its peers for the absence of former
// services, for good.
#[test]
fn isolated_balancer_does_not_know_the_services_of_routes() {
    let mut network = network();
    move_routes(&mut network);
    network.partitioned = vec![addr(2)];
    restart(&mut network, &[1]);
    network.run_until(Millis(12_000));
    assert!(!network.nodes[1].knows_services(network.now));
    network.partitioned.clear();
    network.run_until(Millis(15_000));
    assert!(knows_former(&network, 1));
}

// Guards against packets that wait for knowledge that nobody has any more.
#[test]
fn fleet_that_was_killed_at_once_ends_the_requests_for_former_services() {
    let mut network = network();
    move_routes(&mut network);
    let agent = node_network::entry(31, 2, Some(SERVICE));
    let agent = peer_sync::PeerSync::new(agent, vec![addr(1)], 31, Millis(0));
    network.nodes.push(agent);
    network.run_until(Millis(5_500));
    restart(&mut network, &[0, 1, 2, 3, 4, 5]);
    for node in &mut network.nodes {
        node.apply_config(config(6));
    }
    network.run_until(Millis(8_000));
    assert!(network.nodes[1].knows_services(network.now));
}
