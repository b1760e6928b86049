//! Membership tables: merging of entries, liveness, tombstones and watcher selection.

mod common;

use cassiacross::{
    clock, ident, member,
    membership::{self, Liveness, Merge},
};
use common::{at, balancer, node, report, tables};
use yare::parameterized;

/// Returns the tables of balancer 0, which has usable liveness reports of balancers 1 and 2.
fn three_balancers() -> membership::Tables {
    let mut tables = tables(0);
    for index in [1, 2] {
        tables.merge_balancer(&balancer(index), at(0));
        tables.merge_report(&report(index, 1, &[]), at(0));
        tables.merge_report(&report(index, 2, &[]), at(0));
    }
    tables
}

fn watched_by(name: &str, indexes: &[u16]) -> member::Member {
    let watchers: Vec<_> = indexes.iter().map(|index| balancer(*index).node).collect();
    common::member(name, &watchers)
}

fn liveness(tables: &membership::Tables, name: &str) -> Liveness {
    tables.member(node(name)).expect("agent is known").liveness
}

fn active_names(tables: &membership::Tables) -> Vec<&str> {
    let mut names: Vec<_> = tables
        .active_members(common::SERVICE)
        .map(|member| member.name.as_str())
        .collect();
    names.sort_unstable();
    names
}

#[parameterized(
    same = { 5, 1, member::State::Ready, Merge::Stale },
    later_change = { 5, 2, member::State::Ready, Merge::Applied },
    older_incarnation = { 4, 9, member::State::Ready, Merge::Stale },
    later_incarnation = { 6, 0, member::State::Starting, Merge::Applied },
    draining = { 5, 2, member::State::Draining, Merge::Applied },
)]
fn entry_replacement(incarnation: u64, change: u32, state: member::State, expected: Merge) {
    let mut tables = three_balancers();
    let mut member = watched_by("a", &[1]);
    tables.merge_member(&member, at(0));
    member.incarnation = ident::Incarnation(incarnation);
    member.change = change;
    member.state = state;
    assert_eq!(tables.merge_member(&member, at(0)), expected);
}

#[parameterized(
    same_incarnation = { 5, Merge::Stale, member::State::Draining },
    next_incarnation = { 6, Merge::Applied, member::State::Ready },
)]
fn ready_after_draining(incarnation: u64, expected: Merge, state: member::State) {
    let mut tables = three_balancers();
    let mut member = watched_by("a", &[1]);
    member.state = member::State::Draining;
    tables.merge_member(&member, at(0));
    member.state = member::State::Ready;
    member.change = 9;
    member.incarnation = ident::Incarnation(incarnation);
    assert_eq!(tables.merge_member(&member, at(0)), expected);
    assert_eq!(tables.members()[0].member.state, state);
}

#[parameterized(
    all_alive = { &[], &[], Liveness::Alive },
    one_reports_alive = { &["a"], &[], Liveness::Alive },
    none_reports_alive = { &["a"], &["a"], Liveness::Dead },
)]
fn liveness_by_reports(first: &[&str], second: &[&str], expected: Liveness) {
    let mut tables = three_balancers();
    tables.merge_member(&watched_by("a", &[1, 2]), at(0));
    tables.merge_report(&report(1, 3, first), at(1));
    tables.merge_report(&report(2, 3, second), at(1));
    tables.tick(at(1));
    assert_eq!(liveness(&tables, "a"), expected);
}

#[parameterized(
    unknown_watcher = { 9, true },
    not_vouching = { 1, false },
)]
fn agent_of_unknown_liveness_stays_active(watcher: u16, vouching: bool) {
    let mut tables = three_balancers();
    tables.merge_member(&watched_by("a", &[watcher]), at(0));
    let mut report = report(1, 3, &[]);
    report.vouching = vouching;
    tables.merge_report(&report, at(1));
    tables.tick(at(1));
    assert_eq!(liveness(&tables, "a"), Liveness::Unknown);
    assert_eq!(active_names(&tables), ["a"]);
}

/// A balancer that was paused may send its last report once more. That report must not
/// keep its agents alive after the report timeout.
#[test]
fn repeated_report_of_a_paused_balancer_is_ignored() {
    let mut tables = three_balancers();
    tables.merge_member(&watched_by("a", &[1, 2]), at(0));
    tables.tick(at(0));
    assert_eq!(liveness(&tables, "a"), Liveness::Alive);
    let later = tables.timing().report_timeout + at(1);
    assert_eq!(tables.merge_report(&report(1, 2, &[]), later), Merge::Stale);
    tables.merge_report(&report(2, 3, &["a"]), later);
    tables.tick(later);
    assert_eq!(liveness(&tables, "a"), Liveness::Dead);
}

/// The first report seen of a balancer may be old and only repeated by gossip, so a death
/// in it must not count before a second report arrives.
#[test]
fn first_report_of_a_balancer_is_not_used() {
    let mut tables = tables(0);
    tables.merge_balancer(&balancer(1), at(0));
    tables.merge_member(&watched_by("a", &[1]), at(0));
    tables.merge_report(&report(1, 7, &["a"]), at(0));
    tables.tick(at(0));
    assert_eq!(liveness(&tables, "a"), Liveness::Unknown);
    tables.merge_report(&report(1, 8, &["a"]), at(1));
    tables.tick(at(1));
    assert_eq!(liveness(&tables, "a"), Liveness::Dead);
}

#[parameterized(
    of_unknown_balancer = { report(9, 1, &[]) },
    of_older_incarnation = { membership::LivenessReport { incarnation: ident::Incarnation(0), ..report(1, 9, &[]) } },
)]
fn rejected_report(report: membership::LivenessReport) {
    assert_eq!(
        three_balancers().merge_report(&report, at(1)),
        Merge::Rejected
    );
}

/// A restarted balancer has no heartbeats yet. If it reported at once, all its agents would
/// seem dead.
#[test]
fn restarted_balancer_vouches_only_after_the_heartbeat_timeout() {
    let mut tables = tables(0);
    tables.merge_member(&watched_by("a", &[0]), at(0));
    tables.merge_member(&watched_by("b", &[0]), at(0));
    let timeout = tables.timing().heartbeat_timeout;
    for step in 0..10 {
        tables.tick(at(step));
        assert!(!tables.report().vouching, "vouches before the first sync");
    }
    tables.mark_synced(at(10));
    let mut now = at(10);
    while now.since(at(10)) <= timeout {
        tables.tick(now);
        assert!(
            !tables.report().vouching,
            "vouches before the heartbeat timeout has passed"
        );
        tables.record_heartbeat(&watched_by("b", &[0]), now.0, now);
        now = now + at(1);
    }
    tables.tick(now);
    assert!(tables.report().vouching);
    assert_eq!(tables.report().except, [node("a")]);
    assert_eq!(liveness(&tables, "b"), Liveness::Alive);
}

/// A balancer that was paused has missed heartbeats itself and must not report its agents
/// as missing.
#[test]
fn paused_balancer_stops_vouching() {
    let mut tables = tables(0);
    tables.mark_synced(at(0));
    for step in 0..6 {
        tables.record_heartbeat(&watched_by("a", &[0]), step + 1, at(step));
        tables.tick(at(step));
    }
    assert!(tables.report().vouching);
    tables.tick(at(60));
    assert!(
        !tables.report().vouching,
        "vouches right after a pause in which it missed heartbeats"
    );
    assert_eq!(liveness(&tables, "a"), Liveness::Alive);
}

#[parameterized(
    next = { 2, true },
    repeated = { 1, false },
    earlier = { 0, false },
)]
fn heartbeat_sequence(seq: u64, accepted: bool) {
    let mut tables = tables(0);
    let member = watched_by("a", &[0]);
    tables.record_heartbeat(&member, 1, at(0));
    assert_eq!(
        tables.record_heartbeat(&member, seq, at(1)).is_some(),
        accepted
    );
}

#[test]
fn heartbeat_of_an_older_incarnation_is_rejected() {
    let mut tables = tables(0);
    let mut member = watched_by("a", &[0]);
    tables.record_heartbeat(&member, 1, at(0));
    member.incarnation = ident::Incarnation(4);
    assert_eq!(
        tables.record_heartbeat(&member, 99, at(1)),
        Some(Merge::Rejected)
    );
    let newest = tables
        .latest_entry(member.node)
        .map(|entry| entry.incarnation);
    assert_eq!(newest, Some(ident::Incarnation(5)));
    assert_eq!(tables.members()[0].heartbeat.map(|beat| beat.seq), Some(1));
}

#[parameterized(
    one_of_four = { &["a"], &["b", "c", "d"] },
    half = { &["a", "b"], &["c", "d"] },
    more_than_half = { &["a", "b", "c"], &["a", "b", "c", "d"] },
    all = { &["a", "b", "c", "d"], &["a", "b", "c", "d"] },
)]
fn mass_failure(lost: &[&str], expected: &[&str]) {
    let mut tables = three_balancers();
    for name in ["a", "b", "c", "d"] {
        tables.merge_member(&watched_by(name, &[1]), at(0));
    }
    tables.tick(at(0));
    tables.merge_report(&report(1, 3, lost), at(1));
    tables.tick(at(1));
    assert_eq!(active_names(&tables), expected);
}

/// Agents that die one by one, outside the loss window, must not be held active.
#[test]
fn deaths_far_apart_are_not_a_mass_failure() {
    let mut tables = three_balancers();
    for name in ["a", "b", "c", "d"] {
        tables.merge_member(&watched_by(name, &[1]), at(0));
    }
    let window = tables.timing().loss_window;
    let mut now = at(0);
    let mut seq = 3;
    for dead in [&["a"][..], &["a", "b"], &["a", "b", "c"]] {
        let until = now + window + at(1);
        while now < until {
            now = now + at(1);
            tables.merge_report(&report(1, seq, dead), now);
            tables.tick(now);
            seq += 1;
        }
        assert_eq!(active_names(&tables).len(), 4 - dead.len());
    }
}

/// Runs balancer 0 while balancer 1 reports the agents `dead` as missing.
fn run_with_dead(
    tables: &mut membership::Tables,
    from: clock::Millis,
    until: clock::Millis,
    dead: &[&str],
) {
    let mut now = from;
    while now < until {
        now = now + at(1);
        tables.merge_report(&report(1, now.0, dead), now);
        tables.tick(now);
    }
}

#[parameterized(
    same_entry = { 5, 1, Merge::Rejected },
    older_incarnation = { 4, 9, Merge::Rejected },
    later_change = { 5, 2, Merge::Applied },
    later_incarnation = { 6, 0, Merge::Applied },
)]
fn entry_of_an_evicted_agent(incarnation: u64, change: u32, expected: Merge) {
    let mut tables = three_balancers();
    tables.mark_synced(at(0));
    let mut member = watched_by("a", &[0, 1]);
    tables.merge_member(&member, at(0));
    let evicted = tables.timing().eviction_timeout + at(10);
    run_with_dead(&mut tables, at(0), evicted, &["a"]);
    assert!(
        tables.members().is_empty(),
        "the dead agent is still in the table"
    );
    assert!(
        tables.report().except.contains(&node("a")),
        "an evicted agent must stay reported as missing, because peers may still have it"
    );
    member.incarnation = ident::Incarnation(incarnation);
    member.change = change;
    assert_eq!(tables.merge_member(&member, evicted), expected);
    let expired = evicted + tables.timing().tombstone_ttl + at(1);
    run_with_dead(&mut tables, evicted, expired, &["a"]);
    assert_eq!(
        tables.tombstone(node("a")).is_some(),
        expected == Merge::Applied
    );
}

#[parameterized(
    alive = { &[], Merge::Rejected, 1 },
    dead = { &["a"], Merge::Applied, 0 },
)]
fn tombstone_of_a_peer(dead: &[&str], expected: Merge, left: usize) {
    let mut tables = three_balancers();
    tables.merge_member(&watched_by("a", &[1]), at(0));
    run_with_dead(&mut tables, at(0), at(3), dead);
    let tombstone = membership::Tombstone {
        node: node("a"),
        incarnation: ident::Incarnation(5),
        change: 1,
    };
    assert_eq!(tables.merge_tombstone(&tombstone, at(3)), expected);
    assert_eq!(tables.members().len(), left);
}

/// After a step back of the wall clock, an earlier process of this balancer may have a
/// greater incarnation; the balancer must raise its own above it.
#[test]
fn own_incarnation_rises_above_that_of_an_earlier_process() {
    let mut tables = tables(0);
    let mut earlier = balancer(0);
    earlier.incarnation = ident::Incarnation(50);
    assert_eq!(tables.merge_balancer(&earlier, at(0)), Merge::Applied);
    assert_eq!(tables.own().incarnation, ident::Incarnation(51));
    assert!(
        tables.tick(at(0)),
        "no new report with the raised incarnation"
    );
    assert_eq!(tables.report().incarnation, ident::Incarnation(51));
}

#[parameterized(
    none = { 0, 0, 0 },
    one = { 1, 1, 1 },
    two_of_two_domains = { 2, 2, 2 },
    three_domains = { 9, 3, 3 },
    one_domain = { 9, 1, 3 },
)]
fn watcher_selection(count: u16, domains: u16, expected: usize) {
    let balancers: Vec<_> = (0..count)
        .map(|index| member::Balancer {
            domain: format!("domain-{}", index % domains.max(1)),
            ..balancer(index)
        })
        .collect();
    for agent in 0..50 {
        let chosen = membership::select_watchers(node(&agent.to_string()), &balancers);
        assert_eq!(chosen.len(), expected);
        let mut seen: Vec<_> = balancers
            .iter()
            .filter(|balancer| chosen.contains(&balancer.node))
            .map(|balancer| &balancer.domain)
            .collect();
        seen.sort_unstable();
        seen.dedup();
        assert_eq!(seen.len(), usize::from(domains).min(expected));
    }
}

#[test]
fn watchers_change_only_if_one_of_them_leaves() {
    let all: Vec<_> = (0..12).map(balancer).collect();
    let mut fewer = all.clone();
    fewer[4].leaving = true;
    for agent in 0..50 {
        let agent = node(&agent.to_string());
        let before = membership::select_watchers(agent, &all);
        let after = membership::select_watchers(agent, &fewer);
        assert!(!after.contains(&all[4].node));
        if !before.contains(&all[4].node) {
            assert_eq!(before, after);
        }
    }
}
