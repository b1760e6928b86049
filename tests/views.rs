//! What an agent knows of its service.

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

fn taken(views: &[exchange::View]) -> views::Views {
    let mut known = views::Views::default();
    for view in views {
        known.apply_view(view.clone());
    }
    known
}

#[parameterized(
    newer = { &[view(1, 80, &[]), view(2, 81, &[])], 81 },
    older = { &[view(2, 81, &[]), view(1, 80, &[])], 81 },
    balancer_without_records = { &[view(2, 81, &[]), exchange::View::default()], 81 },
)]
fn record_never_goes_back(views: &[exchange::View], port: u16) {
    let known = taken(views);
    assert_eq!(
        (known.version(), known.address()),
        (2, Some(common::address(port)))
    );
}

#[test]
fn deletion_takes_the_address_away() {
    let deleted = exchange::View {
        service: None,
        ..view(2, 80, &[])
    };
    let known = taken(&[view(1, 80, &[]), deleted]);
    assert_eq!((known.version(), known.address()), (2, None));
}

#[test]
fn newer_entry_of_a_member_stays() {
    let mut draining = view(1, 80, &["agent-1"]);
    draining.members[0].change += 1;
    draining.members[0].state = member::State::Draining;
    let known = taken(&[draining.clone(), view(1, 80, &["agent-1"])]);
    assert_eq!(known.members(), draining.members);
}

#[test]
fn balancers_stay_where_a_view_has_none() {
    let lone = exchange::View {
        balancers: Vec::new(),
        ..view(2, 80, &[])
    };
    assert_eq!(taken(&[view(1, 80, &[]), lone]).balancers().len(), 1);
}

#[parameterized(
    own = { 80, true },
    former = { 70, true },
    unknown = { 60, false },
    successor = { 50, true },
)]
fn table_of_an_address(port: u16, expected: bool) {
    let mut own = view(1, 80, &["agent-1", "agent-2"]);
    if let Some(service) = &mut own.service {
        service.former = vec![common::address(70)];
    }
    let mut known = taken(&[own]);
    known.rebuild(&common::member("agent-1", &[]));
    known.set_successor(common::address(50), &view(3, 50, &["agent-3"]));
    let table = known.table(common::address(port));
    assert_eq!(
        table.is_some_and(|table| !table.candidates().is_empty()),
        expected
    );
}

#[test]
fn own_entry_replaces_the_pulled_one() {
    let mut known = taken(&[view(1, 80, &["agent-1", "agent-2"])]);
    let mut me = common::member("agent-1", &[]);
    me.state = member::State::Draining;
    known.rebuild(&me);
    let table = known
        .table(common::address(80))
        .expect("the address is known");
    let nodes: Vec<_> = table.candidates().iter().map(|one| one.hop.node).collect();
    assert_eq!(nodes, [common::node("agent-2")]);
}
