//! An agent's views of its own service and of successors at former addresses.

mod common;

use cassiacross::{exchange, member, views};
use yare::parameterized;

fn view(version: u64, port: u16, members: &[&str]) -> exchange::View {
    let mut members: Vec<_> = members
        .iter()
        .map(|name| common::member(name, &[]))
        .collect();
    members.sort_by_key(|member| member.node);
    exchange::View {
        service: common::service(common::SERVICE, port, version).service,
        version,
        members,
        balancers: vec![common::balancer(1)],
        digest: version,
    }
}

fn with_views(views: &[exchange::View]) -> views::Views {
    let mut agent_views = views::Views::default();
    for view in views {
        agent_views.apply_view(view.clone());
    }
    agent_views
}

#[parameterized(
    newer = { &[view(1, 80, &[]), view(2, 81, &[])], 81 },
    older = { &[view(2, 81, &[]), view(1, 80, &[])], 81 },
    balancer_without_records = { &[view(2, 81, &[]), exchange::View::default()], 81 },
)]
fn record_version_never_decreases(views: &[exchange::View], port: u16) {
    let agent_views = with_views(views);
    assert_eq!(
        (agent_views.version(), agent_views.address()),
        (2, Some(common::service_addr(port)))
    );
}

#[test]
fn deletion_removes_the_address() {
    let deleted = exchange::View {
        service: None,
        ..view(2, 80, &[])
    };
    let agent_views = with_views(&[view(1, 80, &[]), deleted]);
    assert_eq!((agent_views.version(), agent_views.address()), (2, None));
}

#[test]
fn older_entry_does_not_replace_a_newer_one() {
    let mut draining = view(1, 80, &["agent-1"]);
    draining.members[0].change += 1;
    draining.members[0].state = member::State::Draining;
    let agent_views = with_views(&[draining.clone(), view(1, 80, &["agent-1"])]);
    assert_eq!(agent_views.members(), draining.members);
}

#[test]
fn view_without_balancers_keeps_the_known_ones() {
    let without_balancers = exchange::View {
        balancers: Vec::new(),
        ..view(2, 80, &[])
    };
    assert_eq!(
        with_views(&[view(1, 80, &[]), without_balancers])
            .balancers()
            .len(),
        1
    );
}

#[parameterized(
    own = { 80, true },
    former = { 70, true },
    unknown = { 60, false },
    successor = { 50, true },
)]
fn table_for_an_address(port: u16, expected: bool) {
    let mut own = view(1, 80, &["agent-1", "agent-2"]);
    if let Some(service) = &mut own.service {
        service.former = vec![common::service_addr(70)];
    }
    let mut agent_views = with_views(&[own]);
    agent_views.rebuild(&common::member("agent-1", &[]));
    agent_views.set_successor(common::service_addr(50), &view(3, 50, &["agent-3"]));
    let table = agent_views.table(common::service_addr(port));
    assert_eq!(
        table.is_some_and(|table| !table.candidates().is_empty()),
        expected
    );
}

#[test]
fn own_entry_replaces_the_pulled_one() {
    let mut agent_views = with_views(&[view(1, 80, &["agent-1", "agent-2"])]);
    let mut me = common::member("agent-1", &[]);
    me.state = member::State::Draining;
    agent_views.rebuild(&me);
    let table = agent_views
        .table(common::service_addr(80))
        .expect("the address has no table");
    let nodes: Vec<_> = table.candidates().iter().map(|one| one.hop.node).collect();
    assert_eq!(nodes, [common::node("agent-2")]);
}
