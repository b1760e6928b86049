//! An agent's decisions on packets of flows that its upstream ends itself.

use std::net::{Ipv4Addr, SocketAddrV4};

use cassiacross::{
    chains,
    clock::Millis,
    header::Hop,
    ident::{DomainId, Incarnation, NodeId, ServiceId},
    member,
    packet::Flow,
    protocol::{self, Header, Message, Mode, ServiceHop},
    roster,
    segment::Segment,
    steering::{self, Action, DropReason},
};
use yare::parameterized;

const SERVICE: ServiceId = ServiceId(7);
const DOMAIN: DomainId = DomainId(1);
const SEED: u64 = 11;
const ISN: u32 = 5_000;
const PATIENCE: Millis = Millis(100);
const LATER: Millis = Millis(2_000);

fn hop(node: u16) -> Hop {
    Hop {
        node: NodeId(u64::from(node)),
        incarnation: Incarnation(1),
        addr: SocketAddrV4::new(Ipv4Addr::LOCALHOST, node),
    }
}

fn stop(node: u16) -> ServiceHop {
    ServiceHop {
        service: SERVICE,
        hop: hop(node),
    }
}

fn entry(node: u16, state: Option<member::State>) -> roster::Entry {
    roster::Entry {
        node: NodeId(u64::from(node)),
        incarnation: Incarnation(1),
        change: 0,
        domain: DOMAIN,
        control: hop(node).addr,
        leaving: false,
        deaf: false,
        upstream: Some(roster::Upstream {
            service: SERVICE,
            packets: hop(node).addr,
            state,
            step: 40,
        }),
    }
}

fn balancer() -> roster::Entry {
    roster::Entry {
        upstream: None,
        ..entry(99, None)
    }
}

/// Agent 1 among others, with one balancer.
struct World {
    flows: steering::Flows,
    roster: roster::Roster,
    accepts: bool,
    complete: bool,
}

impl World {
    fn new(others: &[u16]) -> Self {
        let ready = Some(member::State::Ready);
        let mut roster = roster::Roster::new(entry(1, ready), Millis(0));
        roster.merge(&balancer(), roster::HEARTBEAT_PERIOD, true, Millis(0));
        for other in others {
            roster.merge(
                &entry(*other, ready),
                roster::HEARTBEAT_PERIOD,
                true,
                Millis(0),
            );
        }
        let mut flows = steering::Flows::new(stop(1));
        flows.load_mut().set_slots(2);
        Self {
            flows,
            roster,
            accepts: true,
            complete: true,
        }
    }

    fn with<T>(
        &mut self,
        now: Millis,
        run: impl FnOnce(&mut steering::Flows, &mut steering::Context<'_>) -> T,
    ) -> T {
        let mut chains = chains::Chains::new(SERVICE, &self.roster);
        let mut around = steering::Context {
            accepts: self.accepts,
            complete: self.complete,
            chains: &mut chains,
            roster: &self.roster,
            seed: SEED,
            now,
        };
        run(&mut self.flows, &mut around)
    }

    fn inbound(&mut self, header: Header, segment: &Segment, now: Millis) -> Action {
        self.with(now, |flows, around| {
            flows.inbound(around, header, segment, b"packet")
        })
    }

    fn outbound(&mut self, segment: &Segment, now: Millis) -> Action {
        self.with(now, |flows, around| flows.outbound(around, segment))
    }

    fn tick(&mut self, now: Millis) -> Vec<Action> {
        let mut out = Vec::new();
        self.with(now, |flows, around| flows.tick(around, &mut out));
        out
    }

    /// Opens a flow here up to the caller's acknowledgement.
    fn establish(&mut self, caller: u16, now: Millis) {
        let action = self.inbound(header(&[1]), &opening(caller), now);
        assert!(matches!(action, Action::Deliver(_)));
        self.outbound(&accepting(caller), now);
        let action = self.inbound(header(&[1]), &data(caller, ISN + 1), now);
        assert_eq!(action, Action::Deliver(0));
    }
}

fn header(stops: &[u16]) -> Header {
    Header {
        version: protocol::VERSION,
        mode: Mode::Chain,
        origin: DOMAIN,
        hops: stops.iter().map(|node| stop(*node)).collect(),
        max_wait: PATIENCE,
        best: None,
        requester: None,
    }
}

fn search(asker: u16) -> Header {
    Header {
        mode: Mode::Search,
        requester: Some(hop(asker)),
        ..header(&[1])
    }
}

fn flow(caller: u16) -> Flow {
    Flow {
        caller: SocketAddrV4::new(Ipv4Addr::new(10, 77, 0, 1), caller),
        service: SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), 80),
    }
}

fn segment(caller: u16) -> Segment {
    Segment {
        from: flow(caller).caller,
        to: flow(caller).service,
        syn: false,
        syn_ack: false,
        fin: false,
        reset: false,
        bounced: false,
        token: 0,
        seq: 100,
        ack: 0,
        len: 0,
    }
}

fn opening(caller: u16) -> Segment {
    Segment {
        syn: true,
        ..segment(caller)
    }
}

fn data(caller: u16, ack: u32) -> Segment {
    Segment {
        ack,
        len: 10,
        ..segment(caller)
    }
}

fn accepting(caller: u16) -> Segment {
    Segment {
        from: flow(caller).service,
        to: flow(caller).caller,
        syn_ack: true,
        seq: ISN,
        ..segment(caller)
    }
}

fn answer(caller: u16) -> Segment {
    Segment {
        syn_ack: false,
        seq: ISN + 1,
        len: 10,
        ..accepting(caller)
    }
}

fn next_stop(action: &Action) -> Option<u64> {
    match action {
        Action::Send(header) | Action::Resend(header, _) => Some(header.hops[0].hop.node.0),
        _ => None,
    }
}

#[test]
fn opening_packet_is_delivered_where_a_slot_is_free() {
    let mut world = World::new(&[2]);
    let action = world.inbound(header(&[1, 2]), &opening(4_000), Millis(0));
    assert!(matches!(action, Action::Deliver(token) if token != 0));
    assert_eq!(world.flows.entries().len(), 1);
}

#[parameterized(
    draining = { false, 0 },
    full = { true, 2 },
)]
fn opening_packet_is_passed_on(accepts: bool, flows: u16) {
    let mut world = World::new(&[2]);
    for caller in 0..flows {
        world.establish(caller, Millis(0));
    }
    world.accepts = accepts;
    let action = world.inbound(header(&[1, 2]), &opening(4_000), Millis(0));
    assert_eq!(next_stop(&action), Some(2));
}

#[test]
fn opening_packet_goes_to_the_stop_with_the_shortest_wait() {
    let mut world = World::new(&[2]);
    world.establish(1, Millis(0));
    world.establish(2, Millis(0));
    let mut header = header(&[1]);
    header.best = Some(protocol::BestHop {
        candidate: stop(2),
        wait: Millis(1),
    });
    let action = world.inbound(header, &opening(4_000), Millis(0));
    assert_eq!(next_stop(&action), Some(2));
}

#[test]
fn opening_packet_is_refused_where_all_waits_are_too_long() {
    let mut world = World::new(&[2]);
    world.establish(1, Millis(0));
    world.establish(2, Millis(0));
    let action = world.inbound(header(&[1]), &opening(4_000), Millis(0));
    assert_eq!(action, Action::Reset(flow(4_000), 0));
}

#[test]
fn answered_request_frees_its_slot() {
    let mut world = World::new(&[2]);
    world.establish(1, Millis(0));
    world.establish(2, Millis(0));
    assert_eq!(world.flows.load().busy(), 2);
    world.outbound(&answer(1), Millis(40));
    assert_eq!(world.flows.load().busy(), 1);
    let action = world.inbound(header(&[1, 2]), &opening(4_000), Millis(200));
    assert!(matches!(action, Action::Deliver(_)));
}

#[test]
fn packet_of_another_flow_never_reaches_the_upstream() {
    let mut world = World::new(&[2, 3]);
    let action = world.inbound(header(&[1, 2]), &data(4_000, 9), Millis(0));
    assert_eq!(next_stop(&action), Some(2));
    let action = world.inbound(header(&[1]), &data(4_000, 9), Millis(0));
    assert!(matches!(action, Action::Search(_)));
}

#[test]
fn searches_for_one_flow_have_a_pause_between_them() {
    let mut world = World::new(&[2]);
    world.inbound(header(&[1]), &data(4_000, 9), Millis(0));
    let action = world.inbound(header(&[1]), &data(4_000, 9), Millis(10));
    assert_eq!(action, Action::Drop(DropReason::Searched));
}

#[test]
fn stated_flow_goes_to_its_owner() {
    let mut world = World::new(&[2]);
    world.flows.learn_owners(stop(2), &[flow(4_000)], Millis(0));
    let action = world.inbound(header(&[1]), &data(4_000, 9), Millis(0));
    assert_eq!(next_stop(&action), Some(2));
}

#[test]
fn owner_tells_the_agent_that_asks() {
    let mut world = World::new(&[2]);
    world.establish(4_000, Millis(0));
    world.flows.take_notices();
    let action = world.inbound(search(2), &data(4_000, ISN + 1), Millis(5));
    assert_eq!(action, Action::Deliver(0));
    let statements = world.flows.take_notices();
    let own = Message::Own {
        owner: stop(1),
        flows: vec![flow(4_000)],
    };
    assert_eq!(statements, [(hop(2), own)]);
}

#[test]
fn agent_that_does_not_own_a_searched_flow_says_so() {
    let mut world = World::new(&[2]);
    let action = world.inbound(search(2), &data(4_000, 9), Millis(0));
    assert_eq!(action, Action::Disown(hop(2), flow(4_000)));
}

#[test]
fn flow_that_no_agent_owns_is_reset() {
    let mut world = World::new(&[2]);
    world
        .roster
        .merge(&balancer(), roster::HEARTBEAT_PERIOD, true, LATER);
    world.inbound(header(&[1]), &data(4_000, 9), LATER);
    assert_eq!(world.tick(LATER), []);
    world.flows.record_not_owned(NodeId(2), &[flow(4_000)]);
    assert_eq!(world.tick(LATER), [Action::Reset(flow(4_000), 9)]);
}

#[parameterized(
    small_fleet = { 400, 500 },
    large_fleet = { 1_600, 2_000 },
)]
fn flow_is_not_reset_before_all_others_have_stated_themselves(period: u64, settled: u64) {
    let mut world = World::new(&[]);
    let other = entry(2, Some(member::State::Ready));
    let beat = |world: &mut World, now| {
        world.roster.merge(&other, Millis(period), true, now);
        world.roster.merge(&balancer(), Millis(period), true, now);
    };
    beat(&mut world, Millis(0));
    world.inbound(header(&[1]), &data(4_000, 9), Millis(0));
    world.flows.record_not_owned(NodeId(2), &[flow(4_000)]);
    let before = Millis(settled - 1);
    beat(&mut world, before);
    assert_eq!(world.tick(before), []);
    assert_eq!(world.tick(Millis(settled)), [Action::Reset(flow(4_000), 9)]);
}

#[test]
fn flow_whose_owner_states_itself_is_not_reset() {
    let mut world = World::new(&[2, 3]);
    world
        .roster
        .merge(&balancer(), roster::HEARTBEAT_PERIOD, true, LATER);
    world.inbound(header(&[1]), &data(4_000, 9), LATER);
    world.flows.learn_owners(stop(2), &[flow(4_000)], LATER);
    world.flows.record_not_owned(NodeId(3), &[flow(4_000)]);
    assert_eq!(world.tick(LATER), []);
}

#[test]
fn agent_that_started_after_its_upstream_asks_it() {
    let mut world = World::new(&[2]);
    world.complete = false;
    let action = world.inbound(search(2), &data(4_000, 9), Millis(0));
    let Action::Deliver(token) = action else {
        panic!("{action:?}");
    };
    let bounced = Segment {
        bounced: true,
        token,
        ..data(4_000, 9)
    };
    let action = world.outbound(&bounced, Millis(1));
    assert_eq!(action, Action::Disown(hop(2), flow(4_000)));
}

#[test]
fn agent_learns_flows_from_what_its_upstream_sends() {
    let mut world = World::new(&[2]);
    world.complete = false;
    assert_eq!(world.outbound(&answer(4_000), Millis(0)), Action::Answer);
    world.complete = true;
    let action = world.inbound(header(&[1]), &data(4_000, 9), Millis(1));
    assert_eq!(action, Action::Deliver(0));
}

#[test]
fn flow_that_its_upstream_no_longer_holds_is_reset() {
    let mut world = World::new(&[2]);
    world.establish(4_000, Millis(0));
    let bounced = Segment {
        bounced: true,
        ..data(4_000, ISN + 1)
    };
    let action = world.outbound(&bounced, Millis(1));
    assert_eq!(action, Action::Reset(flow(4_000), ISN + 1));
}

#[test]
fn bounced_opening_packet_goes_to_the_next_stop() {
    let mut world = World::new(&[2]);
    let action = world.inbound(header(&[1, 2]), &opening(4_000), Millis(0));
    let Action::Deliver(token) = action else {
        panic!("{action:?}");
    };
    let bounced = Segment {
        bounced: true,
        token,
        ..opening(4_000)
    };
    let action = world.outbound(&bounced, Millis(1));
    assert_eq!(next_stop(&action), Some(2));
    assert_eq!(world.flows.entries().len(), 0);
}

#[test]
fn caller_decides_between_two_agents_that_took_its_opening_packet() {
    let mut world = World::new(&[2]);
    world.inbound(header(&[1]), &opening(4_000), Millis(0));
    world.outbound(&accepting(4_000), Millis(1));
    let action = world.inbound(header(&[1, 2]), &data(4_000, ISN + 77), Millis(2));
    assert_eq!(next_stop(&action), Some(2));
}

#[test]
fn unanswered_opening_packet_is_passed_on_and_the_upstream_probed() {
    let mut world = World::new(&[2]);
    world.inbound(header(&[1, 2]), &opening(4_000), Millis(0));
    assert_eq!(world.tick(Millis(50)), []);
    let actions = world.tick(Millis(700));
    assert_eq!(next_stop(&actions[0]), Some(2));
    assert_eq!(actions[1], Action::Probe);
    assert_eq!(world.flows.entries().len(), 0);
}

#[parameterized(
    at_once = { 10 },
    much_later = { 5_000 },
)]
fn silent_upstream_gets_no_new_flow(after: u64) {
    let mut world = World::new(&[2]);
    world.inbound(header(&[1, 2]), &opening(4_000), Millis(0));
    world.tick(Millis(200));
    let now = Millis(200 + after);
    let action = world.inbound(header(&[1, 2]), &opening(4_001), now);
    assert_eq!(next_stop(&action), Some(2));
}

#[test]
fn upstream_that_is_heard_again_gets_new_flows() {
    let mut world = World::new(&[2]);
    world.inbound(header(&[1, 2]), &opening(4_000), Millis(0));
    world.tick(Millis(200));
    world.outbound(&answer(3_000), Millis(300));
    let action = world.inbound(header(&[1, 2]), &opening(4_001), Millis(400));
    assert!(matches!(action, Action::Deliver(_)));
}

#[test]
fn upstream_that_only_closes_idle_flows_stays_suspect() {
    let mut world = World::new(&[2]);
    world.inbound(header(&[1, 2]), &opening(4_000), Millis(0));
    world.tick(Millis(200));
    let closing = Segment {
        fin: true,
        len: 0,
        ..answer(3_000)
    };
    world.outbound(&closing, Millis(300));
    let action = world.inbound(header(&[1, 2]), &opening(4_001), Millis(400));
    assert_eq!(next_stop(&action), Some(2));
}

#[test]
fn copy_of_an_opening_packet_does_not_follow_a_statement() {
    let mut world = World::new(&[2]);
    world.flows.learn_owners(stop(2), &[flow(4_000)], Millis(0));
    let action = world.inbound(header(&[1, 2]), &opening(4_000), Millis(200));
    assert!(matches!(action, Action::Deliver(_)));
}

#[test]
fn callers_of_an_upstream_that_is_gone_are_told() {
    let mut world = World::new(&[2]);
    world.establish(4_000, Millis(0));
    let mut out = Vec::new();
    world.flows.reset_all(&mut out);
    assert_eq!(out, [Action::Reset(flow(4_000), ISN + 1)]);
    assert_eq!(world.flows.load().busy(), 0);
}

#[parameterized(
    upstream_left = { None, true, 0, true },
    stops_while_its_upstream_lives = { Some(member::State::Ready), true, 3_000, false },
    does_not_come_back = { Some(member::State::Ready), true, 20_000, true },
    silent = { Some(member::State::Ready), false, 3_000, true },
)]
fn flow_is_reset_only_if_its_owner_is_gone(
    state: Option<member::State>,
    leaving: bool,
    silent_for: u64,
    reset: bool,
) {
    let mut world = World::new(&[2, 3, 4]);
    world.flows.learn_owners(stop(2), &[flow(4_000)], Millis(0));
    let last = roster::Entry {
        change: 1,
        leaving,
        ..entry(2, state)
    };
    world
        .roster
        .merge(&last, roster::HEARTBEAT_PERIOD, true, Millis(0));
    let mut now = Millis(0);
    while now < Millis(silent_for) {
        now = now + Millis(400);
        let ready = Some(member::State::Ready);
        for other in [3, 4] {
            let entry = entry(other, ready);
            world
                .roster
                .merge(&entry, roster::HEARTBEAT_PERIOD, true, now);
        }
        world.roster.tick(now);
    }
    let action = world.inbound(header(&[1]), &data(4_000, 9), now);
    if reset {
        assert_eq!(action, Action::Reset(flow(4_000), 9));
    } else {
        assert_eq!(next_stop(&action), Some(2));
    }
}

#[test]
fn new_home_of_a_flow_is_told() {
    let mut world = World::new(&[]);
    world.establish(4_000, Millis(0));
    assert!(world.flows.take_notices().is_empty());
    let joined = entry(2, Some(member::State::Ready));
    world
        .roster
        .merge(&joined, roster::HEARTBEAT_PERIOD, true, Millis(5));
    world.tick(Millis(5));
    let statements = world.flows.take_notices();
    assert_eq!(statements.len(), 1);
    assert_eq!(statements[0].0, hop(2));
}

#[test]
fn packet_for_another_agent_or_service_is_not_delivered() {
    let mut world = World::new(&[2]);
    let mut foreign = header(&[1]);
    foreign.hops[0].service = ServiceId(8);
    let action = world.inbound(foreign, &opening(4_000), Millis(0));
    assert_eq!(action, Action::Drop(DropReason::Target));
    let action = world.inbound(header(&[2]), &opening(4_000), Millis(0));
    assert_eq!(action, Action::Drop(DropReason::Target));
}
