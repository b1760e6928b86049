//! Event loop of a pass-through agent: forwards packets between callers and its upstream,
//! and tracks the upstream's health.

mod actions;
mod ownership;

use std::{net::SocketAddrV4, time::Duration};

use anyhow::Context;
use log::{debug, info, warn};
use serde::Serialize;
use tokio::{
    sync::{self, mpsc, oneshot},
    time,
};

use crate::{
    balancer_loop, chains,
    clock::{self, Millis},
    conntrack, flow_recovery, header, ident, member, pacer,
    packet::Flow,
    peer_sync, polling, protocol, roster, segment, socket, status, steering, telemetry, transport,
};

/// Interval between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after the start of the agent after which no untracked flow is left: a flow
/// without a packet for that long has reached its idle timeout.
const COMPLETE_AFTER: Millis = Millis(75_000);

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the agent, unique in the fleet.
    pub name: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Name of the upstream's service.
    pub service: String,
    /// Address for packets and messages from other nodes. Packets to callers are sent to
    /// the same port.
    pub packets: SocketAddrV4,
    /// Address to which the upstream sends its packets.
    pub outbound: SocketAddrV4,
    /// Address at which the upstream accepts packets and connections.
    pub upstream: SocketAddrV4,
    /// Message addresses of some balancers, used to join the fleet.
    pub seeds: Vec<SocketAddrV4>,
    /// Secret from which the fleet's sealing key is derived.
    pub secret: String,
    /// Period of the upstream's status reports.
    pub report_period: Millis,
    /// Whether the whole fleet is started for the first time, so that no flows exist yet.
    pub first_start: bool,
    /// Grace period between the request to shut down and the kill of the process.
    pub grace: Millis,
    /// Rate of the host's link in Mbit/s.
    pub link_mbps: f64,
}

/// Event from the platform adapter.
#[derive(Debug)]
pub enum Event {
    /// Status report of the upstream; acknowledged after it has been applied.
    Report(status::Report, oneshot::Sender<()>),
    /// Deregistration of the upstream with this identifier and, if given, this start
    /// time; acknowledged after it has been applied.
    Deregister(String, Option<Millis>, oneshot::Sender<()>),
    /// Message addresses of the balancers that are registered on the platform.
    Peers(Vec<SocketAddrV4>),
    /// Request for a JSON dump of the process's state.
    Dump(oneshot::Sender<String>),
    /// Request to shut down.
    Stop,
}

/// Content of a state dump.
#[derive(Serialize)]
struct Dump<'a> {
    now: Millis,
    recovery: &'a flow_recovery::Recovery,
    leaving: bool,
    status: &'a status::Status,
    busy: u32,
    slots: u32,
    mean_ms: Millis,
    /// Time for which the upstream has been unresponsive.
    unheard_ms: Option<Millis>,
    flows: &'a [conntrack::Entry],
    /// Number of flows for which another agent is known as the owner.
    redirects: usize,
    roster: &'a roster::Roster,
    config: u64,
    /// Time that the waiting datagrams take up the link.
    link_delay_ms: Millis,
    /// Number of datagrams that were not sent.
    unsent: transport::Unsent,
}

struct AgentLoop {
    codec: segment::Codec,
    settings: Settings,
    service: ident::ServiceId,
    packet_socket: socket::Socket,
    upstream_socket: socket::Socket,
    transport: transport::Transport,
    hash_seed: u64,
    peers: peer_sync::PeerSync,
    status: status::Status,
    flows: steering::Flows,
    chains: chains::Chains,
    /// Roster revision from which the chains were built.
    chains_revision: Option<u64>,
    recovery: flow_recovery::Recovery,
    leaving: bool,
    probe_results: mpsc::Sender<bool>,
    telemetry: telemetry::Telemetry,
    clock: clock::Clock,
}

/// Runs an agent until it has shut down. After the request to shut down it ends as soon
/// as no request is outstanding, at the latest when the linger time is over.
pub async fn run(
    settings: Settings,
    codec: segment::Codec,
    mut events: mpsc::Receiver<Event>,
    polling: sync::watch::Sender<polling::Polling>,
    telemetry: telemetry::Telemetry,
) -> anyhow::Result<()> {
    let (probe_results, mut probe_outcomes) = mpsc::channel(4);
    let linger = balancer_loop::linger(settings.grace);
    let mut agent = start(settings, codec, probe_results, telemetry)?;
    let mut ticker = time::interval(TICK_INTERVAL);
    ticker.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut stop_at = None;
    info!(name = agent.settings.name, service = agent.settings.service; "agent started");
    loop {
        let due = agent.transport.due().map(|at| agent.clock.instant(at));
        tokio::select! {
            () = pacer::wait_until(due) => {}
            result = agent.packet_socket.readable() => {
                result.context("packet socket failed")?;
                agent.receive_inbound();
            }
            result = agent.upstream_socket.readable() => {
                result.context("upstream socket failed")?;
                agent.receive_outbound();
            }
            event = events.recv() => match event {
                Some(Event::Stop) | None if stop_at.is_none() => {
                    info!("agent is shutting down");
                    stop_at = Some(agent.clock.now() + linger);
                    agent.leaving = true;
                    agent.hand_over(Millis(0));
                    agent.peers.update_self(|me| me.leaving = true);
                }
                Some(event) => agent.handle_event(event),
                None => {}
            },
            Some(listens) = probe_outcomes.recv() => agent.handle_probe_result(listens),
            _ = ticker.tick() => {
                agent.tick();
                polling::set(&polling, agent.peers.polling(agent.clock.now()));
            }
        }
        agent.flush();
        let now = agent.clock.now();
        if let Some(at) = stop_at.filter(|at| now >= *at || agent.flows.load().busy() == 0) {
            agent.hand_over(at - linger);
            agent.flush();
            info!("agent stopped");
            return Ok(());
        }
    }
}

fn start(
    settings: Settings,
    codec: segment::Codec,
    probe_results: mpsc::Sender<bool>,
    telemetry: telemetry::Telemetry,
) -> anyhow::Result<AgentLoop> {
    let packet_socket =
        socket::Socket::bind(settings.packets).context("cannot bind packet socket")?;
    let upstream_socket =
        socket::Socket::bind(settings.outbound).context("cannot bind upstream socket")?;
    let transport = transport::Transport::new(&settings.secret, settings.link_mbps);
    let clock = clock::Clock::new();
    let service = ident::ServiceId::of(&settings.service);
    let me = own_entry(&settings, service);
    let seed = me.incarnation.0;
    let own_address = service_hop(&me, service, settings.packets);
    let seeds = settings.seeds.clone();
    let peers = peer_sync::PeerSync::new(me, seeds, seed, clock.now());
    Ok(AgentLoop {
        codec,
        service,
        packet_socket,
        upstream_socket,
        hash_seed: transport.hash_seed(),
        transport,
        chains: chains::Chains::new(service, peers.roster()),
        chains_revision: None,
        peers,
        status: status::Status::new(service, settings.report_period),
        flows: steering::Flows::new(own_address),
        recovery: flow_recovery::Recovery::new(settings.first_start),
        leaving: false,
        probe_results,
        telemetry,
        clock,
        settings,
    })
}

fn own_entry(settings: &Settings, service: ident::ServiceId) -> roster::Entry {
    let upstream = roster::Upstream {
        service,
        packets: settings.packets,
        state: Some(member::State::Starting),
        step: 0,
    };
    let (name, domain) = (&settings.name, &settings.domain);
    roster::Entry::starting(name, domain, settings.packets, Some(upstream))
}

const fn service_hop(
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

impl AgentLoop {
    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Report(report, done) => {
                self.handle_report(report);
                if done.send(()).is_err() {
                    debug!("upstream closed the connection before its report was acknowledged");
                }
            }
            Event::Deregister(id, born, done) => {
                self.deregister(&id, born);
                if done.send(()).is_err() {
                    debug!(
                        "upstream closed the connection before its deregistration was acknowledged"
                    );
                }
            }
            Event::Peers(addresses) => self.peers.set_platform_addresses(addresses),
            Event::Dump(to) => {
                if to.send(self.dump()).is_err() {
                    debug!("requester closed the connection before the state dump was ready");
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
            recovery: &self.recovery,
            leaving: self.leaving,
            status: &self.status,
            busy: load.busy(),
            slots: load.slots(),
            mean_ms: load.mean_time(),
            unheard_ms: self.flows.failure().suspected_for(now),
            flows: self.flows.entries(),
            redirects: self.flows.redirects(),
            roster: self.peers.roster(),
            config: self.peers.config_version(),
            link_delay_ms: self.transport.link_delay(),
            unsent: self.transport.unsent(),
        };
        serde_json::to_string_pretty(&dump).unwrap_or_else(|error| error.to_string())
    }

    /// Counts a decision and logs it within the rate limit.
    fn log_decision(&mut self, flow: Option<Flow>, action: &steering::Action) {
        let severity = match action {
            steering::Action::Deliver(0) | steering::Action::Answer => return,
            steering::Action::Deliver(_)
            | steering::Action::Send(_)
            | steering::Action::ReplySearch(..)
            | steering::Action::ReplyOwner(..)
            | steering::Action::Drop(
                steering::DropReason::NotOwned | steering::DropReason::Searched,
            ) => telemetry::Severity::Routine,
            _ => telemetry::Severity::Notable,
        };
        let now = self.clock.now();
        let Some(suppressed) = self.telemetry.record_decision(action.name(), severity, now) else {
            return;
        };
        let (flow, gone) = match action {
            steering::Action::Reset(flow, _, cause) => (Some(*flow), self.gone_agent(*cause)),
            _ => (flow, None),
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
            roster = self.peers.roster().revision(),
            tracking:? = self.recovery.tracking(),
            left_out = suppressed;
            "flow decision"
        );
        if let Some(agent) = gone {
            info!(
                node = agent.entry.node.0,
                incarnation = agent.entry.incarnation.0,
                leaving = agent.entry.leaving,
                state:? = agent.entry.upstream.and_then(|upstream| upstream.state),
                silent = agent.silent,
                heard_ms = now.since(agent.heard).0,
                period_ms = agent.period.0;
                "agent that did not reply is considered gone"
            );
        }
    }

    /// Returns what is known of an agent that was considered gone in a search.
    fn gone_agent(&self, cause: steering::ResetCause) -> Option<&roster::Peer> {
        match cause {
            steering::ResetCause::Unowned(Some(node)) => self.peers.roster().find(node),
            _ => None,
        }
    }

    fn handle_report(&mut self, report: status::Report) {
        let was_followed = self.status.is_followed();
        let (state, slots, seq) = (report.state, report.slots, report.seq);
        let age = clock::wall().since(report.born);
        let id = report.id.clone();
        let now = self.clock.now();
        match self.status.apply(report, now) {
            status::Effect::NewRun => {
                info!(
                    upstream = id, slots = slots, state:? = state, seq = seq, age_ms = age.0;
                    "upstream started"
                );
                self.recovery
                    .record_report(flow_recovery::FirstReport { seq, age });
                // A run that replaces a known one started after this agent, which therefore
                // has seen all of its flows.
                if was_followed {
                    self.recovery.complete(now);
                }
                self.flows.load_mut().set_slots(slots);
            }
            status::Effect::Updated => self.flows.load_mut().set_slots(slots),
            effect => debug!(upstream = id, effect:? = effect; "ignoring status report"),
        }
        self.update_entry();
    }

    fn deregister(&mut self, id: &str, born: Option<Millis>) {
        if !self.status.deregister(id, born) {
            debug!(upstream = id; "ignoring deregistration of another run of the upstream");
            return;
        }
        info!(
            upstream = id,
            flows = self.flows.entries().len();
            "upstream deregistered; resetting its flows"
        );
        self.drop_upstream();
    }

    fn handle_probe_result(&mut self, listens: bool) {
        debug!(listens = listens; "upstream probe finished");
        let now = self.clock.now();
        self.flows.record_probe(listens, now);
        self.check_failure(now);
    }

    /// Resets all flows of a failed or deregistered upstream and announces the change to
    /// the other nodes.
    fn drop_upstream(&mut self) {
        let mut actions = Vec::new();
        self.flows.reset_all(&mut actions);
        self.recovery.complete(self.clock.now());
        self.update_entry();
        for action in actions {
            self.log_decision(None, &action);
            self.perform(action, &mut []);
        }
    }

    /// Updates this node's entry from the state of the upstream.
    fn update_entry(&mut self) {
        let state = self.status.state(self.clock.now());
        let step = self.flows.load_mut().capacity_step();
        self.peers.update_self(|me| {
            if let Some(upstream) = &mut me.upstream {
                upstream.state = state;
                upstream.step = step;
            }
        });
    }

    /// Returns whether the upstream accepts new flows.
    fn accepts_flows(&self) -> bool {
        let upstream = self.peers.roster().me().upstream;
        !self.leaving && upstream.is_some_and(|up| up.state == Some(member::State::Ready))
    }

    /// Rebuilds the candidate chains if the roster has changed.
    fn refresh_chains(&mut self) {
        let roster = self.peers.roster();
        if self.chains_revision != Some(roster.revision()) {
            self.chains_revision = Some(roster.revision());
            self.chains = chains::Chains::new(self.service, roster);
            let me = service_hop(roster.me(), self.service, self.settings.packets);
            self.flows.set_self(me);
        }
    }

    /// Runs a decision of the flow table with the current context.
    fn decide<T>(
        &mut self,
        decision: impl FnOnce(&mut steering::Flows, &mut steering::Context<'_>) -> T,
    ) -> T {
        self.refresh_chains();
        let mut context = steering::Context {
            accepts: self.accepts_flows(),
            tracking: self.recovery.tracking(),
            chains: &mut self.chains,
            roster: self.peers.roster(),
            seed: self.hash_seed,
            now: self.clock.now(),
        };
        decision(&mut self.flows, &mut context)
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if now >= COMPLETE_AFTER {
            self.recovery.complete(now);
        }
        self.peers.tick(now);
        self.recover_flows();
        self.update_entry();
        let mut actions = Vec::new();
        self.decide(|flows, context| flows.tick(context, &mut actions));
        for action in actions {
            self.log_decision(None, &action);
            self.perform(action, &mut []);
        }
        self.check_failure(now);
        self.telemetry.publish_traffic(self.transport.traffic());
    }

    /// Resets the flows of the upstream if it has failed.
    fn check_failure(&mut self, now: Millis) {
        let report_age = now.since(self.status.reported_at());
        let failure = self.flows.failure();
        let failed = failure.has_failed(report_age, self.settings.report_period, now);
        if failed && self.status.report().is_some() {
            warn!(
                flows = self.flows.entries().len(),
                report_age_ms = report_age.0,
                failure:? = failure;
                "upstream has failed; resetting its flows"
            );
            self.status.clear();
            self.drop_upstream();
        }
    }

    /// Receives packets and messages from other nodes.
    fn receive_inbound(&mut self) {
        let mut received = Vec::new();
        self.packet_socket.receive(|bytes, from| {
            received.push((bytes.to_vec(), from));
        });
        for (bytes, from) in received {
            self.handle_datagram(&bytes, from);
        }
    }

    fn handle_datagram(&mut self, bytes: &[u8], from: SocketAddrV4) {
        match self.transport.open(bytes) {
            Ok(transport::Content::Packet(header, packet)) => {
                let packet = packet.to_vec();
                self.handle_inbound(header, packet);
            }
            Ok(transport::Content::Message(message)) => self.handle_message(from, message),
            Err(error) => {
                self.telemetry.count_unreadable();
                debug!(from:% = from, error:% = error; "dropping unreadable datagram");
            }
        }
    }

    fn parse(&self, packet: &[u8]) -> Option<segment::Segment> {
        match (self.codec.parse)(packet) {
            Ok(segment) => Some(segment),
            Err(error) => {
                self.telemetry.count_unreadable();
                debug!(error:% = error; "dropping unreadable packet");
                None
            }
        }
    }

    fn handle_inbound(&mut self, header: protocol::Header, mut packet: Vec<u8>) {
        let Some(segment) = self.parse(&packet) else {
            return;
        };
        let action =
            self.decide(|flows, context| flows.inbound(context, header, &segment, &packet));
        self.log_decision(Some(segment.inbound()), &action);
        self.perform(action, &mut packet);
    }

    /// Receives packets from the upstream.
    fn receive_outbound(&mut self) {
        let mut received = Vec::new();
        self.upstream_socket
            .receive(|bytes, _from| received.push(bytes.to_vec()));
        for bytes in received {
            self.handle_outbound(bytes);
        }
    }

    fn handle_outbound(&mut self, mut packet: Vec<u8>) {
        let Some(segment) = self.parse(&packet) else {
            return;
        };
        let action = self.decide(|flows, context| flows.outbound(context, &segment));
        if action == steering::Action::Answer {
            self.send_to_caller(*segment.to.ip(), &packet, pacer::Class::Normal);
        } else {
            let flow = if segment.bounced {
                segment.inbound()
            } else {
                segment.outbound()
            };
            self.log_decision(Some(flow), &action);
            self.perform(action, &mut packet);
        }
    }
}
