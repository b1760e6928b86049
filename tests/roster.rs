//! Who is there, by what nodes state of themselves.

use std::net::{Ipv4Addr, SocketAddrV4};

use cassiacross::{
    chains,
    clock::Millis,
    ident::{DomainId, Incarnation, NodeId, ServiceId},
    member, roster,
};
use yare::parameterized;

const SERVICE: ServiceId = ServiceId(7);
const PERIOD: Millis = roster::PERIOD;

fn entry(node: u16, domain: u32) -> roster::Entry {
    let addr = SocketAddrV4::new(Ipv4Addr::LOCALHOST, node);
    roster::Entry {
        node: NodeId(u64::from(node)),
        incarnation: Incarnation(10),
        change: 0,
        domain: DomainId(domain),
        control: addr,
        leaving: false,
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
    let entries = roster.ready(SERVICE);
    entries.iter().map(|entry| entry.node.0).collect()
}

/// Runs until `end` while only `alive` state themselves.
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
fn silent_agent_is_left_out() {
    let mut roster = roster_of(&[2, 3, 4]);
    run(&mut roster, &[2, 3], Millis(2_000));
    assert_eq!(ready(&roster), [1, 2, 3]);
}

#[test]
fn agents_stay_where_most_fall_silent() {
    let mut roster = roster_of(&[2, 3, 4]);
    run(&mut roster, &[2], Millis(2_000));
    assert_eq!(ready(&roster), [1, 2, 3, 4]);
    assert!(!roster.is_gone(NodeId(3), Millis(2_000)));
}

#[test]
fn process_that_stood_still_takes_nobody_for_silent() {
    let mut roster = roster_of(&[2, 3]);
    run(&mut roster, &[2, 3], Millis(1_000));
    roster.tick(Millis(9_000));
    assert_eq!(ready(&roster), [1, 2, 3]);
}

#[test]
fn silent_agent_is_back_with_its_next_statement() {
    let mut roster = roster_of(&[2, 3, 4]);
    run(&mut roster, &[2, 3], Millis(2_000));
    let merge = roster.merge(&entry(4, 1), PERIOD, true, Millis(2_100));
    assert_eq!(merge, roster::Merge::New);
    assert_eq!(ready(&roster), [1, 2, 3, 4]);
}

#[parameterized(
    older_run = { 9, 5, roster::Merge::Old },
    older_change = { 10, 0, roster::Merge::Old },
    same = { 10, 1, roster::Merge::Same },
    newer_change = { 10, 2, roster::Merge::Changed },
    newer_run = { 11, 0, roster::Merge::New },
)]
fn statement_replaces_only_older_ones(incarnation: u64, change: u32, merge: roster::Merge) {
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
fn what_others_say_of_a_node_does_not_keep_it_alive() {
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
fn run_is_numbered_after_one_that_a_clock_ahead_had_numbered() {
    let mut roster = roster_of(&[]);
    let before = roster::Entry {
        incarnation: Incarnation(900_000),
        ..entry(1, 1)
    };
    roster.merge(&before, PERIOD, false, Millis(0));
    assert!(roster.me().incarnation > Incarnation(900_000));
}

#[test]
fn node_that_hears_nobody_is_isolated() {
    let mut roster = roster_of(&[2, 3]);
    run(&mut roster, &[2, 3], Millis(1_000));
    assert!(!roster.is_isolated(Millis(1_300)));
    assert!(roster.is_isolated(Millis(1_700)));
}

#[test]
fn node_that_knows_nobody_is_not_isolated() {
    assert!(!roster_of(&[]).is_isolated(Millis(10_000)));
}

#[test]
fn period_grows_with_the_nodes_known() {
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
                chain.next().is_some_and(|stop| stop.hop.node == NodeId(1))
            })
            .count()
    };
    let (near, far) = (first(1), first(2));
    assert!(near > 2 * far, "{near} {far}");
}

fn table_buckets() -> u64 {
    u64::try_from(cassiacross::table::BUCKETS).unwrap()
}

#[test]
fn chain_of_a_service_without_ready_agents_has_them_all() {
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
