//! Membership table and liveness of pass-through nodes, and the candidate chains built
//! from it.

use std::net::{Ipv4Addr, SocketAddrV4};

use cassiacross::{
    chains,
    clock::Millis,
    ident::{DomainId, Incarnation, NodeId, ServiceId},
    member, roster,
};
use yare::parameterized;

const SERVICE: ServiceId = ServiceId(7);
const PERIOD: Millis = roster::HEARTBEAT_PERIOD;

fn entry(node: u16, domain: u32) -> roster::Entry {
    let addr = SocketAddrV4::new(Ipv4Addr::LOCALHOST, node);
    roster::Entry {
        node: NodeId(u64::from(node)),
        incarnation: Incarnation(10),
        change: 0,
        domain: DomainId(domain),
        control: addr,
        leaving: false,
        deaf: false,
        upstream: Some(roster::Upstream {
            service: SERVICE,
            packets: addr,
            state: Some(member::State::Ready),
            step: 40,
        }),
    }
}

fn roster_of(others: &[u16]) -> roster::Roster {
    let mut roster = roster::Roster::new(entry(1, 1), Millis(0));
    for other in others {
        roster.merge(&entry(*other, 1), PERIOD, true, Millis(0));
    }
    roster
}

fn ready(roster: &roster::Roster) -> Vec<u64> {
    let entries = roster.ready_agents(SERVICE);
    entries.iter().map(|entry| entry.node.0).collect()
}

/// Runs until `end` while only the nodes in `alive` send heartbeats.
fn run(roster: &mut roster::Roster, alive: &[u16], end: Millis) {
    let mut now = Millis(0);
    while now < end {
        now = now + Millis(100);
        for node in alive {
            roster.merge(&entry(*node, 1), PERIOD, true, now);
        }
        roster.tick(now);
    }
}

#[test]
fn silent_agent_is_not_ready() {
    let mut roster = roster_of(&[2, 3, 4]);
    run(&mut roster, &[2, 3], Millis(2_000));
    assert_eq!(ready(&roster), [1, 2, 3]);
}

#[test]
fn agents_stay_ready_when_most_are_silent() {
    let mut roster = roster_of(&[2, 3, 4]);
    run(&mut roster, &[2], Millis(2_000));
    assert_eq!(ready(&roster), [1, 2, 3, 4]);
    assert!(!roster.is_gone(NodeId(3), Millis(2_000)));
}

#[test]
fn suspended_process_marks_no_node_silent() {
    let mut roster = roster_of(&[2, 3]);
    run(&mut roster, &[2, 3], Millis(1_000));
    roster.tick(Millis(9_000));
    assert_eq!(ready(&roster), [1, 2, 3]);
}

#[test]
fn heartbeat_restores_a_silent_agent() {
    let mut roster = roster_of(&[2, 3, 4]);
    run(&mut roster, &[2, 3], Millis(2_000));
    let merge = roster.merge(&entry(4, 1), PERIOD, true, Millis(2_100));
    assert_eq!(merge, roster::Merge::New);
    assert_eq!(ready(&roster), [1, 2, 3, 4]);
}

#[parameterized(
    older_run = { 9, 5, roster::Merge::Superseded },
    older_change = { 10, 0, roster::Merge::Old },
    same = { 10, 1, roster::Merge::Same },
    newer_change = { 10, 2, roster::Merge::Changed },
    newer_run = { 11, 0, roster::Merge::New },
)]
fn entry_replaces_only_older_entries(incarnation: u64, change: u32, merge: roster::Merge) {
    let mut roster = roster_of(&[]);
    let known = roster::Entry {
        change: 1,
        ..entry(2, 1)
    };
    roster.merge(&known, PERIOD, true, Millis(0));
    let next = roster::Entry {
        incarnation: Incarnation(incarnation),
        change,
        ..entry(2, 1)
    };
    assert_eq!(roster.merge(&next, PERIOD, true, Millis(1)), merge);
}

#[test]
fn indirect_entries_do_not_keep_a_node_alive() {
    let mut roster = roster_of(&[2, 3, 4]);
    let mut now = Millis(0);
    while now < Millis(2_000) {
        now = now + Millis(100);
        roster.merge(&entry(2, 1), PERIOD, true, now);
        roster.merge(&entry(3, 1), PERIOD, true, now);
        roster.merge(&entry(4, 1), PERIOD, false, now);
        roster.tick(now);
    }
    assert_eq!(ready(&roster), [1, 2, 3]);
}

#[test]
fn restart_after_a_clock_setback_takes_a_later_incarnation() {
    let mut roster = roster_of(&[]);
    let before = roster::Entry {
        incarnation: Incarnation(900_000),
        ..entry(1, 1)
    };
    roster.merge(&before, PERIOD, false, Millis(0));
    assert!(roster.me().incarnation > Incarnation(900_000));
}

#[test]
fn node_without_heartbeats_is_isolated() {
    let mut roster = roster_of(&[2, 3]);
    run(&mut roster, &[2, 3], Millis(1_000));
    assert!(!roster.is_isolated(Millis(1_300)));
    assert!(roster.is_isolated(Millis(1_700)));
}

#[test]
fn node_without_known_peers_is_not_isolated() {
    assert!(!roster_of(&[]).is_isolated(Millis(10_000)));
}

#[test]
fn period_grows_with_the_number_of_nodes() {
    assert_eq!(roster_of(&[2]).period(), PERIOD);
    let many: Vec<u16> = (2..302).collect();
    assert_eq!(roster_of(&many).period(), Millis(1_200));
}

#[test]
fn chain_prefers_the_domain_of_arrival() {
    let mut roster = roster::Roster::new(entry(1, 1), Millis(0));
    for node in 2..8 {
        roster.merge(&entry(node, 2), PERIOD, true, Millis(0));
    }
    let mut chains = chains::Chains::new(SERVICE, &roster);
    let mut first = |origin: u32| {
        (0..table_buckets())
            .filter(|hash| {
                let mut chain = chains.chain(DomainId(origin), *hash);
                chain
                    .next()
                    .is_some_and(|candidate| candidate.hop.node == NodeId(1))
            })
            .count()
    };
    let (near, far) = (first(1), first(2));
    assert!(
        near > 2 * far,
        "first in {near} chains of its domain and {far} of another"
    );
}

fn table_buckets() -> u64 {
    u64::try_from(cassiacross::rendezvous::BUCKETS).unwrap()
}

#[test]
fn chain_without_ready_agents_contains_all_agents() {
    let draining = |node| {
        let mut entry = entry(node, 1);
        if let Some(upstream) = &mut entry.upstream {
            upstream.state = Some(member::State::Draining);
        }
        entry
    };
    let mut roster = roster::Roster::new(draining(1), Millis(0));
    roster.merge(&draining(2), PERIOD, true, Millis(0));
    let mut chains = chains::Chains::new(SERVICE, &roster);
    assert_eq!(chains.chain(DomainId(1), 5).count(), 2);
}

/// Creates the entry of a balancer that can reach the platform unless it is `deaf`.
fn balancer(node: u16, domain: u32, deaf: bool) -> roster::Entry {
    roster::Entry {
        upstream: None,
        deaf,
        ..entry(node, domain)
    }
}

/// Returns which of the balancers 1 to 9 in three domains watch the platform.
fn watchers(is_deaf: fn(u16) -> bool, is_silent: fn(u16) -> bool) -> Vec<u16> {
    let domain = |node: u16| u32::from(node % 3);
    let is_watcher = |own: &u16| {
        let me = balancer(*own, domain(*own), is_deaf(*own));
        let mut roster = roster::Roster::new(me, Millis(0));
        for now in (0..3_000).step_by(100).map(Millis) {
            for other in (1..10).filter(|other| other != own) {
                if now == Millis(0) || !is_silent(other) {
                    let other = balancer(other, domain(other), is_deaf(other));
                    roster.merge(&other, PERIOD, true, now);
                }
            }
            roster.tick(now);
        }
        roster.is_watcher()
    };
    (1..10)
        .filter(|own| !is_silent(*own))
        .filter(is_watcher)
        .collect()
}

fn no_node(_: u16) -> bool {
    false
}

#[test]
fn two_balancers_per_domain_watch_the_platform() {
    let watchers = watchers(no_node, no_node);
    for domain in 0..3 {
        let in_domain = watchers.iter().filter(|node| **node % 3 == domain);
        assert_eq!(in_domain.count(), 2, "{watchers:?}");
    }
}

#[test]
fn two_balancers_per_domain_keep_watching_an_unreachable_platform() {
    let watchers = watchers(|_| true, no_node);
    for domain in 0..3 {
        let in_domain = watchers.iter().filter(|node| **node % 3 == domain);
        assert_eq!(in_domain.count(), 2, "{watchers:?}");
    }
}

#[parameterized(
    disconnected = { |node| node < 7, no_node },
    silent = { no_node, |node| node < 7 },
)]
fn silent_or_disconnected_watchers_are_replaced(
    is_deaf: fn(u16) -> bool,
    is_silent: fn(u16) -> bool,
) {
    let watchers = watchers(is_deaf, is_silent);
    for connected in 7..10 {
        assert!(watchers.contains(&connected), "{watchers:?}");
    }
}

#[parameterized(
    none = { &[], &[], true },
    agents = { &[2], &[], false },
    balancers = { &[], &[3], false },
)]
fn balancer_lacks_contacts_without_any_node(agents: &[u16], balancers: &[u16], expected: bool) {
    let mut roster = roster::Roster::new(balancer(1, 1, false), Millis(0));
    for agent in agents {
        roster.merge(&entry(*agent, 1), PERIOD, true, Millis(0));
    }
    for other in balancers {
        roster.merge(&balancer(*other, 1, false), PERIOD, true, Millis(0));
    }
    assert_eq!(roster.lacks_contacts(), expected);
}

#[test]
fn agent_lacks_contacts_without_balancers() {
    let mut roster = roster_of(&[2, 3]);
    assert!(roster.lacks_contacts());
    roster.merge(&balancer(4, 1, false), PERIOD, true, Millis(0));
    assert!(!roster.lacks_contacts());
}

#[test]
fn platform_is_reachable_through_another_balancer() {
    let mut roster = roster::Roster::new(balancer(1, 1, true), Millis(0));
    assert!(!roster.is_platform_reachable());
    roster.merge(&balancer(2, 1, true), PERIOD, true, Millis(0));
    assert!(!roster.is_platform_reachable());
    roster.merge(&balancer(3, 2, false), PERIOD, true, Millis(0));
    assert!(roster.is_platform_reachable());
}
