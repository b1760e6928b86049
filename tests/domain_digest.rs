//! Liveness across failure domains: heartbeats stay inside a domain, digests cross.

mod node_network;

use cassiacross::{
    clock::Millis,
    domain_digest::{self, Digest},
    ident::{DomainId, NodeId, ServiceId},
    peer_sync,
    protocol::{Heartbeat, Message},
    roster,
};
use node_network::{Network, SERVICE, addr, entry};
use yare::parameterized;

/// Time after the start of a fleet in which all nodes get to know each other.
const SETTLED: Millis = Millis(3_000);

/// Time within which the death of a node is known everywhere.
const DETECTION: Millis = Millis(2_000);

/// Period that heartbeats to other domains announce.
const FAR_PERIOD: Millis = Millis(20_000);

/// Number of the first agent; balancers have lower ones.
const FIRST_AGENT: u16 = 1_000;

/// Creates domains of balancers and agents.
fn fleet(domains: u16, balancers: u16, agents: u16, seed: u64) -> Network {
    let in_domain = |node: u16, per_domain: u16| u32::from(node / per_domain + 1);
    let balancers =
        (0..domains * balancers).map(|node| entry(node + 1, in_domain(node, balancers), None));
    let agents = (0..domains * agents)
        .map(|node| entry(FIRST_AGENT + node, in_domain(node, agents), Some(SERVICE)));
    let mut network = Network::new(balancers.chain(agents).collect(), seed);
    network.run_until(SETTLED);
    network
}

/// Returns the position of a node.
fn position(network: &Network, node: u16) -> usize {
    let mut nodes = network.nodes.iter();
    let at = nodes.position(|sync| sync.roster().me().control == addr(node));
    at.expect("the node exists")
}

/// Returns the number of nodes at which a node is known and not silent.
fn believers(network: &Network, node: u16) -> usize {
    let id = NodeId(u64::from(node));
    let peers = network
        .nodes
        .iter()
        .filter_map(|sync| sync.roster().find(id));
    peers.filter(|peer| !peer.silent).count()
}

fn roster_of(me: roster::Entry, others: &[roster::Entry]) -> roster::Roster {
    let mut roster = roster::Roster::new(me, Millis(0));
    for other in others {
        roster.merge(other, roster::HEARTBEAT_PERIOD, true, Millis(0));
    }
    roster
}

/// Returns two agents of the first domain.
fn agents_of_two_services() -> [roster::Entry; 2] {
    [
        entry(1_000, 1, Some(SERVICE)),
        entry(1_001, 1, Some(ServiceId(8))),
    ]
}

#[test]
fn digest_matches_equal_tables() {
    let near = agents_of_two_services();
    let reporter = roster_of(entry(1, 1, None), &near);
    let receiver = entry(2, 2, None);
    let digest = Digest::new(&reporter, &receiver, 5, Millis(0));
    let mut others = near.to_vec();
    others.push(entry(1, 1, None));
    let mut table = roster_of(receiver, &others);
    assert_eq!(digest.apply(&mut table, Millis(0)), []);
}

#[test]
fn digest_names_the_groups_that_differ() {
    let near = agents_of_two_services();
    let reporter = roster_of(entry(1, 1, None), &near);
    let receiver = entry(2, 2, None);
    let digest = Digest::new(&reporter, &receiver, 5, Millis(0));
    let mut changed = near.to_vec();
    changed[0].change += 1;
    changed.push(entry(1, 1, None));
    let mut table = roster_of(receiver, &changed);
    assert_eq!(digest.apply(&mut table, Millis(0)), [Some(SERVICE)]);
}

#[test]
fn digest_for_an_agent_omits_other_services() {
    let near = agents_of_two_services();
    let reporter = roster_of(entry(1, 1, None), &near);
    let digest = Digest::new(&reporter, &entry(1_002, 2, Some(SERVICE)), 5, Millis(0));
    let services: Vec<_> = digest.groups.iter().map(|group| group.service).collect();
    assert_eq!(services, [None, Some(SERVICE)]);
}

#[test]
fn digest_lists_nodes_without_heartbeats() {
    let reporter = roster_of(entry(1, 1, None), &[entry(1_000, 1, Some(SERVICE))]);
    let digest = Digest::new(&reporter, &entry(2, 2, None), 5, Millis(1_100));
    assert_eq!(digest.missing, [NodeId(1_000)]);
}

#[test]
fn each_node_has_two_reporters_in_another_domain() {
    let balancers: Vec<_> = (1..=5).map(NodeId).collect();
    for receiver in 100..200 {
        let reporters = balancers.iter().filter(|me| {
            let others = balancers.iter().filter(|other| other != me);
            let others: Vec<_> = others.copied().collect();
            domain_digest::is_reporter(**me, &others, NodeId(receiver))
        });
        assert_eq!(reporters.count(), 2);
    }
}

#[parameterized(
    nodes_30 = { 3, 3, 7 },
    nodes_195 = { 5, 12, 27 },
)]
fn death_of_an_agent_is_known_everywhere_in_time(domains: u16, balancers: u16, agents: u16) {
    let mut network = fleet(domains, balancers, agents, 1);
    let all = network.nodes.len() - 1;
    assert_eq!(believers(&network, FIRST_AGENT), all);
    network.partitioned.push(addr(FIRST_AGENT));
    network.run_until(SETTLED + DETECTION);
    assert_eq!(believers(&network, FIRST_AGENT), 0);
}

/// Counts the messages between domains in one second of a quiet fleet, per node.
fn crossing_rate(mut network: Network) -> f64 {
    network.between_domains.clear();
    network.run_until(SETTLED + Millis(1_000));
    let nodes = u32::try_from(network.nodes.len()).expect("nodes are few");
    let messages = u32::try_from(network.between_domains.len()).expect("messages are few");
    f64::from(messages) / f64::from(nodes)
}

/// Each node gets two digests per period from each other domain, whatever its size.
#[parameterized(
    nodes_50 = { 5, 3, 7 },
    nodes_195 = { 5, 12, 27 },
)]
fn quiet_fleet_sends_two_digests_per_domain(domains: u16, balancers: u16, agents: u16) {
    let rate = crossing_rate(fleet(domains, balancers, agents, 1));
    let digests = 2.0 * f64::from(domains - 1);
    let periods = 1_000.0 / 400.0;
    assert!(
        rate <= digests * (periods + 1.0),
        "{rate} messages a second and node"
    );
}

/// A node that starts gets the entries of the fleet from the seed and from its own domain.
#[test]
fn joining_node_gets_no_entries_from_most_of_the_fleet() {
    let mut network = fleet(5, 3, 7, 1);
    let joining = entry(2_000, 1, Some(SERVICE));
    let (seeds, now) = (vec![addr(1)], network.now);
    let sync = peer_sync::PeerSync::new(joining, seeds, 99, now);
    network.nodes.push(sync);
    network.between_domains.clear();
    network.step();
    let is_roster = |message: &&Message| matches!(message, Message::Roster(_));
    assert_eq!(network.between_domains.iter().filter(is_roster).count(), 0);
    assert_eq!(believers(&network, 2_000), network.nodes.len() - 1);
    let known = network.nodes[network.nodes.len() - 1]
        .roster()
        .peers()
        .len();
    assert_eq!(known, network.nodes.len() - 1);
}

/// Counts the heartbeats that announce the long period.
fn far_heartbeats<'a>(messages: impl Iterator<Item = &'a Message>) -> usize {
    let is_far = |message: &&Message| match message {
        Message::Beat(heartbeat) => heartbeat.period == FAR_PERIOD,
        _ => false,
    };
    messages.filter(is_far).count()
}

/// Nodes that come back together read the addresses of all balancers from the platform. Each
/// gets the entries of the fleet from a few of them, not from all.
#[test]
fn fleet_that_comes_back_sends_entries_a_few_times() {
    const CONTACTS: usize = 6;
    let balancers = (1..=20).map(|node| entry(node, u32::from(node % 5), None));
    let agents = (0..40).map(|node| entry(1_000 + node, u32::from(node % 5), Some(SERVICE)));
    let mut network = Network::new(balancers.chain(agents).collect(), 1);
    for node in &mut network.nodes {
        node.set_platform_addresses((1..=20).map(addr).collect());
    }
    network.run_until(SETTLED);
    let all = network.nodes.len();
    assert_eq!(believers(&network, 1), all - 1);
    let entries = network.between_domains.iter().map(|message| match message {
        Message::Roster(entries) => entries.len(),
        _ => 0,
    });
    let entries: usize = entries.sum();
    assert!(entries <= CONTACTS * all * all, "{entries} entries");
}

/// A node of a version without digests keeps the nodes of other domains, since each sends
/// it a heartbeat within the period that its last one announced.
#[test]
fn heartbeats_reach_a_node_without_digests_within_the_announced_period() {
    let old = entry(9, 2, None);
    let heartbeat = Message::Beat(Heartbeat {
        entry: old.clone(),
        period: roster::HEARTBEAT_PERIOD,
        config: 0,
        evacuations: cassiacross::evacuation::Evacuations::default(),
    });
    let mut sync = peer_sync::PeerSync::new(entry(1, 1, None), Vec::new(), 1, Millis(0));
    let mut sent = Vec::new();
    let mut now = Millis(0);
    while now < FAR_PERIOD + node_network::TICK {
        now = now + node_network::TICK;
        sync.receive(old.control, heartbeat.clone(), now);
        sync.tick(now);
        sent.extend(sync.outgoing().map(|(_, message)| message));
    }
    assert!(far_heartbeats(sent.iter()) >= 2, "{sent:?}");
}

/// Heartbeats between domains would grow with the square of the fleet.
#[test]
fn quiet_fleet_sends_no_heartbeats_between_domains() {
    let mut network = fleet(3, 2, 3, 1);
    network.between_domains.clear();
    network.run_until(SETTLED + FAR_PERIOD + FAR_PERIOD);
    assert_eq!(far_heartbeats(network.between_domains.iter()), 0);
    assert_eq!(believers(&network, 1), network.nodes.len() - 1);
}

#[test]
fn domain_without_balancers_stays_alive_elsewhere() {
    let mut network = fleet(3, 2, 4, 1);
    let lost: Vec<_> = (1..=2).map(addr).collect();
    network.partitioned.extend(lost);
    let live = network.nodes.len() - 3;
    while network.now < SETTLED + Millis(10_000) {
        network.step();
        for agent in FIRST_AGENT..FIRST_AGENT + 4 {
            let believers = believers(&network, agent);
            assert!(believers >= live, "{believers} at {:?}", network.now);
        }
    }
}

#[test]
fn separated_domain_is_known_again_after_the_cut() {
    let mut network = fleet(3, 2, 4, 1);
    let all = network.nodes.len() - 1;
    network.cut_domain = Some(DomainId(2));
    network.run_until(SETTLED + Millis(5_000));
    assert!(believers(&network, FIRST_AGENT + 4) < all);
    network.cut_domain = None;
    network.run_until(SETTLED + Millis(7_000));
    for node in (1..=6).chain(FIRST_AGENT..FIRST_AGENT + 12) {
        assert_eq!(believers(&network, node), all, "node {node}");
    }
}

#[test]
fn lost_change_is_found_by_the_next_digest() {
    let mut network = fleet(3, 2, 4, 1);
    let (changed, other) = (
        position(&network, FIRST_AGENT),
        position(&network, FIRST_AGENT + 5),
    );
    network.nodes[changed].update_self(|me| {
        if let Some(upstream) = &mut me.upstream {
            upstream.step = 50;
        }
    });
    let messages: Vec<_> = network.nodes[changed].outgoing().collect();
    assert!(
        messages
            .iter()
            .any(|(_, message)| matches!(message, Message::Beat(_)))
    );
    network.run_until(SETTLED + Millis(1_500));
    let entry = &network.nodes[other]
        .roster()
        .find(NodeId(FIRST_AGENT.into()));
    let step = entry
        .and_then(|peer| peer.entry.upstream)
        .map(|upstream| upstream.step);
    assert_eq!(step, Some(50));
}

#[test]
fn newer_version_is_learned_from_a_digest() {
    let mut network = fleet(2, 2, 2, 1);
    let source = position(&network, 1);
    network.nodes[source].apply_config(cassiacross::routing::Config {
        version: 9,
        routes: Vec::new(),
        limits: Vec::new(),
    });
    network.run_until(SETTLED + Millis(2_000));
    let versions: Vec<_> = network
        .nodes
        .iter()
        .map(peer_sync::PeerSync::config_version)
        .collect();
    assert_eq!(versions, vec![9; network.nodes.len()]);
}

/// One message in twenty is lost, over 24 seeds.
#[test]
fn loss_makes_no_live_node_silent() {
    for seed in 0..24 {
        let mut network = fleet(3, 3, 4, seed);
        network.loss = 0.05;
        while network.now < SETTLED + Millis(10_000) {
            network.step();
            assert_eq!(
                silent_elsewhere(&network),
                [],
                "seed {seed} at {:?}",
                network.now
            );
        }
    }
}

/// Returns the nodes that are silent at a node of another domain.
fn silent_elsewhere(network: &Network) -> Vec<NodeId> {
    let rosters = network.nodes.iter().map(peer_sync::PeerSync::roster);
    let silent = rosters.flat_map(|roster| {
        let domain = roster.me().domain;
        let peers = roster.peers().iter();
        peers.filter(move |peer| peer.silent && peer.entry.domain != domain)
    });
    silent.map(|peer| peer.entry.node).collect()
}
