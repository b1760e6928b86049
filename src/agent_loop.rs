//! The loop of an agent of a pass-through service.

use std::{
    io,
    net::{SocketAddr, SocketAddrV4},
    time::Duration,
};

use anyhow::Context;
use log::{debug, info, warn};
use serde::Serialize;
use tokio::{
    net::TcpStream,
    sync::{self, mpsc, oneshot},
    time,
};

use crate::{
    balancer_loop, chains,
    clock::{self, Millis},
    conntrack, header, ident, member,
    packet::Flow,
    peer_sync, platform_sync, protocol, roster, segment, socket, status, steering, telemetry,
    transport,
};

/// Time between two rounds.
const TICK: Duration = Duration::from_millis(50);

/// Time within which a listening upstream takes a connection.
const PROBE_LIMIT: Duration = Duration::from_millis(400);

/// Reports that may be missed before the upstream gets no new flows.
const MISSED: u64 = 3;

/// Time without an answer after which an upstream whose report is overdue is given up.
const GIVE_UP: Millis = Millis(2_000);

/// Periods after which a report is overdue.
const OVERDUE: u64 = 2;

/// Time after which no flow is left that the agent has not seen.
const COMPLETE_AFTER: Millis = Millis(75_000);

/// What one agent is.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Unique in the fleet.
    pub name: String,
    /// The host's failure domain.
    pub domain: String,
    /// Name of the upstream's service.
    pub service: String,
    /// Where packets and messages of other nodes arrive; callers are reached at the same port.
    pub packets: SocketAddrV4,
    /// Where the upstream sends its packets.
    pub outbound: SocketAddrV4,
    /// Where the upstream takes packets and connections.
    pub upstream: SocketAddrV4,
    /// Addresses for messages of some balancers.
    pub seeds: Vec<SocketAddrV4>,
    /// What all nodes of the fleet seal with.
    pub secret: String,
    /// Time between the upstream's reports.
    pub report_period: Millis,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// Time from the order to stop until the process is killed.
    pub grace: Millis,
}

/// What the adapter of a platform tells the loop.
#[derive(Debug)]
pub enum Event {
    /// A report of the upstream; answered once it is in force.
    Report(status::Report, oneshot::Sender<()>),
    /// The goodbye of the upstream that has an identity and, if said, a start.
    Deregister(String, Option<Millis>, oneshot::Sender<()>),
    /// Addresses for messages of the balancers that the platform knows.
    Peers(Vec<SocketAddrV4>),
    /// Somebody asks for the process's state as JSON.
    Dump(oneshot::Sender<String>),
    /// The process is to stop.
    Stop,
}

/// The state that a dump shows.
#[derive(Serialize)]
struct Dump<'a> {
    now: Millis,
    complete: bool,
    leaving: bool,
    status: &'a status::Status,
    busy: u32,
    slots: u32,
    mean_ms: Millis,
    unheard_ms: Option<Millis>,
    flows: &'a [conntrack::Entry],
    redirects: usize,
    roster: &'a roster::Roster,
    config: u64,
    unsent: u64,
}

struct Loop {
    codec: segment::Codec,
    settings: Settings,
    service: ident::ServiceId,
    packets: socket::Socket,
    outbound: socket::Socket,
    post: transport::Transport,
    seed: u64,
    node: peer_sync::PeerSync,
    status: status::Status,
    flows: steering::Flows,
    chains: chains::Chains,
    chained: Option<u64>,
    complete: bool,
    leaving: bool,
    probes: mpsc::Sender<bool>,
    tally: telemetry::Telemetry,
    clock: clock::Clock,
}

/// Carries packets to and from the upstream until the process is to stop.
pub async fn run(
    settings: Settings,
    codec: segment::Codec,
    mut events: mpsc::Receiver<Event>,
    duty: sync::watch::Sender<platform_sync::Polling>,
    tally: telemetry::Telemetry,
) -> anyhow::Result<()> {
    let (probes, mut outcomes) = mpsc::channel(4);
    let linger = balancer_loop::linger(settings.grace);
    let mut state = start(settings, codec, probes, tally)?;
    let mut ticker = time::interval(TICK);
    ticker.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut stop_at = None;
    info!(name = state.settings.name, service = state.settings.service; "agent runs");
    loop {
        tokio::select! {
            result = state.packets.readable() => {
                result.context("packets")?;
                state.inbound();
            }
            result = state.outbound.readable() => {
                result.context("outbound")?;
                state.outbound();
            }
            event = events.recv() => match event {
                Some(Event::Stop) | None if stop_at.is_none() => {
                    info!("agent stops");
                    stop_at = Some(state.clock.now() + linger);
                    state.leaving = true;
                    state.node.update_self(|me| me.leaving = true);
                }
                Some(event) => state.event(event),
                None => {}
            },
            Some(listens) = outcomes.recv() => state.probed(listens),
            _ = ticker.tick() => {
                state.tick();
                platform_sync::set_polling(&duty, state.node.polling(state.clock.now()));
            }
        }
        state.flush();
        let now = state.clock.now();
        if stop_at.is_some_and(|at| now >= at || state.flows.load().busy() == 0) {
            info!("agent has stopped");
            return Ok(());
        }
    }
}

fn start(
    settings: Settings,
    codec: segment::Codec,
    probes: mpsc::Sender<bool>,
    tally: telemetry::Telemetry,
) -> anyhow::Result<Loop> {
    let packets = socket::Socket::bind(settings.packets).context("packets")?;
    let outbound = socket::Socket::bind(settings.outbound).context("outbound")?;
    let post = transport::Transport::new(&settings.secret);
    let clock = clock::Clock::new();
    let service = ident::ServiceId::of(&settings.service);
    let me = own_entry(&settings, service);
    let seed = me.incarnation.0;
    let stop = stop(&me, service, settings.packets);
    let seeds = settings.seeds.clone();
    let node = peer_sync::PeerSync::new(me, seeds, seed, clock.now());
    Ok(Loop {
        codec,
        service,
        packets,
        outbound,
        seed: post.hash_seed(),
        post,
        chains: chains::Chains::new(service, node.roster()),
        chained: None,
        node,
        status: status::Status::new(service, settings.report_period),
        flows: steering::Flows::new(stop),
        complete: settings.first_start,
        leaving: false,
        probes,
        tally,
        clock,
        settings,
    })
}

fn own_entry(settings: &Settings, service: ident::ServiceId) -> roster::Entry {
    let upstream = roster::Upstream {
        service,
        packets: settings.packets,
        state: None,
        step: 0,
    };
    let (name, domain) = (&settings.name, &settings.domain);
    roster::Entry::starting(name, domain, settings.packets, Some(upstream))
}

const fn stop(
    me: &roster::Entry,
    service: ident::ServiceId,
    addr: SocketAddrV4,
) -> protocol::ServiceHop {
    protocol::ServiceHop {
        service,
        hop: header::Hop {
            node: me.node,
            incarnation: me.incarnation,
            addr,
        },
    }
}

impl Loop {
    fn event(&mut self, event: Event) {
        match event {
            Event::Report(report, done) => {
                self.report(report);
                if done.send(()).is_err() {
                    debug!("upstream no longer waits for its report's answer");
                }
            }
            Event::Deregister(id, born, done) => {
                self.leave(&id, born);
                if done.send(()).is_err() {
                    debug!("upstream no longer waits for its goodbye's answer");
                }
            }
            Event::Peers(addresses) => self.node.set_contacts(addresses),
            Event::Dump(to) => {
                if to.send(self.dump()).is_err() {
                    debug!("nobody waits for the dump any more");
                }
            }
            Event::Stop => {}
        }
    }

    fn dump(&self) -> String {
        let now = self.clock.now();
        let load = self.flows.load();
        let dump = Dump {
            now,
            complete: self.complete,
            leaving: self.leaving,
            status: &self.status,
            busy: load.busy(),
            slots: load.slots(),
            mean_ms: load.mean_time(),
            unheard_ms: self.flows.unresponsive_for(now),
            flows: self.flows.entries(),
            redirects: self.flows.redirects(),
            roster: self.node.roster(),
            config: self.node.config_version(),
            unsent: self.post.unsent(),
        };
        serde_json::to_string_pretty(&dump).unwrap_or_else(|error| error.to_string())
    }

    /// Counts a decision and logs it, if there is room for the line.
    fn tell(&mut self, flow: Option<Flow>, action: &steering::Action) {
        let weight = match action {
            steering::Action::Deliver(0) | steering::Action::Answer => return,
            steering::Action::Deliver(_)
            | steering::Action::Send(_)
            | steering::Action::Disown(..)
            | steering::Action::Drop(
                steering::DropReason::NotOwned | steering::DropReason::Searched,
            ) => telemetry::Severity::Routine,
            _ => telemetry::Severity::Notable,
        };
        let now = self.clock.now();
        let Some(left_out) = self.tally.record_decision(action.name(), weight, now) else {
            return;
        };
        let flow = match action {
            steering::Action::Reset(flow, _) => Some(*flow),
            _ => flow,
        };
        let flow = flow.map(|flow| flow.to_string()).unwrap_or_default();
        let load = self.flows.load();
        info!(
            decision = action.name(),
            flow = flow,
            busy = load.busy(),
            slots = load.slots(),
            mean_ms = load.mean_time().0,
            report_age_ms = now.since(self.status.reported_at()).0,
            roster = self.node.roster().revision(),
            left_out = left_out;
            "flow"
        );
    }

    fn report(&mut self, report: status::Report) {
        let known = self.status.report().is_some();
        let (state, slots) = (report.state, report.slots);
        let id = report.id.clone();
        match self.status.apply(report, self.clock.now()) {
            status::Effect::NewRun => {
                info!(upstream = id, slots = slots, state:? = state; "upstream has started");
                self.complete |= known;
                self.flows.load_mut().set_slots(slots);
            }
            status::Effect::Updated => self.flows.load_mut().set_slots(slots),
            effect => debug!(upstream = id, effect:? = effect; "report changes nothing"),
        }
        self.restate();
    }

    fn leave(&mut self, id: &str, born: Option<Millis>) {
        if !self.status.deregister(id, born) {
            debug!(upstream = id; "goodbye of another run");
            return;
        }
        info!(upstream = id, flows = self.flows.entries().len(); "upstream has left");
        self.lose();
    }

    fn probed(&mut self, listens: bool) {
        debug!(listens = listens; "upstream was probed");
        if listens {
            self.flows.clear_suspicion();
            return;
        }
        if self.status.report().is_some() {
            warn!(flows = self.flows.entries().len(); "upstream no longer listens");
            self.status.clear();
            self.lose();
        }
    }

    /// Tells callers and nodes that the upstream is gone.
    fn lose(&mut self) {
        let mut actions = Vec::new();
        self.flows.reset_all(&mut actions);
        self.complete = true;
        self.restate();
        for action in actions {
            self.tell(None, &action);
            self.act(action, &mut []);
        }
    }

    /// Brings this node's entry up to the upstream's state.
    fn restate(&mut self) {
        let now = self.clock.now();
        let heard =
            now.since(self.status.reported_at()).0 <= self.settings.report_period.0 * (MISSED + 1);
        let report = self.status.report();
        let state = report.map(|report| match report.state {
            member::State::Ready if !heard => member::State::Starting,
            state => state,
        });
        let step = self.flows.load_mut().capacity_step();
        self.node.update_self(|me| {
            if let Some(upstream) = &mut me.upstream {
                upstream.state = state;
                upstream.step = step;
            }
        });
    }

    fn accepts(&self) -> bool {
        let upstream = self.node.roster().me().upstream;
        !self.leaving && upstream.is_some_and(|up| up.state == Some(member::State::Ready))
    }

    /// Brings the chains up to the roster.
    fn rank(&mut self) {
        let roster = self.node.roster();
        if self.chained != Some(roster.revision()) {
            self.chained = Some(roster.revision());
            self.chains = chains::Chains::new(self.service, roster);
            let me = stop(roster.me(), self.service, self.settings.packets);
            self.flows.set_self(me);
        }
    }

    /// Has the flows decide on something, under all that is known now.
    fn decide<T>(
        &mut self,
        decision: impl FnOnce(&mut steering::Flows, &mut steering::Context<'_>) -> T,
    ) -> T {
        self.rank();
        let mut around = steering::Context {
            accepts: self.accepts(),
            complete: self.complete,
            chains: &mut self.chains,
            roster: self.node.roster(),
            seed: self.seed,
            now: self.clock.now(),
        };
        decision(&mut self.flows, &mut around)
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.complete |= now >= COMPLETE_AFTER;
        self.node.tick(now);
        self.restate();
        let mut actions = Vec::new();
        self.decide(|flows, around| flows.tick(around, &mut actions));
        for action in actions {
            self.tell(None, &action);
            self.act(action, &mut []);
        }
        self.give_up(now);
    }

    /// Gives up an upstream that neither answers nor reports.
    fn give_up(&mut self, now: Millis) {
        let unheard = self.flows.unresponsive_for(now);
        let overdue =
            now.since(self.status.reported_at()).0 > self.settings.report_period.0 * OVERDUE;
        if unheard.is_some_and(|time| time >= GIVE_UP) && overdue && self.status.report().is_some()
        {
            warn!(flows = self.flows.entries().len(); "upstream neither answers nor reports");
            self.status.clear();
            self.lose();
        }
    }

    fn inbound(&mut self) {
        let mut taken = Vec::new();
        self.packets.receive(|bytes, from| {
            taken.push((bytes.to_vec(), from));
        });
        for (bytes, from) in taken {
            self.datagram(&bytes, from);
        }
    }

    fn datagram(&mut self, bytes: &[u8], from: SocketAddrV4) {
        let now = self.clock.now();
        match self.post.open(bytes) {
            Ok(transport::Content::Packet(header, packet)) => {
                let packet = packet.to_vec();
                self.packet(header, packet);
            }
            Ok(transport::Content::Message(protocol::Message::Own { owner, flows })) => {
                self.flows.learn_owners(owner, &flows, now);
            }
            Ok(transport::Content::Message(protocol::Message::Unowned { node, flows })) => {
                self.flows.record_not_owned(node, &flows);
            }
            Ok(transport::Content::Message(message)) => {
                self.node.receive(from, message, now);
            }
            Err(error) => {
                self.tally.count_unreadable();
                debug!(from:% = from, error:% = error; "datagram dropped");
            }
        }
    }

    fn parse(&self, packet: &[u8]) -> Option<segment::Segment> {
        match (self.codec.parse)(packet) {
            Ok(segment) => Some(segment),
            Err(error) => {
                self.tally.count_unreadable();
                debug!(error:% = error; "packet cannot be read");
                None
            }
        }
    }

    fn packet(&mut self, header: protocol::Header, mut packet: Vec<u8>) {
        let Some(segment) = self.parse(&packet) else {
            return;
        };
        let action = self.decide(|flows, around| flows.inbound(around, header, &segment, &packet));
        self.tell(Some(segment.inbound()), &action);
        self.act(action, &mut packet);
    }

    fn outbound(&mut self) {
        let mut taken = Vec::new();
        self.outbound
            .receive(|bytes, _from| taken.push(bytes.to_vec()));
        for bytes in taken {
            self.answer(bytes);
        }
    }

    fn answer(&mut self, mut packet: Vec<u8>) {
        let Some(segment) = self.parse(&packet) else {
            return;
        };
        let action = self.decide(|flows, around| flows.outbound(around, &segment));
        if action == steering::Action::Answer {
            self.send_to_caller(*segment.to.ip(), &packet);
        } else {
            self.tell(Some(segment.inbound()), &action);
            self.act(action, &mut packet);
        }
    }

    fn act(&mut self, action: steering::Action, packet: &mut [u8]) {
        match action {
            steering::Action::Deliver(token) => {
                (self.codec.stamp)(packet, token);
                self.post
                    .send_raw(&self.outbound, self.settings.upstream, packet);
            }
            steering::Action::Send(header) => {
                (self.codec.stamp)(packet, 0);
                self.post.send_packet(&self.packets, &header, packet);
            }
            steering::Action::Resend(header, bytes) => {
                self.post.send_packet(&self.packets, &header, &bytes);
            }
            steering::Action::Search(header) => self.search(header, packet),
            steering::Action::Disown(asker, flow) => {
                let message = protocol::Message::Unowned {
                    node: self.node.roster().me().node,
                    flows: vec![flow],
                };
                self.post.send_message(&self.packets, asker.addr, &message);
            }
            steering::Action::Reset(flow, seq) => {
                let reset = (self.codec.reset)(&flow, seq);
                self.send_to_caller(*flow.caller.ip(), &reset);
            }
            steering::Action::Probe => self.probe(),
            steering::Action::Drop(_) | steering::Action::Answer => {}
        }
    }

    fn search(&mut self, mut header: protocol::Header, packet: &mut [u8]) {
        (self.codec.stamp)(packet, 0);
        let me = self.node.roster().me().node;
        let agents = self.node.roster().agents(self.service);
        let stops: Vec<_> = agents
            .filter(|entry| entry.node != me)
            .filter_map(roster::Entry::hop)
            .collect();
        for hop in stops {
            header.hops = vec![protocol::ServiceHop {
                service: self.service,
                hop,
            }];
            self.post.send_packet(&self.packets, &header, packet);
        }
    }

    fn send_to_caller(&mut self, ip: std::net::Ipv4Addr, bytes: &[u8]) {
        let to = SocketAddrV4::new(ip, self.settings.packets.port());
        self.post.send_raw(&self.packets, to, bytes);
    }

    /// Opens a connection to the upstream; only a refusal proves that it is gone.
    fn probe(&self) {
        let upstream = SocketAddr::V4(self.settings.upstream);
        let probes = self.probes.clone();
        tokio::spawn(async move {
            let listens = match time::timeout(PROBE_LIMIT, TcpStream::connect(upstream)).await {
                Ok(Ok(_stream)) => true,
                Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => false,
                Ok(Err(error)) => {
                    debug!(error:% = error; "upstream could not be probed");
                    return;
                }
                Err(_elapsed) => {
                    debug!("upstream does not answer a probe");
                    return;
                }
            };
            if probes.send(listens).await.is_err() {
                debug!("agent has stopped before its probe ended");
            }
        });
    }

    fn flush(&mut self) {
        for took in self.flows.drain_service_times() {
            self.tally.observe_service_time(took);
        }
        for (hop, message) in self.flows.take_notices() {
            self.post.send_message(&self.packets, hop.addr, &message);
        }
        for (to, message) in self.node.outgoing() {
            self.post.send_message(&self.packets, to, &message);
        }
    }
}
