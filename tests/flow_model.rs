//! Ownership of flows among agents that are restarted, removed and added: a seeded model that
//! drives the agents' state machines with queued messages and a counted time.
//!
//! No flow is reset while its upstream lives, and at most two wrong upstreams get packets of
//! one flow. `FLOW_MODEL_SEEDS` sets the number of seeds.

use std::{
    collections::BTreeMap,
    env,
    net::{Ipv4Addr, SocketAddrV4},
};

use cassiacross::{
    agent_core::{AgentCore, Output, Settings},
    clock::Millis,
    ident::{Incarnation, ServiceId},
    member,
    packet::Flow,
    peer_sync, protocol, routing,
    segment::{Codec, Error, Segment},
    status, telemetry,
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use yare::parameterized;

const SERVICE: &str = "ledger";
const TICK: Millis = Millis(50);
const SEED: u64 = 11;
const BALANCERS: u16 = 2;
/// Time between two packets of one flow.
const PAUSE: std::ops::Range<u64> = 150..6_000;
/// Time after which a caller repeats its first packet, in milliseconds.
const REPETITION: u64 = 200;
/// Time for which packets of a flow may be at wrong upstreams only, after kills: agents that have
/// all lost their tables try all of their upstreams at once.
const REORDERING: Millis = Millis(2_000);
const DEFAULT_SEEDS: u64 = 150;

fn addr(node: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, node)
}

/// Packets are their flags and caller's port; every flow has the same service address.
const CODEC: Codec = Codec {
    parse,
    stamp: |bytes, token| bytes[4..8].copy_from_slice(&token.to_le_bytes()),
    reset: |flow, _| vec![RESET, 0, port(flow)[0], port(flow)[1], 0, 0, 0, 0],
};
const SYN: u8 = 1;
const SYN_ACK: u8 = 2;
const DATA: u8 = 3;
const ANSWER: u8 = 4;
const RETURNED: u8 = 5;
const RESET: u8 = 6;
const ISN: u32 = 70;

fn port(flow: &Flow) -> [u8; 2] {
    flow.caller.port().to_le_bytes()
}

fn packet(kind: u8, caller: u16) -> Vec<u8> {
    let [low, high] = caller.to_le_bytes();
    vec![kind, 0, low, high, 0, 0, 0, 0]
}

fn parse(bytes: &[u8]) -> Result<Segment, Error> {
    let [kind, _, low, high, token @ ..] = bytes else {
        return Err(Error::Short(bytes.len()));
    };
    let token: [u8; 4] = token
        .try_into()
        .map_err(|_length| Error::Short(bytes.len()))?;
    let caller = SocketAddrV4::new(
        Ipv4Addr::new(10, 77, 0, 1),
        u16::from_le_bytes([*low, *high]),
    );
    let service = service_address();
    let outbound = [SYN_ACK, ANSWER, RESET].contains(kind);
    let has_data = [DATA, ANSWER, RETURNED].contains(kind);
    Ok(Segment {
        from: if outbound { service } else { caller },
        to: if outbound { caller } else { service },
        syn: *kind == SYN,
        syn_ack: *kind == SYN_ACK,
        fin: false,
        reset: *kind == RESET,
        bounced: *kind == RETURNED,
        token: u32::from_le_bytes(token),
        seq: if *kind == SYN_ACK { ISN } else { ISN + 1 },
        ack: if outbound || *kind == SYN { 0 } else { ISN + 1 },
        len: usize::from(has_data) * 10,
    })
}

fn service_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), 443)
}

struct Agent {
    node: u16,
    /// `None` while the process is down.
    core: Option<(AgentCore, Millis)>,
    starts_at: Option<Millis>,
    stopping: bool,
    /// Ports of the callers whose flows the upstream has.
    upstream: Vec<u16>,
    reports: u64,
}

struct Caller {
    due: Millis,
    /// Whether the upstream has the end of the handshake.
    open: bool,
    /// Wrong upstreams that got a packet since the last packet at the right one, each with the
    /// time.
    wrong: Vec<(Millis, u16)>,
}

struct Fleet {
    agents: Vec<Agent>,
    balancers: Vec<peer_sync::PeerSync>,
    tables: Vec<routing::Tables>,
    callers: BTreeMap<u16, Caller>,
    queue: Vec<(SocketAddrV4, SocketAddrV4, Content)>,
    now: Millis,
    runs: u64,
    loss: f64,
    /// Time for which packets of a flow may be at wrong upstreams only.
    reordering: Millis,
    rng: SmallRng,
    faults: Vec<String>,
}

enum Content {
    Packet(protocol::Header, Vec<u8>),
    Message(protocol::Message),
}

fn settings(node: u16, first_start: bool) -> Settings {
    Settings {
        name: format!("agent-{node}"),
        domain: format!("domain-{}", node % 3),
        service: SERVICE.to_owned(),
        packets: addr(node),
        outbound: addr(node),
        upstream: addr(node),
        seeds: (1..=BALANCERS).map(addr).collect(),
        secret: String::new(),
        report_period: Millis(1_200),
        first_start,
        grace: Millis(6_000),
        link_mbps: 1_000.0,
        slow_start: None,
        adaptive_limit: false,
    }
}

fn config() -> routing::Config {
    routing::Config {
        version: 1,
        routes: vec![routing::Route {
            address: service_address(),
            targets: vec![routing::Target {
                service: ServiceId::of(SERVICE),
                weight: 1,
            }],
            former: Vec::new(),
            class: cassiacross::record::Class::Normal,
            target: Millis(400),
            timeout: None,
        }],
        limits: Vec::new(),
    }
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let agents = rng.random_range(5..24);
        let loss = if rng.random_bool(0.5) { 0.03 } else { 0.0 };
        let mut fleet = Self::with_agents(agents, seed, rng);
        fleet.loss = loss;
        fleet
    }

    /// Starts a fleet, whose links lose nothing.
    fn with_agents(agents: u16, seed: u64, rng: SmallRng) -> Self {
        let mut fleet = Self {
            agents: Vec::new(),
            balancers: Vec::new(),
            tables: Vec::new(),
            callers: BTreeMap::new(),
            queue: Vec::new(),
            now: Millis(0),
            runs: 1,
            loss: 0.0,
            reordering: Millis(0),
            rng,
            faults: Vec::new(),
        };
        for node in 1..=BALANCERS {
            let mut me = settings(node, true).starting_entry();
            me.upstream = None;
            me.control = addr(node);
            me.incarnation = Incarnation(1);
            let seeds = (1..=BALANCERS).map(addr).collect();
            let mut sync = peer_sync::PeerSync::new(me, seeds, seed, Millis(0));
            sync.apply_config(config());
            fleet.balancers.push(sync);
            fleet.tables.push(routing::Tables::default());
        }
        for node in 10..10 + agents {
            fleet.add_agent(node);
        }
        fleet.run_until(Millis(12_000));
        fleet
    }

    fn add_agent(&mut self, node: u16) {
        self.agents.push(Agent {
            node,
            core: None,
            starts_at: Some(self.now),
            stopping: false,
            upstream: Vec::new(),
            reports: 0,
        });
    }

    fn run_until(&mut self, end: Millis) {
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + TICK;
        for at in 0..self.agents.len() {
            self.start_due(at);
            self.report(at);
            if let Some((core, started)) = &mut self.agents[at].core {
                core.tick(self.now.since(*started));
            }
            self.collect(at);
            self.end_finished(at);
        }
        for balancer in &mut self.balancers {
            balancer.tick(self.now);
        }
        let due = self.callers.iter().filter(|(_, c)| c.due <= self.now);
        let due: Vec<_> = due.map(|(port, _)| *port).collect();
        for caller in due {
            self.send_from_caller(DATA, caller);
            let pause = self.rng.random_range(PAUSE);
            let state = self.callers.get_mut(&caller).unwrap();
            let pause = if state.open { pause } else { REPETITION };
            state.due = self.now + Millis(pause);
        }
        self.deliver_all();
    }

    fn start_due(&mut self, at: usize) {
        let agent = &mut self.agents[at];
        if agent.core.is_some() || agent.starts_at.is_none_or(|due| due > self.now) {
            return;
        }
        agent.starts_at = None;
        self.runs += 1;
        let settings = settings(agent.node, self.now < Millis(1_000));
        let mut me = settings.starting_entry();
        me.incarnation = Incarnation(self.runs << 20);
        let telemetry = telemetry::Telemetry::new();
        let core = AgentCore::new(settings, me, CODEC, SEED, telemetry, Millis(0));
        agent.core = Some((core, self.now));
    }

    fn report(&mut self, at: usize) {
        let agent = &mut self.agents[at];
        let Some((core, started)) = &mut agent.core else {
            return;
        };
        let phase = u64::from(agent.node) * 170 % 1_200;
        if (self.now.0 + phase) % 1_200 >= TICK.0 {
            return;
        }
        agent.reports += 1;
        let report = status::Report {
            id: agent.node.to_string(),
            born: Millis(1),
            seq: agent.reports,
            service: ServiceId::of(SERVICE),
            slots: 200,
            state: member::State::Ready,
            cold: Millis(0),
        };
        let wall = self.now + Millis(60_000);
        core.handle_report(report, wall, self.now.since(*started));
    }

    /// Sends a caller's packet through a random balancer.
    fn send_from_caller(&mut self, kind: u8, caller: u16) {
        let at = self.rng.random_range(0..self.balancers.len());
        let bytes = packet(kind, caller);
        let segment = parse(&bytes).unwrap();
        let roster = self.balancers[at].roster();
        self.tables[at].refresh(roster);
        let config = self.balancers[at].config();
        let header =
            routing::build_header(config, &mut self.tables[at], roster, SEED, &segment).unwrap();
        let (from, to) = (roster.me().control, header.hops[0].hop.addr);
        self.queue.push((from, to, Content::Packet(header, bytes)));
    }

    fn deliver_all(&mut self) {
        loop {
            for at in 0..self.balancers.len() {
                let me = self.balancers[at].roster().me().control;
                let messages = self.balancers[at].outgoing();
                let messages = messages.map(|(to, message)| (me, to, Content::Message(message)));
                self.queue.extend(messages);
            }
            let queue = std::mem::take(&mut self.queue);
            if queue.is_empty() {
                return;
            }
            for (from, to, content) in queue {
                let is_lost = self.rng.random_bool(self.loss);
                if !is_lost {
                    self.receive(from, to, content);
                }
            }
        }
    }

    fn receive(&mut self, from: SocketAddrV4, to: SocketAddrV4, content: Content) {
        if to.port() <= BALANCERS {
            if let Content::Message(message) = content {
                let at = usize::from(to.port() - 1);
                self.balancers[at].receive(from, message, self.now);
            }
            return;
        }
        let Some(at) = self.agents.iter().position(|a| a.node == to.port()) else {
            return;
        };
        let Some((core, started)) = &mut self.agents[at].core else {
            return;
        };
        let now = self.now.since(*started);
        match content {
            Content::Packet(header, bytes) => core.handle_inbound(header, bytes, now),
            Content::Message(message) => core.handle_message(from, message, now),
        }
        self.collect(at);
    }

    /// Carries out what an agent has decided.
    fn collect(&mut self, at: usize) {
        let me = addr(self.agents[at].node);
        loop {
            let outputs = match &mut self.agents[at].core {
                Some((core, _)) => core.take_outputs(),
                None => return,
            };
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                match output {
                    Output::Deliver(bytes) => self.deliver(at, bytes),
                    Output::Forward(header, bytes) => {
                        let to = header.hops[0].hop.addr;
                        self.queue.push((me, to, Content::Packet(header, bytes)));
                    }
                    Output::Message(to, message) => {
                        self.queue.push((me, to, Content::Message(message)));
                    }
                    Output::Answer(_, bytes, _) => self.answer(at, &bytes),
                    Output::Probe => {}
                }
            }
        }
    }

    /// The upstream takes a packet, and answers it or returns it.
    fn deliver(&mut self, at: usize, mut bytes: Vec<u8>) {
        let caller = u16::from_le_bytes([bytes[2], bytes[3]]);
        let agent = &mut self.agents[at];
        let has_flow = agent.upstream.contains(&caller);
        let reply = match bytes[0] {
            SYN => {
                agent.upstream.push(caller);
                packet(SYN_ACK, caller)
            }
            _ if has_flow => {
                if let Some(state) = self.callers.get_mut(&caller) {
                    state.wrong.clear();
                    state.open = true;
                }
                packet(ANSWER, caller)
            }
            _ => {
                self.record_wrong(at, caller);
                bytes[0] = RETURNED;
                bytes
            }
        };
        let (core, started) = self.agents[at].core.as_mut().unwrap();
        core.handle_outbound(reply, self.now.since(*started));
    }

    fn record_wrong(&mut self, at: usize, caller: u16) {
        let node = self.agents[at].node;
        let owner = self.agents.iter().find(|a| a.upstream.contains(&caller));
        let owner = owner.map(|a| a.node);
        if let Some(state) = self.callers.get_mut(&caller)
            && owner.is_some()
            && state.open
        {
            state.wrong.push((self.now, node));
            let since = self.now.since(state.wrong[0].0);
            if state.wrong.len() > 2 && since >= self.reordering {
                let wrong = &state.wrong;
                self.faults.push(format!(
                    "{}: flow {caller} of {owner:?} reached {wrong:?}",
                    self.now.0
                ));
            }
        }
    }

    fn answer(&mut self, at: usize, bytes: &[u8]) {
        let caller = u16::from_le_bytes([bytes[2], bytes[3]]);
        if bytes[0] != RESET {
            let due = self.now + Millis(100);
            self.callers.entry(caller).or_insert(Caller {
                due,
                open: false,
                wrong: Vec::new(),
            });
            return;
        }
        let is_open = self.callers.get(&caller).is_some_and(|state| state.open);
        let mut agents = self.agents.iter();
        if let Some(owner) = agents.find(|agent| agent.upstream.contains(&caller))
            && is_open
        {
            self.faults.push(format!(
                "{}: flow {caller} of {} reset by {}",
                self.now.0, owner.node, self.agents[at].node
            ));
        }
        self.callers.remove(&caller);
    }

    fn open_flows(&mut self, count: u16) {
        let first = self.callers.keys().max().map_or(1_000, |last| last + 1);
        for caller in first..first + count {
            self.send_from_caller(SYN, caller);
        }
        self.deliver_all();
    }

    /// Stops an agent, and starts it again later unless it is removed.
    fn stop(&mut self, at: usize, down: Option<Millis>) {
        if let Some((core, started)) = &mut self.agents[at].core {
            core.stop(self.now.since(*started));
        }
        self.collect(at);
        self.agents[at].stopping = true;
        self.agents[at].starts_at = down.map(|down| self.now + down);
    }

    /// Kills the process of an agent, and starts it again later.
    fn kill(&mut self, at: usize, down: Millis) {
        self.agents[at].core = None;
        self.agents[at].stopping = false;
        self.agents[at].starts_at = Some(self.now + down);
    }

    /// Kills the agents of a failure domain at the same moment.
    fn kill_domain(&mut self, domain: u16, down: Millis) {
        for at in 0..self.agents.len() {
            if self.agents[at].node % 3 == domain {
                self.kill(at, down);
            }
        }
    }

    /// Leaves all flows idle for a while, and then uses them again.
    fn pause_flows(&mut self, pause: Millis) {
        let due = self.now + pause;
        for state in self.callers.values_mut() {
            state.due = due;
        }
        self.run_until(due + Millis(4_000));
    }

    /// Ends the process of an agent that shuts down.
    fn end_finished(&mut self, at: usize) {
        let agent = &mut self.agents[at];
        if let Some((core, _)) = &agent.core
            && agent.stopping
            && core.is_finished()
        {
            agent.core = None;
            agent.stopping = false;
        }
    }

    /// Returns a random agent that may be stopped. Two stay up: if all are down at the same
    /// time, nobody knows the owners of flows any more.
    fn running(&mut self) -> Option<usize> {
        let running = self.agents.iter().enumerate();
        let running = running.filter(|(_, agent)| agent.core.is_some() && !agent.stopping);
        let running: Vec<_> = running.map(|(at, _)| at).collect();
        let agents = running.into_iter();
        (agents.len() > 2).then(|| agents.choose(&mut self.rng))?
    }

    /// Runs a random sequence of rolls, removals, joins and, if there are any, kills: this many in
    /// ten disturbances.
    fn disturb(&mut self, kills: u32) {
        for _ in 0..self.rng.random_range(10..40) {
            let wait = self.rng.random_range(50..900);
            self.run_until(self.now + Millis(wait));
            let Some(at) = self.running() else {
                continue;
            };
            if kills > 0 && self.rng.random_ratio(kills, 10) {
                let down = self.rng.random_range(300..1_500);
                self.kill(at, Millis(down));
                continue;
            }
            match self.rng.random_range(0..10) {
                0 => self.stop(at, None),
                1 => {
                    let node = self.agents.iter().map(|a| a.node).max().unwrap() + 1;
                    self.add_agent(node);
                }
                2 => self.open_flows(5),
                _ => {
                    let down = self.rng.random_range(300..1_500);
                    self.stop(at, Some(Millis(down)));
                }
            }
        }
    }
}

fn run(seed: u64, kills: u32) -> Vec<String> {
    let mut fleet = Fleet::new(seed);
    if kills > 0 {
        fleet.reordering = REORDERING;
    }
    fleet.open_flows(40);
    fleet.run_until(Millis(15_000));
    assert!(fleet.callers.len() > 30, "{} flows", fleet.callers.len());
    fleet.disturb(kills);
    fleet.run_until(fleet.now + Millis(12_000));
    fleet.faults
}

// Guards against resets of open flows, and against packets of them at wrong upstreams, while
// agents are restarted, removed, added and killed in any order.
#[parameterized(
    planned = { 0 },
    some_killed = { 2 },
    most_killed = { 8 },
)]
fn open_flows_stay_with_their_upstreams(kills: u32) {
    let seeds = env::var("FLOW_MODEL_SEEDS").ok();
    let seeds = seeds
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEEDS);
    let faults: Vec<_> = (0..seeds)
        .map(|seed| (seed, run(seed, kills)))
        .filter(|(_, faults)| !faults.is_empty())
        .collect();
    assert!(
        faults.is_empty(),
        "{} seeds: {:?}",
        faults.len(),
        &faults[..faults.len().min(3)]
    );
}

/// Time from a kill to the next start of the process.
const DOWN: Millis = Millis(500);

/// Opens flows in a small fleet, disturbs it `age` after that, and uses the flows again once all
/// agents are back. Returns what was wrong.
fn disturb_open_flows(seed: u64, age: Millis, disturb: impl FnOnce(&mut Fleet)) -> Vec<String> {
    disturb_lossy_flows(seed, 0.0, age, disturb)
}

/// The same for a fleet whose links lose a share of the datagrams until the flows are open.
fn disturb_lossy_flows(
    seed: u64,
    loss: f64,
    age: Millis,
    disturb: impl FnOnce(&mut Fleet),
) -> Vec<String> {
    let mut fleet = Fleet::with_agents(7, seed, SmallRng::seed_from_u64(seed));
    fleet.loss = loss;
    fleet.open_flows(60);
    let opened = fleet.now;
    fleet.run_until(opened + Millis(350));
    fleet.loss = 0.0;
    let open = fleet.callers.values().filter(|caller| caller.open);
    assert!(open.count() >= 40);
    for state in fleet.callers.values_mut() {
        state.due = Millis(u64::MAX);
    }
    fleet.run_until(opened + age);
    disturb(&mut fleet);
    fleet.pause_flows(Millis(5_000));
    fleet.faults
}

fn faults_of(disturb: impl Fn(u64) -> Vec<String>) -> Vec<String> {
    (0..20).flat_map(disturb).collect()
}

// Guards against resets of open flows after agents were killed shortly after one another: those
// that are back first do not know yet that others have lost their tables too.
#[test]
fn flows_survive_agents_killed_in_a_row() {
    let faults = faults_of(|seed| {
        disturb_open_flows(seed, Millis(3_000), |fleet| {
            fleet.kill_domain(2, DOWN);
            fleet.run_until(fleet.now + Millis(300));
            fleet.kill_domain(0, DOWN);
        })
    });
    assert_eq!(faults, Vec::<String>::new());
}

// Guards against resets of flows that are so young that only their homes know their owner, after
// a kill of owner and homes.
#[test]
fn young_flows_survive_the_kill_of_all_agents_of_a_domain() {
    let faults =
        faults_of(|seed| disturb_open_flows(seed, Millis(400), |fleet| fleet.kill_domain(2, DOWN)));
    assert_eq!(faults, Vec::<String>::new());
}

// Guards against resets of idle flows after their agent was killed a second time: what it
// recovered after the first one has to be known to others until then.
#[test]
fn young_flows_survive_two_kills_of_their_agent() {
    let faults = faults_of(|seed| {
        disturb_open_flows(seed, Millis(400), |fleet| {
            for _ in 0..2 {
                fleet.kill(0, DOWN);
                fleet.run_until(fleet.now + Millis(6_000));
            }
        })
    });
    assert_eq!(faults, Vec::<String>::new());
}

// Guards against resets of flows that an agent has handed over before its restart to others that
// are killed meanwhile.
#[test]
fn flows_survive_a_restart_while_other_agents_are_killed() {
    let faults = faults_of(|seed| {
        disturb_open_flows(seed, Millis(3_000), |fleet| {
            fleet.stop(1, Some(DOWN));
            fleet.run_until(fleet.now + Millis(300));
            fleet.kill_domain(0, DOWN);
            fleet.kill_domain(1, DOWN);
        })
    });
    assert_eq!(faults, Vec::<String>::new());
}

// Guards against the reset of a young flow after a single kill, if the announcement of its owner
// to its only other home was lost.
#[test]
fn young_flows_survive_the_loss_of_their_claims_and_the_kill_of_their_agent() {
    let faults = faults_of(|seed| {
        disturb_lossy_flows(seed, 0.1, Millis(500), |fleet| {
            fleet.kill(1, DOWN);
            fleet.run_until(fleet.now + Millis(5_000));
        })
    });
    assert_eq!(faults, Vec::<String>::new());
}
