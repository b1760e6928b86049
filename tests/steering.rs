//! Packet steering of a pass-through agent.

use std::net::{Ipv4Addr, SocketAddrV4};

use cassiacross::{
    chains,
    clock::Millis,
    flow_recovery::{OwnedFlow, Tracking},
    header::Hop,
    ident::{DomainId, Incarnation, NodeId, ServiceId},
    member,
    owner_cache::Claim,
    packet::Flow,
    protocol::{self, Header, Message, Mode, Reply, ServiceHop},
    record, roster,
    segment::Segment,
    slow_start,
    steering::{self, Action, DropReason, ResetCause},
};
use yare::parameterized;

const SERVICE: ServiceId = ServiceId(7);
const DOMAIN: DomainId = DomainId(1);
const SEED: u64 = 11;
const ISN: u32 = 5_000;
const MAX_WAIT: Millis = Millis(100);
const AFTER_SETTLING: Millis = Millis(2_000);

fn hop(node: u16) -> Hop {
    Hop {
        node: NodeId(u64::from(node)),
        incarnation: Incarnation(1),
        addr: SocketAddrV4::new(Ipv4Addr::LOCALHOST, node),
    }
}

fn service_hop(node: u16) -> ServiceHop {
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

/// Flow table and roster of agent 1, with one balancer and other agents.
struct Agent {
    flows: steering::Flows,
    roster: roster::Roster,
    accepts: bool,
    tracking: Tracking,
    slow_start: slow_start::SlowStart,
}

impl Agent {
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
        let mut flows = steering::Flows::new(service_hop(1));
        flows.load_mut().set_slots(2);
        Self {
            flows,
            roster,
            accepts: true,
            tracking: Tracking::Complete,
            slow_start: slow_start::SlowStart::new(None),
        }
    }

    fn decide<T>(
        &mut self,
        now: Millis,
        run: impl FnOnce(&mut steering::Flows, &mut steering::Context<'_>) -> T,
    ) -> T {
        let mut chains = chains::Chains::new(SERVICE, &self.roster);
        let mut context = steering::Context {
            accepts: self.accepts,
            tracking: self.tracking,
            chains: &mut chains,
            roster: &self.roster,
            slow_start: &mut self.slow_start,
            seed: SEED,
            now,
        };
        run(&mut self.flows, &mut context)
    }

    fn inbound(&mut self, header: Header, segment: &Segment, now: Millis) -> Action {
        self.decide(now, |flows, context| {
            flows.inbound(context, header, segment, b"packet")
        })
    }

    fn outbound(&mut self, segment: &Segment, now: Millis) -> Action {
        self.decide(now, |flows, context| {
            flows.outbound(context, segment, b"packet")
        })
    }

    fn tick(&mut self, now: Millis) -> Vec<Action> {
        let mut out = Vec::new();
        self.decide(now, |flows, context| flows.tick(context, &mut out));
        out
    }

    /// Records the reply of an agent that it does not own flow 4,000.
    fn not_owned(&mut self, node: u64) {
        let reply = Reply::NotOwned;
        let run = Incarnation(1);
        self.flows
            .record_reply(NodeId(node), run, &flow(4_000), reply);
    }

    /// Opens a flow on this agent and delivers the caller's first request.
    fn establish_flow(&mut self, caller: u16, now: Millis) {
        let action = self.inbound(header(&[1]), &syn(caller), now);
        assert!(matches!(action, Action::Deliver(_)));
        self.outbound(&syn_ack(caller), now);
        let action = self.inbound(header(&[1]), &data(caller, ISN + 1), now);
        assert_eq!(action, Action::Deliver(0));
    }
}

fn header(hops: &[u16]) -> Header {
    Header {
        version: protocol::VERSION,
        mode: Mode::Chain,
        origin: DOMAIN,
        hops: hops.iter().map(|node| service_hop(*node)).collect(),
        max_wait: MAX_WAIT,
        best: None,
        requester: None,
        route: protocol::RouteInfo::default(),
    }
}

fn search_header(requester: u16) -> Header {
    Header {
        mode: Mode::Search,
        requester: Some(hop(requester)),
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

fn syn(caller: u16) -> Segment {
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

fn syn_ack(caller: u16) -> Segment {
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
        ..syn_ack(caller)
    }
}

fn reset_by_upstream(caller: u16) -> Segment {
    Segment {
        reset: true,
        len: 0,
        ..answer(caller)
    }
}

/// Packet of a caller that the upstream returned because it does not have the flow.
fn returned(caller: u16, token: u32) -> Segment {
    Segment {
        bounced: true,
        token,
        ..data(caller, 9)
    }
}

fn next_hop(action: &Action) -> Option<u64> {
    match action {
        Action::Send(header) | Action::Resend(header, _) => Some(header.hops[0].hop.node.0),
        _ => None,
    }
}

#[test]
fn syn_is_delivered_when_a_slot_is_free() {
    let mut agent = Agent::new(&[2]);
    let action = agent.inbound(header(&[1, 2]), &syn(4_000), Millis(0));
    assert!(matches!(action, Action::Deliver(token) if token != 0));
    assert_eq!(agent.flows.entries().len(), 1);
}

#[parameterized(
    draining = { false, 0 },
    full = { true, 2 },
)]
fn syn_is_forwarded_when_the_upstream_cannot_accept_it(accepts: bool, flows: u16) {
    let mut agent = Agent::new(&[2]);
    for caller in 0..flows {
        agent.establish_flow(caller, Millis(0));
    }
    agent.accepts = accepts;
    let action = agent.inbound(header(&[1, 2]), &syn(4_000), Millis(0));
    assert_eq!(next_hop(&action), Some(2));
}

#[test]
fn syn_is_forwarded_to_the_hop_with_the_shortest_wait() {
    let mut agent = Agent::new(&[2]);
    agent.establish_flow(1, Millis(0));
    agent.establish_flow(2, Millis(0));
    let mut header = header(&[1]);
    header.best = Some(protocol::BestHop {
        candidate: service_hop(2),
        wait: Millis(1),
    });
    let action = agent.inbound(header, &syn(4_000), Millis(0));
    assert_eq!(next_hop(&action), Some(2));
}

#[test]
fn syn_is_reset_when_every_wait_exceeds_the_limit() {
    let mut agent = Agent::new(&[2]);
    agent.establish_flow(1, Millis(0));
    agent.establish_flow(2, Millis(0));
    let action = agent.inbound(header(&[1]), &syn(4_000), Millis(0));
    assert_eq!(action, Action::Reset(flow(4_000), 0, ResetCause::Refused));
}

/// Header of a new flow that may wait for a free slot.
fn hold_header(hops: &[u16], repeated: bool) -> Header {
    let mut header = header(hops);
    header.route.hold = Some(protocol::Hold {
        class: record::Class::Normal,
        target: Millis(200),
        limit: Millis(1_000),
        repeated,
    });
    header
}

/// Creates an agent whose upstream has more requests than slots, and one new flow that waits.
fn agent_with_a_waiting_flow() -> Agent {
    let mut agent = Agent::new(&[2]);
    agent.establish_flow(1, Millis(0));
    agent.establish_flow(2, Millis(0));
    agent.flows.load_mut().set_slots(1);
    let action = agent.inbound(hold_header(&[1], false), &syn(4_000), Millis(0));
    assert_eq!(action, Action::Hold);
    agent
}

fn admitted(agent: &mut Agent, now: Millis) -> Vec<Action> {
    let mut actions = Vec::new();
    agent.decide(now, |flows, context| {
        flows.admit_waiting(context, &mut actions);
    });
    actions
}

// Guards against refusals in a short peak of work that could be answered after it.
#[test]
fn new_flow_waits_until_a_slot_is_free() {
    let mut agent = agent_with_a_waiting_flow();
    agent.outbound(&answer(1), Millis(40));
    agent.outbound(&answer(2), Millis(40));
    let actions = admitted(&mut agent, Millis(40));
    assert!(matches!(&*actions, [Action::DeliverHeld(_, bytes)] if bytes == b"packet"));
    assert!(!agent.flows.has_waiting());
}

#[parameterized(
    no_slot_in_time = { true, 1_000 },
    upstream_drains = { false, 100 },
)]
fn waiting_flow_is_refused_when_it_cannot_be_served(accepts: bool, now: u64) {
    let mut agent = agent_with_a_waiting_flow();
    agent.accepts = accepts;
    let actions = agent.tick(Millis(now));
    let refusal = Action::Reset(flow(4_000), 0, ResetCause::Expired);
    assert!(actions.contains(&refusal), "{actions:?}");
    assert!(!agent.flows.has_waiting());
}

// Guards against the end of an attempt whose first SYN waits, by the refusal of its copy.
#[parameterized(
    at_the_same_agent = { 4_000 },
    elsewhere = { 4_001 },
)]
fn copy_of_a_waiting_syn_is_not_refused(caller: u16) {
    let mut agent = agent_with_a_waiting_flow();
    let action = agent.inbound(hold_header(&[1], true), &syn(caller), Millis(200));
    assert_eq!(action, Action::Drop(DropReason::Waiting));
}

// Guards against a slot that is kept for a caller who was served elsewhere.
#[test]
fn flow_that_was_accepted_elsewhere_does_not_wait_any_more() {
    let mut agent = agent_with_a_waiting_flow();
    agent
        .flows
        .learn_owners(service_hop(2), &[flow(4_000)], false, Millis(200));
    assert!(!agent.flows.has_waiting());
}

#[test]
fn new_flow_of_a_route_without_a_timeout_does_not_wait() {
    let mut agent = Agent::new(&[2]);
    agent.establish_flow(1, Millis(0));
    agent.establish_flow(2, Millis(0));
    let action = agent.inbound(header(&[1]), &syn(4_000), Millis(0));
    assert_eq!(action, Action::Reset(flow(4_000), 0, ResetCause::Refused));
}

#[test]
fn answered_request_frees_its_slot() {
    let mut agent = Agent::new(&[2]);
    agent.establish_flow(1, Millis(0));
    agent.establish_flow(2, Millis(0));
    assert_eq!(agent.flows.load().busy(), 2);
    agent.outbound(&answer(1), Millis(40));
    assert_eq!(agent.flows.load().busy(), 1);
    let action = agent.inbound(header(&[1, 2]), &syn(4_000), Millis(200));
    assert!(matches!(action, Action::Deliver(_)));
}

#[test]
fn packet_of_an_untracked_flow_is_never_delivered() {
    let mut agent = Agent::new(&[2, 3]);
    let action = agent.inbound(header(&[1, 2]), &data(4_000, 9), Millis(0));
    assert_eq!(next_hop(&action), Some(2));
    let action = agent.inbound(header(&[1]), &data(4_000, 9), Millis(0));
    assert!(matches!(action, Action::Search(..)));
}

#[test]
fn searches_for_one_flow_are_rate_limited() {
    let mut agent = Agent::new(&[2]);
    agent.inbound(header(&[1]), &data(4_000, 9), Millis(0));
    let action = agent.inbound(header(&[1]), &data(4_000, 9), Millis(10));
    assert_eq!(action, Action::Drop(DropReason::Searched));
}

/// Returns the numbers of the agents that a search asks, none if it asks nobody.
fn asked(action: &Action) -> Vec<u64> {
    match action {
        Action::Search(_, nodes) => nodes.iter().map(|node| node.0).collect(),
        _ => Vec::new(),
    }
}

/// After a loss of all flows, each caller repeats its packets until it is told. An agent
/// that has replied to a search for the flow does not get another copy of each.
#[test]
fn repeated_search_asks_only_agents_that_have_not_replied() {
    let mut agent = Agent::new(&[2, 3]);
    let first = agent.inbound(header(&[1]), &data(4_000, 9), Millis(0));
    assert_eq!(asked(&first), [2, 3]);
    agent.not_owned(2);
    let second = agent.inbound(header(&[1]), &data(4_000, 9), Millis(200));
    assert_eq!(asked(&second), [3]);
    agent.not_owned(3);
    let third = agent.inbound(header(&[1]), &data(4_000, 9), Millis(400));
    assert_eq!(third, Action::Drop(DropReason::Searched));
}

/// An agent that was not known before, or has started again, may own the flow.
#[parameterized(
    joined = { 3, 1, &[3] },
    restarted = { 2, 2, &[2] },
)]
fn search_is_widened_by_agents_that_start_later(node: u16, run: u64, expected: &[u64]) {
    let mut agent = Agent::new(&[2]);
    agent.inbound(header(&[1]), &data(4_000, 9), Millis(0));
    agent.not_owned(2);
    let mut started = entry(node, Some(member::State::Ready));
    started.incarnation = Incarnation(run);
    agent
        .roster
        .merge(&started, roster::HEARTBEAT_PERIOD, true, Millis(100));
    assert_eq!(agent.tick(AFTER_SETTLING), []);
    let action = agent.inbound(header(&[1]), &data(4_000, 9), AFTER_SETTLING);
    assert_eq!(asked(&action), expected);
}

#[test]
fn packet_is_forwarded_to_the_announced_owner() {
    let mut agent = Agent::new(&[2]);
    agent
        .flows
        .learn_owners(service_hop(2), &[flow(4_000)], false, Millis(0));
    let action = agent.inbound(header(&[1]), &data(4_000, 9), Millis(0));
    assert_eq!(next_hop(&action), Some(2));
}

#[test]
fn owner_announces_itself_to_the_searching_agent() {
    let mut agent = Agent::new(&[2]);
    agent.establish_flow(4_000, Millis(0));
    agent.flows.take_notices();
    let action = agent.inbound(search_header(2), &data(4_000, ISN + 1), Millis(5));
    assert_eq!(action, Action::Deliver(0));
    let notices = agent.flows.take_notices();
    let announcement = Message::Confirmed {
        owner: service_hop(1),
        flows: vec![flow(4_000)],
    };
    assert_eq!(notices, [(hop(2), announcement)]);
}

#[test]
fn agent_replies_that_it_does_not_own_a_searched_flow() {
    let mut agent = Agent::new(&[2]);
    let action = agent.inbound(search_header(2), &data(4_000, 9), Millis(0));
    assert_eq!(
        action,
        Action::ReplySearch(hop(2), flow(4_000), Reply::NotOwned)
    );
}

#[test]
fn flow_that_no_agent_owns_is_reset() {
    let mut agent = Agent::new(&[2]);
    agent
        .roster
        .merge(&balancer(), roster::HEARTBEAT_PERIOD, true, AFTER_SETTLING);
    agent.inbound(header(&[1]), &data(4_000, 9), AFTER_SETTLING);
    assert_eq!(agent.tick(AFTER_SETTLING), []);
    agent.not_owned(2);
    assert_eq!(
        agent.tick(AFTER_SETTLING),
        [Action::Reset(flow(4_000), 9, ResetCause::Unowned(None))]
    );
}

#[parameterized(
    small_fleet = { 400, 1_000 },
    large_fleet = { 1_600, 4_000 },
)]
fn flow_is_not_reset_before_all_peers_have_been_reported(period: u64, settle_time: u64) {
    let mut agent = Agent::new(&[]);
    let other = entry(2, Some(member::State::Ready));
    let heartbeat = |agent: &mut Agent, now| {
        agent.roster.merge(&other, Millis(period), true, now);
        agent.roster.merge(&balancer(), Millis(period), true, now);
    };
    heartbeat(&mut agent, Millis(0));
    agent.inbound(header(&[1]), &data(4_000, 9), Millis(0));
    agent.not_owned(2);
    let before = Millis(settle_time - 1);
    heartbeat(&mut agent, before);
    assert_eq!(agent.tick(before), []);
    assert_eq!(
        agent.tick(Millis(settle_time)),
        [Action::Reset(flow(4_000), 9, ResetCause::Unowned(None))]
    );
}

#[test]
fn flow_whose_owner_announces_itself_is_not_reset() {
    let mut agent = Agent::new(&[2, 3]);
    agent
        .roster
        .merge(&balancer(), roster::HEARTBEAT_PERIOD, true, AFTER_SETTLING);
    agent.inbound(header(&[1]), &data(4_000, 9), AFTER_SETTLING);
    agent
        .flows
        .learn_owners(service_hop(2), &[flow(4_000)], false, AFTER_SETTLING);
    agent.not_owned(3);
    assert_eq!(agent.tick(AFTER_SETTLING), []);
}

#[test]
fn agent_started_after_its_upstream_delivers_an_untracked_flow_as_a_trial() {
    let mut agent = Agent::new(&[2]);
    agent.tracking = Tracking::Partial;
    let action = agent.inbound(last_header(Mode::Trial), &data(4_000, 9), Millis(0));
    let Action::Deliver(token) = action else {
        panic!("{action:?}");
    };
    let action = agent.outbound(&returned(4_000, token), Millis(1));
    assert_eq!(action, RETURNED);
}

// Guards against an end of a search by agents that do not know their flows, and against packets
// that reach the upstreams of many of them.
#[parameterized(
    recovering = { Tracking::Recovering, Mode::Search, Reply::Unknown { trial: false } },
    recovering_in_a_trial = { Tracking::Recovering, Mode::Trial, Reply::Unknown { trial: false } },
    partial = { Tracking::Partial, Mode::Search, Reply::Unknown { trial: true } },
    complete = { Tracking::Complete, Mode::Search, Reply::NotOwned },
    complete_in_a_trial = { Tracking::Complete, Mode::Trial, Reply::NotOwned },
)]
fn agent_replies_to_a_search_what_it_knows(tracking: Tracking, mode: Mode, reply: Reply) {
    let mut agent = Agent::new(&[2]);
    agent.tracking = tracking;
    let action = agent.inbound(last_header(mode), &data(4_000, 9), Millis(0));
    assert_eq!(action, Action::ReplySearch(hop(2), flow(4_000), reply));
}

/// Records that an agent does not know its flows and may try.
fn unknown(agent: &mut Agent, node: u64) {
    let reply = Reply::Unknown { trial: true };
    let run = Incarnation(1);
    agent
        .flows
        .record_reply(NodeId(node), run, &flow(4_000), reply);
}

// Guards against callers of lost flows that wait for their next packet after all agents have
// recovered.
#[test]
fn search_during_the_recovery_is_answered_when_it_ends() {
    let mut agent = Agent::new(&[2]);
    agent.tracking = Tracking::Recovering;
    agent.inbound(search_header(2), &data(4_000, 9), Millis(0));
    agent.tick(Millis(50));
    assert_eq!(agent.flows.take_notices(), []);
    agent.tracking = Tracking::Complete;
    agent.tick(Millis(100));
    let unowned = Message::Unowned {
        node: NodeId(1),
        flows: vec![flow(4_000)],
    };
    assert_eq!(agent.flows.take_notices(), [(hop(2), unowned)]);
}

// Guards against packets of an open flow that reach three upstreams and none its own, when
// several agents have lost their tables at once.
#[test]
fn search_tries_at_most_two_upstreams() {
    let mut agent = Agent::new(&[2, 3, 4, 5]);
    agent.inbound(header(&[1]), &data(4_000, 9), Millis(0));
    agent.not_owned(5);
    for node in [2, 3, 4] {
        unknown(&mut agent, node);
    }
    let mut tried = Vec::new();
    for now in [200, 400, 600, 800, 1_000] {
        let action = agent.inbound(header(&[1]), &data(4_000, 9), Millis(now));
        tried.extend(next_hop(&action));
        assert!(matches!(
            action,
            Action::Send(_) | Action::Drop(_) | Action::Search(..)
        ));
    }
    assert_eq!(tried.len(), 2, "{tried:?}");
    assert_eq!(agent.tick(AFTER_SETTLING), []);
}

// Guards against silence towards the caller of an upstream that is lost, while agents that
// were restarted long before it was opened do not know their earlier flows.
#[test]
fn flow_opened_after_the_start_of_an_agent_is_not_at_that_agent() {
    let mut agent = Agent::new(&[2, 3]);
    let opened = Millis(5_000);
    agent
        .flows
        .learn_owners(service_hop(9), &[flow(4_000)], false, opened);
    let now = Millis(6_000);
    agent.inbound(header(&[1]), &data(4_000, 9), now);
    let mut gone = entry(9, None);
    gone.leaving = true;
    agent
        .roster
        .merge(&gone, roster::HEARTBEAT_PERIOD, true, now);
    agent.inbound(header(&[1]), &data(4_000, 9), now);
    agent.not_owned(3);
    unknown(&mut agent, 2);
    agent
        .roster
        .merge(&balancer(), roster::HEARTBEAT_PERIOD, true, now);
    let gone = Some(NodeId(9));
    assert_eq!(
        agent.tick(now),
        [Action::Reset(flow(4_000), 9, ResetCause::Unowned(gone))]
    );
}

// Guards against a reset of an open flow whose agent is alive, but whose heartbeats were lost.
#[test]
fn flow_of_a_silent_owner_is_reset_only_after_an_unanswered_packet() {
    let mut agent = Agent::new(&[2, 3, 4]);
    agent
        .flows
        .learn_owners(service_hop(2), &[flow(4_000)], true, Millis(0));
    let mut now = Millis(0);
    while now < AFTER_SETTLING {
        now = now + Millis(100);
        for other in [
            entry(3, Some(member::State::Ready)),
            entry(4, Some(member::State::Ready)),
            balancer(),
        ] {
            agent
                .roster
                .merge(&other, roster::HEARTBEAT_PERIOD, true, now);
        }
        agent.roster.tick(now);
    }
    assert!(agent.roster.is_gone(NodeId(2), now));
    let action = agent.inbound(header(&[1]), &data(4_000, 9), now);
    assert_eq!(next_hop(&action), Some(2));
    let action = agent.inbound(header(&[1]), &data(4_000, 9), now + Millis(200));
    let cause = ResetCause::Unowned(Some(NodeId(2)));
    assert_eq!(action, Action::Reset(flow(4_000), 9, cause));
}

// Guards against a search of the whole service, and against a wait for agents that do not know
// their flows, when the known owner is lost.
#[test]
fn flow_whose_confirmed_owner_is_gone_is_reset_at_once() {
    let mut agent = Agent::new(&[2, 3]);
    let now = AFTER_SETTLING;
    agent
        .roster
        .merge(&balancer(), roster::HEARTBEAT_PERIOD, true, now);
    agent
        .flows
        .learn_owners(service_hop(2), &[flow(4_000)], true, now);
    let mut gone = entry(2, None);
    gone.change = 1;
    gone.leaving = true;
    agent
        .roster
        .merge(&gone, roster::HEARTBEAT_PERIOD, true, now);
    let action = agent.inbound(header(&[1]), &data(4_000, 9), now);
    let cause = ResetCause::Unowned(Some(NodeId(2)));
    assert_eq!(action, Action::Reset(flow(4_000), 9, cause));
}

// Guards against the loss of a flow whose owner and the searching agent were both restarted:
// any agent that knows the owner ends a search.
#[test]
fn agent_that_knows_the_confirmed_owner_tells_it_in_a_search() {
    let mut agent = Agent::new(&[2, 3]);
    agent
        .flows
        .learn_owners(service_hop(3), &[flow(4_000)], true, Millis(0));
    let action = agent.inbound(search_header(2), &data(4_000, 9), Millis(0));
    let claim = Claim {
        owner: service_hop(3),
        confirmed: true,
    };
    assert_eq!(action, Action::ReplyOwner(hop(2), flow(4_000), claim));
}

// Guards against a reset of an open flow of a route's other service.
#[test]
fn flow_that_may_be_in_another_service_is_not_reset() {
    let mut agent = Agent::new(&[2]);
    let other = ServiceId(8);
    let mut split = header(&[1]);
    split.route.services = vec![SERVICE, other];
    let now = AFTER_SETTLING;
    agent
        .roster
        .merge(&balancer(), roster::HEARTBEAT_PERIOD, true, now);
    agent.inbound(split.clone(), &data(4_000, 9), now);
    agent.not_owned(2);
    assert_eq!(agent.tick(now), []);
    split.route.excluded = vec![other];
    agent.inbound(split, &data(4_000, 9), now + Millis(200));
    assert_eq!(agent.tick(now + Millis(200)).len(), 1);
}

// Guards against a search of a split route that leaves out agents of the first service beyond
// its first three.
#[test]
fn last_agent_of_its_service_searches_and_passes_the_packet_on() {
    let mut agent = Agent::new(&[2, 3]);
    let mut split = header(&[1, 2]);
    split.hops[1].service = ServiceId(8);
    split.route.services = vec![SERVICE, ServiceId(8)];
    let now = AFTER_SETTLING;
    agent
        .roster
        .merge(&balancer(), roster::HEARTBEAT_PERIOD, true, now);
    let action = agent.inbound(split.clone(), &data(4_000, 9), now);
    assert_eq!(asked(&action), [2, 3]);
    agent.not_owned(2);
    agent.not_owned(3);
    let action = agent.inbound(split, &data(4_000, 9), now + Millis(200));
    let Action::Send(header) = action else {
        panic!("{action:?}");
    };
    assert_eq!(header.route.excluded, [SERVICE]);
}

// Guards against a wrong upstream as the confirmed owner of a flow whose SYN it took in vain.
#[test]
fn flow_recovered_from_a_claim_is_confirmed_only_by_the_upstream() {
    let mut agent = Agent::new(&[2]);
    agent.tracking = Tracking::Recovering;
    let owned = OwnedFlow {
        flow: flow(4_000),
        confirmed: false,
    };
    agent.decide(Millis(0), |flows, context| flows.adopt(context, &[owned]));
    agent.tick(AFTER_SETTLING);
    let confirmed = |agent: &mut Agent| {
        let notices = agent.flows.take_notices();
        let is_confirmed =
            |(_, message): &(_, Message)| matches!(message, Message::Confirmed { .. });
        notices.iter().any(is_confirmed)
    };
    assert!(!confirmed(&mut agent));
    let action = agent.inbound(header(&[1]), &data(4_000, 9), AFTER_SETTLING);
    assert_eq!(action, Action::Deliver(0));
    agent.outbound(&answer(4_000), AFTER_SETTLING);
    agent.tick(AFTER_SETTLING + Millis(50));
    assert!(confirmed(&mut agent));
}

// Guards against the loss of flows whose owner and homes are restarted in turn.
#[test]
fn agent_that_shuts_down_hands_over_the_claims_of_others() {
    let mut agent = Agent::new(&[2, 3, 4]);
    agent
        .flows
        .learn_owners(service_hop(2), &[flow(4_000)], true, Millis(0));
    agent.decide(Millis(1), |flows, context| {
        flows.hand_over(context, Millis(0));
    });
    let notices = agent.flows.take_notices();
    assert!(!notices.is_empty());
    for (to, message) in notices {
        assert_ne!(to.node, NodeId(2));
        let owner = service_hop(2);
        let flows = vec![flow(4_000)];
        assert_eq!(message, Message::Confirmed { owner, flows });
    }
}

// Guards against open flows that reach wrong upstreams while agents are restarted: agents
// that know the owner come before the own upstream.
#[test]
fn agent_started_after_its_upstream_passes_untracked_flows_on_first() {
    let mut agent = Agent::new(&[2]);
    agent.tracking = Tracking::Partial;
    let action = agent.inbound(header(&[1, 2]), &data(4_000, 9), Millis(0));
    assert_eq!(next_hop(&action), Some(2));
}

// Guards against the loss of flows of a route with several services: agents of another
// service do not know the owner.
#[test]
fn last_agent_of_its_service_searches_before_other_services() {
    let mut agent = Agent::new(&[2]);
    agent.tracking = Tracking::Partial;
    let mut hops = header(&[1, 2]);
    hops.hops[1].service = ServiceId(8);
    let action = agent.inbound(hops, &data(4_000, 9), Millis(0));
    assert!(matches!(action, Action::Search(..)), "{action:?}");
}

// Guards against repeated delivery when many packets were handed over in between, so that
// the header of the returned one is gone.
#[test]
fn flow_returned_with_an_outdated_token_is_not_delivered_again() {
    let mut agent = Agent::new(&[2]);
    agent.tracking = Tracking::Partial;
    agent.inbound(last_header(Mode::Trial), &data(4_000, 9), Millis(0));
    agent.outbound(&returned(4_000, 77), Millis(1));
    let action = agent.inbound(last_header(Mode::Trial), &data(4_000, 9), Millis(2));
    assert_eq!(action, RETURNED);
}

/// Reply to agent 2 that the upstream has returned a packet of flow 4,000.
const RETURNED: Action = Action::ReplySearch(
    Hop {
        node: NodeId(2),
        incarnation: Incarnation(1),
        addr: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 2),
    },
    Flow {
        caller: SocketAddrV4::new(Ipv4Addr::new(10, 77, 0, 1), 4_000),
        service: SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), 80),
    },
    Reply::Returned,
);

/// Header of a packet that reaches an agent as the last of its chain, as the owner of its
/// flow according to another agent, in a search or as a trial.
fn last_header(mode: Mode) -> Header {
    Header {
        mode,
        ..search_header(2)
    }
}

// Guards against open flows that reach wrong upstreams again and again while the agent of
// their owner is away.
#[parameterized(
    at_the_end_of_the_chain = { Mode::Chain },
    as_the_announced_owner = { Mode::Owner },
    as_a_trial = { Mode::Trial },
)]
fn flow_that_the_upstream_returned_is_not_delivered_again(mode: Mode) {
    let mut agent = Agent::new(&[2]);
    agent.tracking = Tracking::Partial;
    if mode == Mode::Chain {
        agent.inbound(last_header(mode), &data(4_000, 9), Millis(0));
        agent.not_owned(2);
    }
    let action = agent.inbound(last_header(mode), &data(4_000, 9), Millis(200));
    let Action::Deliver(token) = action else {
        panic!("{action:?}");
    };
    agent.outbound(&returned(4_000, token), Millis(201));
    let action = agent.inbound(last_header(mode), &data(4_000, 9), Millis(400));
    assert!(!matches!(action, Action::Deliver(_)), "{action:?}");
}

// Guards against a reset of an open flow by an upstream that does not have it: a host
// without an upstream, or an upstream with the remains of an earlier copy of the SYN.
#[parameterized(
    at_the_end_of_the_chain = { Mode::Chain, Action::Drop(DropReason::NotTracked) },
    as_the_announced_owner = { Mode::Owner, Action::Drop(DropReason::NotTracked) },
    as_a_trial = { Mode::Trial, RETURNED },
)]
fn reset_of_an_untracked_flow_by_the_upstream_is_withheld(mode: Mode, expected: Action) {
    let mut agent = Agent::new(&[2]);
    agent.tracking = Tracking::Partial;
    if mode == Mode::Chain {
        agent.inbound(last_header(mode), &data(4_000, 9), Millis(0));
        agent.not_owned(2);
    }
    let action = agent.inbound(last_header(mode), &data(4_000, 9), Millis(200));
    assert!(matches!(action, Action::Deliver(_)), "{action:?}");
    let action = agent.outbound(&reset_by_upstream(4_000), Millis(201));
    assert_eq!(action, expected);
    assert!(agent.flows.entries().is_empty());
    let action = agent.inbound(last_header(mode), &data(4_000, 9), Millis(400));
    assert!(!matches!(action, Action::Deliver(_)), "{action:?}");
}

// Guards against packets of an open flow that reach several wrong upstreams while the agent
// of its owner is away: agents that are restarted one after the other may each be asked once.
#[test]
fn searches_hand_a_flow_to_fewer_than_three_wrong_upstreams() {
    let mut delivered = 0;
    for restarted in [2, 3, 4] {
        let mut agent = Agent::new(&[9]);
        agent.tracking = Tracking::Partial;
        let now = Millis(restarted * 1_000);
        let action = agent.inbound(search_header(9), &data(4_000, 9), now);
        delivered += u32::from(matches!(action, Action::Deliver(_)));
    }
    assert!(delivered < 3, "{delivered} wrong upstreams got a packet");
}

#[test]
fn flow_that_the_upstream_returned_is_delivered_after_a_new_syn() {
    let mut agent = Agent::new(&[2]);
    agent.tracking = Tracking::Partial;
    let action = agent.inbound(last_header(Mode::Trial), &data(4_000, 9), Millis(0));
    let Action::Deliver(token) = action else {
        panic!("{action:?}");
    };
    agent.outbound(&returned(4_000, token), Millis(1));
    agent.establish_flow(4_000, Millis(2));
    let action = agent.inbound(search_header(2), &data(4_000, ISN + 1), Millis(3));
    assert_eq!(action, Action::Deliver(0));
}

#[test]
fn agent_tracks_flows_from_packets_of_its_upstream() {
    let mut agent = Agent::new(&[2]);
    agent.tracking = Tracking::Partial;
    assert_eq!(agent.outbound(&answer(4_000), Millis(0)), Action::Answer);
    agent.tracking = Tracking::Complete;
    let action = agent.inbound(header(&[1]), &data(4_000, 9), Millis(1));
    assert_eq!(action, Action::Deliver(0));
}

// Guards against a search that stays open, and may end in a reset, although the owner has
// received the packet.
#[test]
fn owner_that_learns_of_a_flow_in_a_trial_announces_itself() {
    let mut agent = Agent::new(&[2, 3]);
    agent.tracking = Tracking::Partial;
    agent.inbound(last_header(Mode::Trial), &data(4_000, 9), Millis(0));
    assert!(agent.flows.take_notices().is_empty());
    agent.outbound(&answer(4_000), Millis(1));
    let announced = Message::Confirmed {
        owner: service_hop(1),
        flows: vec![flow(4_000)],
    };
    let notices = agent.flows.take_notices();
    assert!(notices.contains(&(hop(2), announced)), "{notices:?}");
}

fn bare_ack(caller: u16) -> Segment {
    Segment {
        len: 0,
        ..answer(caller)
    }
}

// Guards against a false owner that takes the packets of an open flow: an upstream also
// acknowledges a FIN of a flow that has ended there.
#[test]
fn acknowledgement_alone_does_not_make_a_flow_tracked() {
    let mut agent = Agent::new(&[2]);
    agent.tracking = Tracking::Partial;
    assert_eq!(agent.outbound(&bare_ack(4_000), Millis(0)), Action::Answer);
    assert!(agent.flows.entries().is_empty());
}

// Guards against a reset of an open flow by an upstream that took an earlier copy of its
// SYN and gives up on it.
#[parameterized(
    half_open = { true },
    forgotten = { false },
)]
fn reset_of_a_flow_that_was_not_opened_here_is_withheld(half_open: bool) {
    let mut agent = Agent::new(&[2]);
    if half_open {
        agent.inbound(header(&[1]), &syn(4_000), Millis(0));
        agent.outbound(&syn_ack(4_000), Millis(1));
    }
    let action = agent.outbound(&reset_by_upstream(4_000), Millis(500));
    assert_eq!(action, Action::Drop(DropReason::NotTracked));
    assert!(agent.flows.entries().is_empty());
}

#[test]
fn reset_of_an_open_flow_by_its_upstream_is_answered() {
    let mut agent = Agent::new(&[2]);
    agent.establish_flow(4_000, Millis(0));
    let action = agent.outbound(&reset_by_upstream(4_000), Millis(500));
    assert_eq!(action, Action::Answer);
}

// Guards against a reset of a flow that its caller opened elsewhere when an upstream that
// took an earlier copy of the SYN is lost.
#[test]
fn half_open_flow_of_a_failed_upstream_is_not_reset() {
    let mut agent = Agent::new(&[2]);
    agent.inbound(header(&[1]), &syn(4_000), Millis(0));
    agent.outbound(&syn_ack(4_000), Millis(1));
    let mut out = Vec::new();
    agent.flows.reset_all(&mut out);
    assert_eq!(out, []);
}

#[test]
fn flow_returned_by_its_upstream_is_reset() {
    let mut agent = Agent::new(&[2]);
    agent.establish_flow(4_000, Millis(0));
    let bounced = Segment {
        bounced: true,
        ..data(4_000, ISN + 1)
    };
    let action = agent.outbound(&bounced, Millis(1));
    assert_eq!(
        action,
        Action::Reset(flow(4_000), ISN + 1, ResetCause::Returned)
    );
}

#[test]
fn returned_syn_is_forwarded_to_the_next_hop() {
    let mut agent = Agent::new(&[2]);
    let action = agent.inbound(header(&[1, 2]), &syn(4_000), Millis(0));
    let Action::Deliver(token) = action else {
        panic!("{action:?}");
    };
    let bounced = Segment {
        bounced: true,
        token,
        ..syn(4_000)
    };
    let action = agent.outbound(&bounced, Millis(1));
    assert_eq!(next_hop(&action), Some(2));
    assert_eq!(agent.flows.entries().len(), 0);
}

#[test]
fn first_acknowledgement_selects_one_of_two_agents_that_accepted_the_syn() {
    let mut agent = Agent::new(&[2]);
    agent.inbound(header(&[1]), &syn(4_000), Millis(0));
    agent.outbound(&syn_ack(4_000), Millis(1));
    let action = agent.inbound(header(&[1, 2]), &data(4_000, ISN + 77), Millis(2));
    assert_eq!(next_hop(&action), Some(2));
}

#[test]
fn unanswered_syn_is_forwarded_and_the_upstream_probed() {
    let mut agent = Agent::new(&[2]);
    agent.inbound(header(&[1, 2]), &syn(4_000), Millis(0));
    assert_eq!(agent.tick(Millis(50)), []);
    let actions = agent.tick(Millis(700));
    assert_eq!(next_hop(&actions[0]), Some(2));
    assert_eq!(actions[1], Action::Probe);
    assert_eq!(agent.flows.entries().len(), 0);
}

#[parameterized(
    at_once = { 10 },
    much_later = { 5_000 },
)]
fn unresponsive_upstream_gets_no_new_flow(after: u64) {
    let mut agent = Agent::new(&[2]);
    agent.inbound(header(&[1, 2]), &syn(4_000), Millis(0));
    agent.tick(Millis(200));
    let now = Millis(200 + after);
    let action = agent.inbound(header(&[1, 2]), &syn(4_001), now);
    assert_eq!(next_hop(&action), Some(2));
}

#[test]
fn responsive_upstream_gets_new_flows_again() {
    let mut agent = Agent::new(&[2]);
    agent.inbound(header(&[1, 2]), &syn(4_000), Millis(0));
    agent.tick(Millis(200));
    agent.outbound(&answer(3_000), Millis(300));
    let action = agent.inbound(header(&[1, 2]), &syn(4_001), Millis(400));
    assert!(matches!(action, Action::Deliver(_)));
}

#[test]
fn closing_idle_flows_does_not_clear_suspicion() {
    let mut agent = Agent::new(&[2]);
    agent.inbound(header(&[1, 2]), &syn(4_000), Millis(0));
    agent.tick(Millis(200));
    let closing = Segment {
        fin: true,
        len: 0,
        ..answer(3_000)
    };
    agent.outbound(&closing, Millis(300));
    let action = agent.inbound(header(&[1, 2]), &syn(4_001), Millis(400));
    assert_eq!(next_hop(&action), Some(2));
}

#[test]
fn syn_copy_ignores_the_announced_owner() {
    let mut agent = Agent::new(&[2]);
    agent
        .flows
        .learn_owners(service_hop(2), &[flow(4_000)], false, Millis(0));
    let action = agent.inbound(header(&[1, 2]), &syn(4_000), Millis(200));
    assert!(matches!(action, Action::Deliver(_)));
}

#[test]
fn flows_of_a_failed_upstream_are_reset() {
    let mut agent = Agent::new(&[2]);
    agent.establish_flow(4_000, Millis(0));
    let mut out = Vec::new();
    agent.flows.reset_all(&mut out);
    assert_eq!(
        out,
        [Action::Reset(
            flow(4_000),
            ISN + 1,
            ResetCause::UpstreamLost
        )]
    );
    assert_eq!(agent.flows.load().busy(), 0);
}

#[parameterized(
    upstream_deregistered = { None, true, 0, true },
    shuts_down_while_its_upstream_runs = { Some(member::State::Ready), true, 3_000, false },
    does_not_return = { Some(member::State::Ready), true, 20_000, false },
    silent = { Some(member::State::Ready), false, 3_000, true },
)]
fn flow_is_reset_only_if_its_owner_is_gone(
    state: Option<member::State>,
    leaving: bool,
    silent_for: u64,
    reset: bool,
) {
    let mut agent = Agent::new(&[2, 3, 4]);
    agent
        .flows
        .learn_owners(service_hop(2), &[flow(4_000)], false, Millis(0));
    let last = roster::Entry {
        change: 1,
        leaving,
        ..entry(2, state)
    };
    agent
        .roster
        .merge(&last, roster::HEARTBEAT_PERIOD, true, Millis(0));
    let mut now = Millis(0);
    while now < Millis(silent_for) {
        now = now + Millis(400);
        let ready = Some(member::State::Ready);
        for other in [3, 4] {
            let entry = entry(other, ready);
            agent
                .roster
                .merge(&entry, roster::HEARTBEAT_PERIOD, true, now);
        }
        agent.roster.tick(now);
    }
    let action = agent.inbound(header(&[1]), &data(4_000, 9), now);
    if !reset {
        assert_eq!(next_hop(&action), Some(2));
        return;
    }
    assert_eq!(asked(&action), [2, 3, 4]);
    let settled = now + AFTER_SETTLING;
    let again = agent.inbound(header(&[1]), &data(4_000, 9), settled);
    assert_eq!(asked(&again), [2, 3, 4]);
    let live = entry(3, Some(member::State::Ready));
    agent
        .roster
        .merge(&live, roster::HEARTBEAT_PERIOD, true, settled);
    agent.not_owned(3);
    assert_eq!(agent.tick(settled), []);
    agent.not_owned(4);
    assert_eq!(
        agent.tick(settled),
        [Action::Reset(
            flow(4_000),
            9,
            ResetCause::Unowned(Some(NodeId(2)))
        )]
    );
}

// Guards against a reset of an open flow by an agent that knows only the claim of another
// agent that took an earlier copy of its SYN and is gone.
#[test]
fn flow_whose_announced_owner_is_gone_may_be_owned_by_another_agent() {
    let mut agent = Agent::new(&[2, 3]);
    agent
        .flows
        .learn_owners(service_hop(2), &[flow(4_000)], false, Millis(0));
    let gone = roster::Entry {
        change: 1,
        leaving: true,
        ..entry(2, None)
    };
    agent
        .roster
        .merge(&gone, roster::HEARTBEAT_PERIOD, true, Millis(0));
    let action = agent.inbound(header(&[1, 3]), &data(4_000, 9), Millis(1));
    assert_eq!(next_hop(&action), Some(3));
    agent
        .flows
        .learn_owners(service_hop(3), &[flow(4_000)], false, Millis(2));
    let action = agent.inbound(header(&[1]), &data(4_000, 9), Millis(3));
    assert_eq!(next_hop(&action), Some(3));
}

#[test]
fn new_home_of_a_flow_is_notified() {
    let mut agent = Agent::new(&[]);
    agent.establish_flow(4_000, Millis(0));
    assert!(agent.flows.take_notices().is_empty());
    let joined = entry(2, Some(member::State::Ready));
    agent
        .roster
        .merge(&joined, roster::HEARTBEAT_PERIOD, true, Millis(5));
    agent.tick(Millis(5));
    let notices = agent.flows.take_notices();
    assert_eq!(notices.len(), 1);
    assert_eq!(notices[0].0, hop(2));
}

// Guards against resets of an open flow by an agent that knows only a former claim to it,
// once the agent that made the claim is gone.
#[test]
fn withdrawn_announcement_is_forgotten() {
    let mut agent = Agent::new(&[2, 3]);
    agent
        .flows
        .learn_owners(service_hop(2), &[flow(4_000)], false, Millis(0));
    agent.not_owned(2);
    let action = agent.inbound(header(&[1, 3]), &data(4_000, 9), Millis(1));
    assert_eq!(next_hop(&action), Some(3));
}

#[test]
fn announcement_of_another_agent_is_not_withdrawn() {
    let mut agent = Agent::new(&[2, 3]);
    agent
        .flows
        .learn_owners(service_hop(2), &[flow(4_000)], false, Millis(0));
    agent.not_owned(3);
    let action = agent.inbound(header(&[1, 3]), &data(4_000, 9), Millis(1));
    assert_eq!(next_hop(&action), Some(2));
}

// Guards against stale claims of agents that took an earlier copy of a SYN than the one
// whose flow the caller opened.
#[parameterized(
    unanswered = { false, 200 },
    never_confirmed = { true, 3_000 },
)]
fn announcement_of_a_flow_that_was_not_opened_here_is_withdrawn(answered: bool, after: u64) {
    let mut agent = Agent::new(&[2]);
    agent.inbound(header(&[1]), &syn(4_000), Millis(0));
    if answered {
        agent.outbound(&syn_ack(4_000), Millis(1));
    }
    let announced = agent.flows.take_notices();
    agent.tick(Millis(after));
    let withdrawn = Message::Unowned {
        node: NodeId(1),
        flows: vec![flow(4_000)],
    };
    let homes: Vec<_> = announced.into_iter().map(|(home, _)| home).collect();
    assert_eq!(homes, [hop(2)]);
    assert_eq!(agent.flows.take_notices(), [(hop(2), withdrawn)]);
}

#[test]
fn announcement_of_a_returned_syn_is_withdrawn() {
    let mut agent = Agent::new(&[2]);
    let action = agent.inbound(header(&[1, 2]), &syn(4_000), Millis(0));
    let Action::Deliver(token) = action else {
        panic!("{action:?}");
    };
    agent.flows.take_notices();
    let bounced = Segment {
        bounced: true,
        token,
        ..syn(4_000)
    };
    agent.outbound(&bounced, Millis(1));
    let withdrawn = Message::Unowned {
        node: NodeId(1),
        flows: vec![flow(4_000)],
    };
    assert_eq!(agent.flows.take_notices(), [(hop(2), withdrawn)]);
}

#[test]
fn packet_for_another_agent_or_service_is_not_delivered() {
    let mut agent = Agent::new(&[2]);
    let mut misaddressed = header(&[1]);
    misaddressed.hops[0].service = ServiceId(8);
    let action = agent.inbound(misaddressed, &syn(4_000), Millis(0));
    assert_eq!(action, Action::Drop(DropReason::Target));
    let action = agent.inbound(header(&[2]), &syn(4_000), Millis(0));
    assert_eq!(action, Action::Drop(DropReason::Target));
}

// Guards against feeds that stay silent after all agents were killed at once: once all are back,
// the upstream of one of them has the flow. Agents that join may have it as well.
#[parameterized(
    all_are_back = { 4_000, true },
    an_agent_has_just_joined = { 2_100, false },
)]
fn packet_goes_to_all_upstreams_only_if_all_agents_have_lost_their_tables(now: u64, all: bool) {
    let mut agent = Agent::new(&[]);
    agent.tracking = Tracking::Lost;
    let ready = Some(member::State::Ready);
    for node in [2, 3, 4] {
        let joined = entry(node, ready);
        agent
            .roster
            .merge(&joined, roster::HEARTBEAT_PERIOD, true, Millis(2_000));
    }
    let heard = Millis(now);
    agent
        .roster
        .merge(&balancer(), roster::HEARTBEAT_PERIOD, true, heard);
    for round in 0..4 {
        agent.inbound(header(&[1]), &data(4_000, 9), Millis(2_000 + round * 20));
        for node in [2, 3, 4] {
            let run = Incarnation(1);
            agent
                .flows
                .record_reply(NodeId(node), run, &flow(4_000), Reply::Lost);
        }
        agent.decide(Millis(2_000 + round * 20), |flows, context| {
            flows.continue_search(context, &flow(4_000))
        });
    }
    agent.inbound(header(&[1]), &data(4_000, 9), Millis(now));
    let action = agent.inbound(header(&[1]), &data(4_000, 9), Millis(now + 100));
    let reached = asked(&action);
    assert_eq!(!reached.is_empty(), all, "{action:?}");
    if let Action::Search(header, _) = &action {
        assert_eq!(header.mode, Mode::Trial);
        assert!(reached.contains(&1));
    }
}

// Guards against an upstream that looks full for seconds: the repetition of a request that was
// answered before its flow was learned is no new request.
#[test]
fn repeated_request_of_a_learned_flow_is_no_load() {
    let mut agent = Agent::new(&[2]);
    agent.tracking = Tracking::Partial;
    let request = data(4_000, ISN + 1);
    agent.inbound(last_header(Mode::Trial), &request, Millis(0));
    let end = request.seq + 10;
    let response = Segment {
        ack: end,
        ..answer(4_000)
    };
    agent.outbound(&response, Millis(40));
    let action = agent.inbound(header(&[1]), &request, Millis(50));
    assert_eq!(action, Action::Deliver(0));
    assert_eq!(agent.flows.load().busy(), 0);
    let next = Segment {
        seq: end,
        ..request
    };
    agent.inbound(header(&[1]), &next, Millis(60));
    assert_eq!(agent.flows.load().busy(), 1);
}

// Guards against a reset of an open flow whose claim reached the other agents after they had
// sent the restarted owner what they knew.
#[test]
fn packet_that_another_agent_forwards_to_its_owner_is_delivered_after_a_recovery() {
    let mut agent = Agent::new(&[2]);
    agent.tracking = Tracking::Recovered;
    let action = agent.inbound(last_header(Mode::Owner), &data(4_000, 9), Millis(0));
    assert!(matches!(action, Action::Deliver(_)), "{action:?}");
    agent.outbound(&answer(4_000), Millis(40));
    let action = agent.inbound(header(&[1]), &data(4_000, 9), Millis(50));
    assert_eq!(action, Action::Deliver(0));
    let action = agent.inbound(search_header(2), &data(4_001, 9), Millis(60));
    let reply = Action::ReplySearch(hop(2), flow(4_001), Reply::NotOwned);
    assert_eq!(action, reply);
}

// Guards against a reset of an own flow that was searched for before it was recovered.
#[test]
fn recovered_flow_is_not_reset_by_an_earlier_search() {
    let mut agent = Agent::new(&[2]);
    agent.tracking = Tracking::Recovering;
    agent.inbound(header(&[1]), &data(4_000, 9), Millis(50));
    agent.not_owned(2);
    let owned = OwnedFlow {
        flow: flow(4_000),
        confirmed: true,
    };
    agent.decide(Millis(60), |flows, context| flows.adopt(context, &[owned]));
    agent.tracking = Tracking::Recovered;
    let now = AFTER_SETTLING;
    agent
        .roster
        .merge(&balancer(), roster::HEARTBEAT_PERIOD, true, now);
    assert_eq!(agent.tick(now), []);
}

// Guards against resets with a number that the caller does not take: a flow that was recovered
// from another agent's claim has none until a packet of it passes.
#[parameterized(
    idle = { &[], &[] },
    answered = { &[answer(4_000)], &[ISN + 1] },
)]
fn recovered_flow_of_a_lost_upstream_is_reset_only_with_a_known_number(
    outbound: &[Segment],
    expected: &[u32],
) {
    let mut agent = Agent::new(&[2]);
    agent.tracking = Tracking::Recovering;
    let owned = OwnedFlow {
        flow: flow(4_000),
        confirmed: true,
    };
    agent.decide(Millis(0), |flows, context| flows.adopt(context, &[owned]));
    for segment in outbound {
        agent.outbound(segment, Millis(10));
    }
    let mut out = Vec::new();
    agent.flows.reset_all(&mut out);
    let numbers: Vec<_> = out
        .iter()
        .map(|action| match action {
            Action::Reset(_, seq, ResetCause::UpstreamLost) => *seq,
            _ => panic!("{action:?}"),
        })
        .collect();
    assert_eq!(numbers, expected);
}

/// Adopts flow 4,000 from a claim that was not confirmed.
fn adopt_unconfirmed(agent: &mut Agent) {
    agent.tracking = Tracking::Recovering;
    let owned = OwnedFlow {
        flow: flow(4_000),
        confirmed: false,
    };
    agent.decide(Millis(0), |flows, context| flows.adopt(context, &[owned]));
    agent.tracking = Tracking::Partial;
}

// Guards against a recovered flow that nobody knows any more when its agent is killed again: its
// homes forget a claim that is neither confirmed nor repeated.
#[test]
fn claim_to_an_idle_recovered_flow_is_repeated() {
    let mut agent = Agent::new(&[2, 3]);
    adopt_unconfirmed(&mut agent);
    let mut last = Millis(0);
    for now in (100..20_000).step_by(100).map(Millis) {
        agent.tick(now);
        let is_claim = |(_, message): &(_, Message)| matches!(message, Message::Own { .. });
        if agent.flows.take_notices().iter().any(is_claim) {
            last = now;
        }
        assert!(now.since(last) < Millis(2_500), "no claim since {last:?}");
    }
}

// Guards against homes that forget a young flow while its agent is away: the run that claimed it
// has ended without a word, and can neither confirm nor withdraw the claim.
#[parameterized(
    goes_on = { true, 1, false },
    is_silent = { false, 1, true },
    has_restarted = { true, 2, true },
)]
fn unconfirmed_claim_is_forgotten_only_if_the_run_of_its_owner(
    heard: bool,
    incarnation: u64,
    kept: bool,
) {
    let mut agent = Agent::new(&[2, 3, 4]);
    let owner = service_hop(2);
    agent
        .flows
        .learn_owners(owner, &[flow(4_000)], false, Millis(0));
    for now in (0..6_000).step_by(400).map(Millis) {
        let peer = |node| entry(node, Some(member::State::Ready));
        for node in [3, 4] {
            agent
                .roster
                .merge(&peer(node), roster::HEARTBEAT_PERIOD, true, now);
        }
        if heard {
            let owner = roster::Entry {
                incarnation: Incarnation(incarnation),
                ..peer(2)
            };
            agent
                .roster
                .merge(&owner, roster::HEARTBEAT_PERIOD, true, now);
        }
        agent.roster.tick(now);
        agent.tick(now);
    }
    assert_eq!(agent.flows.redirects() == 1, kept);
}
