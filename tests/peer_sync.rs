//! Propagation of membership and configuration among pass-through nodes.

mod node_network;

use std::net::{Ipv4Addr, SocketAddrV4};

use cassiacross::{
    clock::Millis,
    config_transfer,
    ident::ServiceId,
    member, peer_sync,
    protocol::{self, Message},
    record, roster, routing,
};
use node_network::{Network, SERVICE, addr};

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
    };
    routing::Config {
        version,
        routes: (0..200).map(route).collect(),
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
