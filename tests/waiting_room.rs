//! Waiting room for new flows of one upstream: who is served first, and who is refused.

use std::net::{Ipv4Addr, SocketAddrV4};

use cassiacross::{
    clock::Millis,
    ident::DomainId,
    packet::Flow,
    protocol::{self, Header, Mode},
    record::Class,
    waiting_room::{Waiting, WaitingRoom},
};
use yare::parameterized;

const TARGET: Millis = Millis(400);

fn flow(caller: u16) -> Flow {
    Flow {
        caller: SocketAddrV4::new(Ipv4Addr::new(10, 77, 0, 1), caller),
        service: SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), 80),
    }
}

fn waiting(caller: u16, class: Class, since: u64) -> Waiting {
    Waiting {
        flow: flow(caller),
        header: Header {
            version: protocol::VERSION,
            mode: Mode::Chain,
            origin: DomainId(1),
            hops: Vec::new(),
            max_wait: Millis(200),
            best: None,
            requester: None,
            route: protocol::RouteInfo::default(),
        },
        bytes: Vec::new(),
        class,
        target: TARGET,
        since: Millis(since),
        until: Millis(since + 1_000),
    }
}

fn room(entries: &[(u16, Class, u64)]) -> WaitingRoom {
    let mut room = WaitingRoom::default();
    for (caller, class, since) in entries {
        assert!(room.push(waiting(*caller, *class, *since)));
    }
    room
}

fn next(room: &mut WaitingRoom, now: u64) -> u16 {
    room.next(Millis(now)).unwrap().flow.caller.port()
}

#[test]
fn urgent_work_is_served_first() {
    let mut room = room(&[
        (1, Class::Normal, 0),
        (2, Class::Bulk, 1),
        (3, Class::Urgent, 2),
    ]);
    assert_eq!(next(&mut room, 10), 3);
    assert_eq!(next(&mut room, 10), 1);
}

// Guards against a peak in which all answers come late, because the oldest work goes first.
#[parameterized(
    short_wait = { 50, 1 },
    long_wait = { 300, 3 },
)]
fn fresh_work_goes_first_once_the_room_is_slow(now: u64, expected: u16) {
    let mut room = room(&[
        (1, Class::Normal, 0),
        (2, Class::Normal, 20),
        (3, Class::Normal, 40),
    ]);
    assert_eq!(next(&mut room, now), expected);
}

// Guards against lower classes that are never served while urgent work floods in.
#[test]
fn lowest_class_gets_a_share() {
    let mut room = room(&[(1, Class::Bulk, 0)]);
    for caller in 2..40 {
        room.push(waiting(caller, Class::Urgent, 0));
    }
    let served: Vec<_> = (0..12).map(|_| next(&mut room, 10)).collect();
    assert!(served.contains(&1), "{served:?}");
}

#[test]
fn work_that_has_waited_too_long_is_taken_out() {
    let mut room = room(&[(1, Class::Normal, 0), (2, Class::Normal, 500)]);
    let expired = room.take_expired(Millis(1_000));
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].flow, flow(1));
    assert!(room.contains(&flow(2)));
}

#[test]
fn room_is_bounded() {
    let mut room = WaitingRoom::default();
    let admitted = (0..1_000).filter(|caller| room.push(waiting(*caller, Class::Normal, 0)));
    assert!(admitted.count() < 300);
}
