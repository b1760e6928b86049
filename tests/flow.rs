//! An agent's decisions on packets, by its flow table.

use std::net::{Ipv4Addr, SocketAddrV4};

use cassiacross::{
    clock::Millis,
    flow::{self, Action, Reason},
    header, ident, packet,
};
use yare::parameterized;

const SERVICE: ident::ServiceId = ident::ServiceId(7);
const CONVERGENCE: Millis = Millis(3_000);
const ISN: u32 = 1_000;

fn hop(port: u16) -> header::Hop {
    header::Hop {
        node: ident::NodeId(u64::from(port)),
        incarnation: ident::Incarnation(1),
        addr: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
    }
}

fn address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), 80)
}

fn local() -> flow::LocalState {
    flow::LocalState {
        hop: hop(1),
        service: SERVICE,
        address: Some(address()),
        accepts: true,
        room: true,
        convergence: CONVERGENCE,
    }
}

fn header(chain: &[u16]) -> header::Header {
    header::Header {
        version: header::VERSION,
        service: SERVICE,
        target: hop(1),
        chain: chain.iter().map(|port| hop(*port)).collect(),
        fabric: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9),
        forwarded: false,
    }
}

fn opening() -> packet::View {
    packet::View {
        flow: packet::Flow {
            caller: SocketAddrV4::new(Ipv4Addr::new(10, 77, 0, 1), 4_000),
            service: address(),
        },
        opening: true,
        reset: false,
        seq: 5,
        ack: None,
        len: 0,
    }
}

fn data(ack: u32) -> packet::View {
    packet::View {
        opening: false,
        ack: Some(ack),
        len: 10,
        ..opening()
    }
}

fn table_with_owned_flow() -> flow::Table {
    let mut table = flow::Table::default();
    table.accept(opening().flow, Millis(0));
    table.record_isn(&opening().flow, ISN);
    assert_eq!(
        table.decide(&local(), &header(&[2]), &data(ISN + 1), Millis(1)),
        Action::Deliver
    );
    table
}

#[parameterized(
    room = { true, true, &[2, 3], Action::Accept },
    no_room = { true, false, &[2, 3], Action::Pass(hop(2)) },
    no_room_at_end_of_chain = { true, false, &[], Action::Accept },
    draining = { false, true, &[2], Action::Pass(hop(2)) },
    draining_at_end_of_chain = { false, true, &[], Action::Refuse },
)]
fn opening_packet(accepts: bool, room: bool, chain: &[u16], expected: Action) {
    let local = flow::LocalState {
        accepts,
        room,
        ..local()
    };
    let action = flow::Table::default().decide(&local, &header(chain), &opening(), Millis(0));
    assert_eq!(action, expected);
}

#[parameterized(
    other_node = { hop(9), SERVICE, &[2], Action::Pass(hop(2)) },
    other_node_at_end_of_chain = { hop(9), SERVICE, &[], Action::Drop(Reason::Target) },
    other_service = { hop(1), ident::ServiceId(8), &[], Action::Drop(Reason::Target) },
    earlier_incarnation = {
        header::Hop { incarnation: ident::Incarnation(0), ..hop(1) }, SERVICE, &[],
        Action::Drop(Reason::Target)
    },
)]
fn wrong_target(target: header::Hop, service: ident::ServiceId, chain: &[u16], expected: Action) {
    let header = header::Header {
        target,
        service,
        ..header(chain)
    };
    let mut table = table_with_owned_flow();
    assert_eq!(
        table.decide(&local(), &header, &data(ISN + 1), Millis(2)),
        expected
    );
    assert_eq!(
        table.decide(&local(), &header, &opening(), Millis(2)),
        expected
    );
}

#[test]
fn new_flow_to_a_former_address_is_dropped() {
    let local = flow::LocalState {
        address: Some(SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 2), 80)),
        ..local()
    };
    let action = flow::Table::default().decide(&local, &header(&[]), &opening(), Millis(0));
    assert_eq!(action, Action::Drop(Reason::Address));
    assert_eq!(
        table_with_owned_flow().decide(&local, &header(&[]), &data(ISN + 1), Millis(2)),
        Action::Deliver
    );
}

/// While tables differ, two agents may accept the same SYN, each with its own ISN. An ACK
/// for the other agent's ISN must not be delivered here but reach the other agent, and the
/// half-open flow here must expire.
#[test]
fn ack_for_another_acceptor_is_passed_on() {
    let mut table = flow::Table::default();
    table.accept(opening().flow, Millis(0));
    table.record_isn(&opening().flow, ISN);
    let foreign_ack = data(77);
    assert_eq!(
        table.decide(&local(), &header(&[2]), &foreign_ack, Millis(1)),
        Action::Pass(hop(2))
    );
    assert_eq!(
        table.decide(&local(), &header(&[]), &foreign_ack, Millis(1)),
        Action::Ask
    );
    table.register_owner(opening().flow, hop(2), SERVICE, Millis(2));
    let forward = Action::Forward {
        owner: hop(2),
        service: SERVICE,
    };
    assert_eq!(
        table.decide(&local(), &header(&[]), &foreign_ack, Millis(2)),
        forward
    );
    let expired = table.tick(flow::HALF_OPEN_TIMEOUT);
    assert_eq!(expired, [opening().flow]);
}

/// Packets of a flow without a known owner must not be reset before the tables of all
/// processes have had time to converge, because its owner may still be alive.
#[test]
fn stray_is_reset_only_after_convergence() {
    let mut table = flow::Table::default();
    let mut decide = |at| table.decide(&local(), &header(&[]), &data(1), at);
    assert_eq!(decide(Millis(0)), Action::Ask);
    assert_eq!(decide(Millis(1)), Action::Drop(Reason::Stray));
    assert_eq!(decide(flow::OWNER_QUERY_INTERVAL), Action::Ask);
    assert_eq!(decide(CONVERGENCE), Action::Ask);
    assert_eq!(decide(CONVERGENCE + Millis(1)), Action::Reset);
}

// Guards against a reset of an open flow by an agent that asked for its owner once, when it had
// just started and knew no other agent, and again by none of the flow's later packets.
#[test]
fn stray_is_searched_for_anew_among_agents_that_were_not_known() {
    let mut table = flow::Table::default();
    let decide = |table: &mut flow::Table, at| table.decide(&local(), &header(&[]), &data(1), at);
    for at in [0, 100, 200] {
        assert_eq!(decide(&mut table, Millis(at)), Action::Ask);
    }
    table.update_agents(SERVICE, &[hop(1), hop(2)]);
    let later = CONVERGENCE + Millis(1);
    assert_eq!(decide(&mut table, later), Action::Ask);
    table.update_agents(SERVICE, &[hop(1), hop(2)]);
    for at in [100, 200] {
        assert_eq!(decide(&mut table, later + Millis(at)), Action::Ask);
    }
    let end = later + later;
    assert_eq!(decide(&mut table, end), Action::Reset);
}

// Guards against a reset of an open flow after the loss of one query.
#[test]
fn stray_is_not_reset_before_several_queries_were_unanswered() {
    let mut table = flow::Table::default();
    let mut decide = |at| table.decide(&local(), &header(&[]), &data(1), at);
    for at in [0, 5_000, 5_200] {
        assert_eq!(decide(Millis(at)), Action::Ask);
    }
    assert_eq!(decide(Millis(5_400)), Action::Reset);
}

/// A packet that was already forwarded must not be forwarded again, or two agents with stale
/// redirects would send it back and forth.
#[test]
fn redirect_forwards_once_and_expires() {
    let mut table = flow::Table::default();
    table.register_owner(opening().flow, hop(2), SERVICE, Millis(0));
    let forward = Action::Forward {
        owner: hop(2),
        service: SERVICE,
    };
    assert_eq!(
        table.decide(&local(), &header(&[3]), &data(1), Millis(1)),
        forward
    );
    let again = header::Header {
        forwarded: true,
        ..header(&[])
    };
    assert_eq!(
        table.decide(&local(), &again, &data(1), Millis(1)),
        Action::Ask
    );
    table.tick(flow::REDIRECT_TTL);
    assert_eq!(
        table.decide(&local(), &header(&[3]), &data(1), flow::REDIRECT_TTL),
        Action::Pass(hop(3))
    );
}

#[test]
fn statement_of_another_agent_does_not_displace_an_owned_flow() {
    let mut table = table_with_owned_flow();
    table.register_owner(opening().flow, hop(2), SERVICE, Millis(2));
    assert_eq!(
        table.decide(&local(), &header(&[]), &data(ISN + 1), Millis(3)),
        Action::Deliver
    );
}
