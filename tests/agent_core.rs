//! State machine of a pass-through agent: reports, evacuations and cold upstreams.

use std::net::{Ipv4Addr, SocketAddrV4};

use cassiacross::{
    agent_core::{AgentCore, Output, Settings},
    clock::Millis,
    evacuation::Evacuations,
    flow_recovery::{self, Tracking},
    header::Hop,
    ident::{DomainId, Incarnation, NodeId, ServiceId},
    member,
    platform::Position,
    protocol::{self, Header, Heartbeat, Message, Mode, ServiceHop},
    roster, routing,
    segment::{Codec, Segment},
    slow_start, status, telemetry,
};
use yare::parameterized;

const SERVICE: &str = "ledger";
const DOMAIN: &str = "north";

fn addr(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

/// Each packet is a SYN of the caller whose port it holds.
const CODEC: Codec = Codec {
    parse: |bytes| {
        Ok(Segment {
            from: addr(u16::from(bytes[0]) + 1_000),
            to: addr(443),
            syn: true,
            syn_ack: false,
            fin: false,
            reset: false,
            bounced: false,
            token: 0,
            seq: 1,
            ack: 0,
            len: 0,
        })
    },
    stamp: |_, _| {},
    reset: |_, _| vec![0],
};

fn agent(first_start: bool) -> AgentCore {
    let settings = Settings {
        name: "ledger-1".to_owned(),
        domain: DOMAIN.to_owned(),
        service: SERVICE.to_owned(),
        packets: addr(1),
        outbound: addr(1),
        upstream: addr(1),
        seeds: Vec::new(),
        secret: String::new(),
        report_period: Millis(1_200),
        first_start,
        grace: Millis(6_000),
        link_mbps: 1_000.0,
        adaptive_limit: false,
        slow_start: Some(slow_start::Tolerance {
            factor: 1.5,
            flows: 5.0,
        }),
    };
    let me = settings.starting_entry();
    let telemetry = telemetry::Telemetry::new();
    AgentCore::new(settings, me, CODEC, 1, telemetry, Millis(0))
}

fn report(born: u64, seq: u64, cold: u64) -> status::Report {
    status::Report {
        id: format!("run-{born}"),
        born: Millis(born),
        seq,
        service: ServiceId::of(SERVICE),
        slots: 200,
        state: member::State::Ready,
        cold: Millis(cold),
    }
}

/// Heartbeat of a balancer that knows these evacuated domains.
fn heartbeat(revision: u64, domains: &[&str]) -> Message {
    let domains = domains.iter().map(|name| DomainId::of(name)).collect();
    Message::Beat(Heartbeat {
        entry: roster::Entry {
            node: NodeId(9),
            incarnation: Incarnation(1),
            change: 0,
            domain: DomainId::of("south"),
            control: addr(9),
            leaving: false,
            deaf: false,
            upstream: None,
        },
        period: Millis(400),
        config: 0,
        evacuations: Evacuations::at(Position { era: 0, revision }, domains),
    })
}

/// Offers a new flow. Returns whether the upstream gets it.
fn offer(agent: &mut AgentCore, caller: u8, now: u64) -> bool {
    let own = agent.roster().me().hop().unwrap();
    let next = Hop {
        node: NodeId(77),
        ..own
    };
    let hops = [own, next].map(|hop| ServiceHop {
        service: ServiceId::of(SERVICE),
        hop,
    });
    let header = Header {
        version: protocol::VERSION,
        mode: Mode::Chain,
        origin: DomainId::of(DOMAIN),
        hops: hops.to_vec(),
        max_wait: Millis(100),
        best: None,
        requester: None,
        route: protocol::RouteInfo::default(),
    };
    agent.handle_inbound(header, vec![caller], Millis(now));
    let outputs = agent.take_outputs();
    outputs
        .iter()
        .any(|output| matches!(output, Output::Deliver(_)))
}

// Guards against an agent that believes to know all flows, because a late report of an earlier
// run made it take the running upstream for one that has just started.
#[test]
fn late_report_of_an_earlier_run_does_not_complete_the_flow_table() {
    let mut agent = agent(false);
    let wall = Millis(900_000);
    agent.handle_report(report(100_000, 40, 0), wall, Millis(10));
    agent.handle_report(report(200_000, 30, 0), wall, Millis(20));
    assert_ne!(agent.tracking(), Tracking::Complete);
}

#[test]
fn run_that_replaces_a_followed_one_has_no_unknown_flows() {
    let mut agent = agent(false);
    let wall = Millis(900_000);
    agent.handle_report(report(100_000, 40, 0), wall, Millis(10));
    agent.handle_report(report(100_000, 41, 0), wall, Millis(1_210));
    agent.handle_report(report(200_000, 1, 0), wall, Millis(2_000));
    assert_eq!(agent.tracking(), Tracking::Complete);
}

// Guards against new flows in an evacuated domain that a balancer without knowledge of it sends.
#[test]
fn agent_of_an_evacuated_domain_passes_new_flows_on() {
    let mut agent = agent(true);
    agent.handle_report(report(1, 1, 0), Millis(2), Millis(10));
    assert!(offer(&mut agent, 1, 20));
    agent.handle_message(addr(9), heartbeat(5, &[DOMAIN]), Millis(30));
    assert!(!offer(&mut agent, 2, 40));
    agent.handle_message(addr(9), heartbeat(6, &[]), Millis(50));
    assert!(offer(&mut agent, 3, 60));
}

/// Sends the agent a configuration that limits cold upstreams of the service to ten flows a
/// second.
fn limit_cold_upstreams(agent: &mut AgentCore, now: u64) {
    let config = routing::Config {
        version: 3,
        routes: Vec::new(),
        limits: vec![routing::ServiceLimit {
            service: ServiceId::of(SERVICE),
            cold_rate: 10.0,
        }],
    };
    agent.apply_config(config);
    agent.tick(Millis(now));
}

// Guards against a rush to upstreams that cooled down while their domain was evacuated, before
// they have reported it.
#[test]
fn upstream_is_taken_for_cold_when_its_evacuation_ends() {
    let mut agent = agent(true);
    limit_cold_upstreams(&mut agent, 5);
    agent.handle_report(report(1, 1, 0), Millis(2), Millis(10));
    agent.handle_message(addr(9), heartbeat(5, &[DOMAIN]), Millis(30));
    agent.tick(Millis(50));
    agent.handle_message(addr(9), heartbeat(6, &[]), Millis(1_000));
    let accepted = (0..100).filter(|caller| offer(&mut agent, *caller, 1_001 + u64::from(*caller)));
    assert!(accepted.count() <= 6);
    agent.handle_report(report(1, 2, 0), Millis(2), Millis(1_200));
    let accepted = (100..150).filter(|caller| offer(&mut agent, *caller, 1_210));
    assert_eq!(accepted.count(), 50);
}

// Guards against searches that wait for an agent whose upstream ended before the agent started.
#[test]
fn agent_that_stops_without_having_heard_of_an_upstream_asks_whether_one_listens() {
    let mut agent = agent(false);
    agent.stop(Millis(100));
    assert!(agent.take_outputs().contains(&Output::Probe));
    agent.handle_probe_result(false, Millis(101));
    let upstream = agent.roster().me().upstream.unwrap();
    assert_eq!(upstream.state, None);
}

/// Settles an agent that has heard of a balancer and of one other agent, which is as new.
fn settle_beside_a_new_agent(agent: &mut AgentCore) {
    let other = roster::Entry {
        node: NodeId(77),
        incarnation: Incarnation(1),
        control: addr(7),
        ..agent.roster().me().clone()
    };
    let beat = Message::Beat(Heartbeat {
        entry: other,
        period: Millis(400),
        config: 0,
        evacuations: Evacuations::default(),
    });
    for now in (50..1_500).step_by(50).map(Millis) {
        agent.handle_message(addr(9), heartbeat(1, &[]), now);
        agent.handle_message(addr(7), beat.clone(), now);
        agent.tick(now);
        let page = flow_recovery::Page {
            node: NodeId(77),
            incarnation: Incarnation(1),
            after: None,
            flows: Vec::new(),
            more: false,
            uptime: now,
            predecessor: None,
            crashes: 0,
        };
        agent.handle_message(addr(7), Message::OwnedFlows(page), now);
    }
}

// Guards against resets of open flows after a kill of all processes soon after their upstreams
// had started: an upstream whose report was acknowledged may have flows.
#[parameterized(
    unacknowledged = { 4, 90, Tracking::Recovered },
    acknowledged = { 2, 1_210, Tracking::Lost },
)]
fn young_upstream_has_no_unknown_flows_unless_it_was_acknowledged(
    seq: u64,
    age: u64,
    expected: Tracking,
) {
    let mut agent = agent(false);
    agent.handle_report(report(100_000, seq, 0), Millis(100_000 + age), Millis(10));
    settle_beside_a_new_agent(&mut agent);
    assert_eq!(agent.tracking(), expected);
}
