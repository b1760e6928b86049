//! One balancer, the agents, and the upstreams beside them.

use std::{
    collections::VecDeque,
    net::{Ipv4Addr, SocketAddrV4},
};

use cassiacross::{
    clock::Millis,
    flow_recovery,
    header::Hop,
    ident::{DomainId, Incarnation, NodeId, ServiceId},
    member,
    packet::Flow,
    protocol::{self, ServiceHop},
    roster, routing,
    segment::Segment,
    steering::{self, Action},
};

use super::{Agenda, Event, MILLI, Pattern, Request, caller, requests, scale};

const SERVICE: ServiceId = ServiceId(7);
const DOMAIN: DomainId = DomainId(1);
const SEED: u64 = 11;
/// Delay of a packet between two nodes.
const HOP_DELAY: u64 = MILLI;
const HANDSHAKE: u64 = 3;
const TICK: u64 = 50 * MILLI;
/// Time between the starts of two nodes after a loss of power.
const START_GAP: u64 = 15 * MILLI;
/// Time after which a started node is known to the others.
const DISCOVERY: u64 = 40 * MILLI;
const ISN: u32 = 5_000;
const BALANCER: u16 = 60_000;

struct Upstream {
    running: usize,
    queue: VecDeque<(Segment, u64)>,
    started: u64,
}

struct Agent {
    flows: steering::Flows,
    upstream: Upstream,
    slowness: f64,
    /// Number of the run, `None` without power.
    run: Option<u32>,
    runs: u32,
}

/// The fleet of a pattern.
pub struct Fleet {
    pattern: Pattern,
    requests: Vec<Request>,
    config: routing::Config,
    tables: routing::Tables,
    agents: Vec<Agent>,
    /// Membership as each node sees it: agents that have been up for [`DISCOVERY`].
    roster: roster::Roster,
    balancer_up: u64,
    known: Vec<usize>,
}

fn node_entry(node: u16, incarnation: u32, upstream: bool) -> roster::Entry {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, node);
    roster::Entry {
        node: NodeId(u64::from(node)),
        incarnation: Incarnation(u64::from(incarnation)),
        change: 0,
        domain: DOMAIN,
        control: address,
        leaving: false,
        deaf: false,
        upstream: upstream.then_some(roster::Upstream {
            service: SERVICE,
            packets: address,
            state: Some(member::State::Ready),
            step: 40,
        }),
    }
}

fn node_of(agent: usize) -> u16 {
    u16::try_from(agent + 1).expect("agents are few")
}

fn hop(agent: usize, run: u32) -> ServiceHop {
    let entry = node_entry(node_of(agent), run, true);
    ServiceHop {
        service: SERVICE,
        hop: Hop {
            node: entry.node,
            incarnation: entry.incarnation,
            addr: entry.control,
        },
    }
}

fn config(pattern: &Pattern) -> routing::Config {
    let routes = pattern
        .kinds
        .iter()
        .enumerate()
        .map(|(index, kind)| routing::Route {
            address: caller::service_address(index),
            targets: vec![routing::Target {
                service: SERVICE,
                weight: 1,
            }],
            former: Vec::new(),
            class: kind.class,
            target: Millis(kind.target),
            timeout: pattern.hold.then_some(Millis(kind.deadline)),
        });
    routing::Config {
        version: 1,
        routes: routes.collect(),
        limits: Vec::new(),
    }
}

impl Fleet {
    pub fn new(pattern: &Pattern, agenda: &mut Agenda) -> Self {
        let agents = pattern
            .slowness
            .iter()
            .enumerate()
            .map(|(index, slowness)| Agent {
                flows: steering::Flows::new(hop(index, 0)),
                upstream: Upstream {
                    running: 0,
                    queue: VecDeque::new(),
                    started: 0,
                },
                slowness: *slowness,
                run: None,
                runs: 0,
            });
        let agents: Vec<_> = agents.collect();
        for agent in 0..agents.len() {
            agenda.push(0, Event::Start { agent });
        }
        if let Some((at, down)) = pattern.power_off {
            agenda.push(at * MILLI, Event::PowerOff);
            for agent in 0..agents.len() {
                let gap = START_GAP * agent as u64;
                agenda.push((at + down) * MILLI + gap, Event::Start { agent });
            }
        }
        Self {
            requests: requests(pattern),
            config: config(pattern),
            tables: routing::Tables::default(),
            agents,
            roster: empty_roster(),
            balancer_up: 0,
            known: Vec::new(),
            pattern: pattern.clone(),
        }
    }

    /// Forwards a caller's packet as a balancer.
    pub fn route(&mut self, segment: &Segment, now: u64, agenda: &mut Agenda) {
        if now < self.balancer_up {
            return;
        }
        self.refresh(now);
        let config = Some(&self.config);
        let header = routing::build_header(config, &mut self.tables, &self.roster, SEED, segment);
        if let Ok(header) = header {
            send(header, *segment, now + caller::DELAY, agenda);
        }
    }

    /// Delivers a caller's packet of an open flow to the agent of its upstream.
    pub fn deliver(&mut self, (agent, segment): (usize, Segment), now: u64, agenda: &mut Agenda) {
        let header = protocol::Header {
            version: protocol::VERSION,
            mode: protocol::Mode::Owner,
            origin: DOMAIN,
            hops: vec![hop(agent, self.agents[agent].runs)],
            max_wait: Millis(0),
            best: None,
            requester: None,
            route: protocol::RouteInfo::default(),
        };
        send(header, segment, now + caller::DELAY, agenda);
    }

    pub fn inbound(
        &mut self,
        agent: usize,
        header: protocol::Header,
        segment: &Segment,
        now: u64,
        agenda: &mut Agenda,
    ) {
        if self.agents[agent].run.is_none() {
            return;
        }
        self.refresh(now);
        let (request, attempt) = caller::request_of(segment.from);
        let bytes = [request, attempt as usize, segment.ack as usize].map(usize::to_le_bytes);
        let action = self.decide(agent, now, |flows, context| {
            flows.inbound(context, header, segment, bytes.as_flattened())
        });
        self.perform(agent, action, segment, now, agenda);
    }

    /// Handles a packet that the upstream sent.
    pub fn outbound(
        &mut self,
        agent: usize,
        run: u32,
        segment: &Segment,
        now: u64,
        agenda: &mut Agenda,
    ) {
        if self.agents[agent].run != Some(run) {
            return;
        }
        let action = self.decide(agent, now, |flows, context| {
            flows.outbound(context, segment, b"packet")
        });
        self.perform(agent, action, segment, now, agenda);
        let mut actions = Vec::new();
        self.decide(agent, now, |flows, context| {
            flows.admit_waiting(context, &mut actions);
        });
        self.perform_late(agent, actions, now, agenda);
    }

    /// Carries out decisions on SYNs that arrived before.
    fn perform_late(&mut self, agent: usize, actions: Vec<Action>, now: u64, agenda: &mut Agenda) {
        for action in actions {
            match action {
                Action::Resend(header, bytes) => {
                    let syn = repeated_syn(&self.requests, &bytes);
                    send(header, syn, now, agenda);
                }
                Action::DeliverHeld(_, bytes) => {
                    let syn = repeated_syn(&self.requests, &bytes);
                    self.arrive(agent, syn, now, agenda);
                }
                Action::Reset(flow, ..) => Self::reset(flow, now, agenda),
                _ => {}
            }
        }
    }

    fn reset(flow: Flow, now: u64, agenda: &mut Agenda) {
        let segment = Segment {
            from: flow.service,
            to: flow.caller,
            syn: false,
            syn_ack: false,
            fin: false,
            reset: true,
            bounced: false,
            token: 0,
            seq: 0,
            ack: 0,
            len: 0,
        };
        let event = Event::Caller {
            segment,
            from: None,
        };
        agenda.push(now + caller::DELAY, event);
    }

    /// Ends a request on an upstream, answers it and starts the next one.
    pub fn finish(
        &mut self,
        agent: usize,
        run: u32,
        segment: &Segment,
        now: u64,
        agenda: &mut Agenda,
    ) {
        if self.agents[agent].run != Some(run) {
            return;
        }
        let reply = Segment {
            from: segment.to,
            to: segment.from,
            seq: ISN + 1,
            len: 100,
            fin: true,
            ..*segment
        };
        agenda.push(
            now,
            Event::Upstream {
                agent,
                run,
                segment: reply,
            },
        );
        let upstream = &mut self.agents[agent].upstream;
        upstream.running -= 1;
        if let Some((next, _)) = upstream.queue.pop_front() {
            self.run(agent, next, now, agenda);
        }
    }

    pub fn start(&mut self, agent: usize, now: u64, agenda: &mut Agenda) {
        let slots = self.pattern.slots;
        let state = &mut self.agents[agent];
        state.runs += 1;
        state.run = Some(state.runs);
        state.flows = steering::Flows::new(hop(agent, state.runs));
        state.flows.load_mut().set_slots(slots);
        state.upstream = Upstream {
            running: 0,
            queue: VecDeque::new(),
            started: now,
        };
        agenda.push(now + TICK, Event::Tick { agent });
        self.balancer_up = self.balancer_up.min(now);
    }

    pub fn power_off(&mut self) {
        for agent in &mut self.agents {
            agent.run = None;
        }
        self.balancer_up = u64::MAX;
        self.roster = empty_roster();
        self.known.clear();
        self.tables = routing::Tables::default();
    }

    pub fn tick(&mut self, agent: usize, now: u64, agenda: &mut Agenda) {
        if self.agents[agent].run.is_none() || now > self.pattern.length * MILLI * 2 {
            return;
        }
        agenda.push(now + TICK, Event::Tick { agent });
        let mut actions = Vec::new();
        self.decide(agent, now, |flows, context| {
            flows.tick(context, &mut actions);
        });
        self.perform_late(agent, actions, now, agenda);
    }

    /// Adds agents that have been up long enough to the membership table.
    fn refresh(&mut self, now: u64) {
        let first = self.known.is_empty();
        for agent in 0..self.agents.len() {
            let state = &self.agents[agent];
            let up = state.run.is_some() && now >= state.upstream.started + DISCOVERY;
            if (up || (first && state.run.is_some())) && !self.known.contains(&agent) {
                let entry = node_entry(node_of(agent), state.runs, true);
                let period = roster::HEARTBEAT_PERIOD;
                self.roster.merge(&entry, period, true, Millis(now / MILLI));
                self.known.push(agent);
            }
        }
        self.tables.refresh(&self.roster);
    }

    fn decide<T>(
        &mut self,
        agent: usize,
        now: u64,
        run: impl FnOnce(&mut steering::Flows, &mut steering::Context<'_>) -> T,
    ) -> T {
        let mut context = steering::Context {
            accepts: true,
            tracking: flow_recovery::Tracking::Complete,
            slow_start: &mut cassiacross::slow_start::SlowStart::new(None),
            chains: self.tables.chains(SERVICE, &self.roster),
            roster: &self.roster,
            seed: SEED,
            now: Millis(now / MILLI),
        };
        run(&mut self.agents[agent].flows, &mut context)
    }

    fn perform(
        &mut self,
        agent: usize,
        action: Action,
        segment: &Segment,
        now: u64,
        agenda: &mut Agenda,
    ) {
        let back = now + caller::DELAY;
        match action {
            Action::Deliver(_) => self.arrive(agent, *segment, now, agenda),
            Action::Send(header) => send(header, *segment, now, agenda),
            Action::Answer => {
                let segment = *segment;
                agenda.push(
                    back,
                    Event::Caller {
                        segment,
                        from: Some(agent),
                    },
                );
            }
            Action::Reset(flow, ..) => Self::reset(flow, now, agenda),
            Action::Hold
            | Action::Drop(_)
            | Action::Search(..)
            | Action::ReplySearch(..)
            | Action::ReplyOwner(..)
            | Action::DeliverHeld(..)
            | Action::Resend(..)
            | Action::Probe => {}
        }
    }

    /// Takes a packet at the upstream: accepts a flow, or starts, queues or sheds a
    /// request.
    fn arrive(&mut self, agent: usize, segment: Segment, now: u64, agenda: &mut Agenda) {
        let Some(run) = self.agents[agent].run else {
            return;
        };
        if segment.syn {
            let reply = Segment {
                from: segment.to,
                to: segment.from,
                syn: false,
                syn_ack: true,
                seq: ISN,
                ..segment
            };
            agenda.push(
                now + HANDSHAKE,
                Event::Upstream {
                    agent,
                    run,
                    segment: reply,
                },
            );
            return;
        }
        let slots = self.pattern.slots as usize;
        let upstream = &mut self.agents[agent].upstream;
        if upstream.running < slots {
            self.run(agent, segment, now, agenda);
        } else if upstream.queue.len() < self.pattern.queue {
            upstream.queue.push_back((segment, now));
        }
    }

    fn run(&mut self, agent: usize, segment: Segment, now: u64, agenda: &mut Agenda) {
        let (request, _) = caller::request_of(segment.from);
        let (cold, factor) = self.pattern.cold;
        let state = &mut self.agents[agent];
        let Some(run) = state.run else {
            return;
        };
        let is_cold = now < state.upstream.started + cold * MILLI;
        let factor = state.slowness * if is_cold { factor } else { 1.0 };
        let work = scale(self.requests[request].work, factor);
        state.upstream.running += 1;
        agenda.push(
            now + work,
            Event::Finished {
                agent,
                run,
                segment,
            },
        );
    }
}

/// Sends a packet to the first hop of its header.
fn send(header: protocol::Header, segment: Segment, now: u64, agenda: &mut Agenda) {
    let node = usize::try_from(header.hops[0].hop.node.0).expect("nodes are few");
    let agent = node - 1;
    agenda.push(
        now + HOP_DELAY,
        Event::Agent {
            agent,
            header,
            segment,
        },
    );
}

fn empty_roster() -> roster::Roster {
    let balancer = node_entry(BALANCER, 1, false);
    let mut roster = roster::Roster::new(node_entry(BALANCER + 1, 1, false), Millis(0));
    roster.merge(&balancer, roster::HEARTBEAT_PERIOD, true, Millis(0));
    roster
}

/// Restores a SYN from the bytes under which the model passes it to an agent.
fn repeated_syn(requests: &[Request], bytes: &[u8]) -> Segment {
    let number = |at: usize| {
        let bytes = bytes[at * 8..at * 8 + 8]
            .try_into()
            .expect("a number has 8 bytes");
        usize::from_le_bytes(bytes)
    };
    let (request, attempt, copy) = (number(0), number(1), number(2));
    let attempt = u32::try_from(attempt).expect("attempts are few");
    Segment {
        syn: true,
        ack: u32::try_from(copy).expect("copies are few"),
        ..caller::segment(request, attempt, requests[request].kind)
    }
}
