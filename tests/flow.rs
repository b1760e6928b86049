//! An agent's decisions on packets.

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

fn owner() -> flow::Table {
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
    no_room_last = { true, false, &[], Action::Accept },
    draining = { false, true, &[2], Action::Pass(hop(2)) },
    draining_last = { false, true, &[], Action::Refuse },
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
    other_node_last = { hop(9), SERVICE, &[], Action::Drop(Reason::Target) },
    other_service = { hop(1), ident::ServiceId(8), &[], Action::Drop(Reason::Target) },
    earlier_run = {
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
    let mut table = owner();
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
fn moved_address_takes_no_new_flow() {
    let local = flow::LocalState {
        address: Some(SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 2), 80)),
        ..local()
    };
    let action = flow::Table::default().decide(&local, &header(&[]), &opening(), Millis(0));
    assert_eq!(action, Action::Drop(Reason::Address));
    assert_eq!(
        owner().decide(&local, &header(&[]), &data(ISN + 1), Millis(2)),
        Action::Deliver
    );
}

#[test]
fn second_acceptor_passes_on_answers_to_the_first() {
    let mut table = flow::Table::default();
    table.accept(opening().flow, Millis(0));
    table.record_isn(&opening().flow, ISN);
    let others = data(77);
    assert_eq!(
        table.decide(&local(), &header(&[2]), &others, Millis(1)),
        Action::Pass(hop(2))
    );
    assert_eq!(
        table.decide(&local(), &header(&[]), &others, Millis(1)),
        Action::Ask
    );
    table.register_owner(opening().flow, hop(2), SERVICE, Millis(2));
    let forward = Action::Forward {
        owner: hop(2),
        service: SERVICE,
    };
    assert_eq!(
        table.decide(&local(), &header(&[]), &others, Millis(2)),
        forward
    );
    let lapsed = table.tick(flow::HALF_OPEN_TIMEOUT);
    assert_eq!(lapsed, [opening().flow]);
}

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

#[test]
fn redirect_forwards_once_and_lapses() {
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
fn statement_of_another_does_not_take_an_owned_flow() {
    let mut table = owner();
    table.register_owner(opening().flow, hop(2), SERVICE, Millis(2));
    assert_eq!(
        table.decide(&local(), &header(&[]), &data(ISN + 1), Millis(3)),
        Action::Deliver
    );
}
