//! State machine of a pass-through agent, without sockets and clocks: packets, messages,
//! reports and the passage of time go in, and what is to be sent comes out.

mod actions;
mod diagnostics;
mod ownership;

use std::{mem, net::SocketAddrV4};

use log::{debug, info, warn};

use crate::{
    chains, clock::Millis, flow_recovery, header, ident, member, pacer, peer_sync, polling,
    protocol, roster, routing, segment, slow_start, status, steering, telemetry,
};

/// Time after the start of the agent after which no untracked flow is left: a flow
/// without a packet for that long has reached its idle timeout.
const COMPLETE_AFTER: Millis = Millis(75_000);

/// Number of times that an agent announces its shutdown, once per tick.
const SHUTDOWN_NOTICES: u32 = 3;

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
    /// Whether the concurrency of the upstream is limited by what it is seen to take well.
    pub adaptive_limit: bool,
    /// Tolerance of the limit on new flows while the upstream warms up; without one, there is
    /// no limit.
    pub slow_start: Option<slow_start::Tolerance>,
}

/// What an agent sends or does in reply to an input.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Send the packet to the upstream.
    Deliver(Vec<u8>),
    /// Send the packet to the first hop of the header.
    Forward(protocol::Header, Vec<u8>),
    /// Send the message to another node.
    Message(SocketAddrV4, protocol::Message),
    /// Send the packet to a caller.
    Answer(std::net::Ipv4Addr, Vec<u8>, pacer::Class),
    /// Open a connection to the upstream to check that it still listens.
    Probe,
}

/// State of an agent.
#[derive(Debug)]
pub struct AgentCore {
    codec: segment::Codec,
    settings: Settings,
    service: ident::ServiceId,
    hash_seed: u64,
    peers: peer_sync::PeerSync,
    status: status::Status,
    flows: steering::Flows,
    chains: chains::Chains,
    /// Roster revision from which the chains were built.
    chains_revision: Option<u64>,
    recovery: flow_recovery::Recovery,
    slow_start: slow_start::SlowStart,
    /// Whether the own failure domain was evacuated at the last input.
    evacuated: bool,
    leaving: bool,
    /// Number of times that the shutdown has been announced.
    shutdown_notices: u32,
    telemetry: telemetry::Telemetry,
    /// Time of the last input.
    now: Millis,
    outputs: Vec<Output>,
}

impl Settings {
    /// Creates the entry of an agent that starts now.
    #[must_use]
    pub fn starting_entry(&self) -> roster::Entry {
        let upstream = roster::Upstream {
            service: ident::ServiceId::of(&self.service),
            packets: self.packets,
            state: Some(member::State::Starting),
            step: 0,
        };
        roster::Entry::starting(&self.name, &self.domain, self.packets, Some(upstream))
    }
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

fn new_flows(own_address: protocol::ServiceHop, adaptive_limit: bool) -> steering::Flows {
    let mut flows = steering::Flows::new(own_address);
    flows.load_mut().set_adaptive(adaptive_limit);
    flows
}

impl AgentCore {
    /// Creates the state of an agent with the entry `me`. `hash_seed` is the seed of the flow
    /// hash, the same in the whole fleet.
    #[must_use]
    pub fn new(
        settings: Settings,
        me: roster::Entry,
        codec: segment::Codec,
        hash_seed: u64,
        telemetry: telemetry::Telemetry,
        now: Millis,
    ) -> Self {
        let service = ident::ServiceId::of(&settings.service);
        let seed = me.incarnation.0;
        let own_address = service_hop(&me, service, settings.packets);
        let mut peers = peer_sync::PeerSync::new(me, settings.seeds.clone(), seed, now);
        if settings.first_start {
            peers.record_first_start();
        }
        Self {
            codec,
            service,
            hash_seed,
            chains: chains::Chains::new(service, peers.roster()),
            chains_revision: None,
            peers,
            status: status::Status::new(service, settings.report_period),
            flows: new_flows(own_address, settings.adaptive_limit),
            recovery: flow_recovery::Recovery::new(settings.first_start),
            slow_start: slow_start::SlowStart::new(settings.slow_start),
            evacuated: false,
            leaving: false,
            shutdown_notices: 0,
            telemetry,
            now,
            outputs: Vec::new(),
            settings,
        }
    }

    /// Returns the settings.
    #[must_use]
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the known nodes.
    #[must_use]
    pub const fn roster(&self) -> &roster::Roster {
        self.peers.roster()
    }

    /// Returns the tracked flows.
    #[must_use]
    pub const fn flows(&self) -> &steering::Flows {
        &self.flows
    }

    /// Returns what is known of the upstream's flows.
    #[must_use]
    pub fn tracking(&self) -> flow_recovery::Tracking {
        self.recovery.tracking()
    }

    /// Returns whether a process that shuts down may end: no request is outstanding, and the
    /// others have been told.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.flows.load().busy() == 0 && self.shutdown_notices >= SHUTDOWN_NOTICES
    }

    /// Returns what has to be polled from the platform.
    #[must_use]
    pub fn polling(&self) -> polling::Polling {
        self.peers.polling(self.now)
    }

    /// Returns metrics and log limits.
    #[must_use]
    pub const fn telemetry(&self) -> &telemetry::Telemetry {
        &self.telemetry
    }

    /// Returns what is to be sent, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        self.flush();
        mem::take(&mut self.outputs)
    }

    /// Sets the balancer addresses that are registered on the platform.
    pub fn set_platform_addresses(&mut self, addresses: Vec<SocketAddrV4>) {
        self.peers.set_platform_addresses(addresses);
    }

    /// Activates a configuration if its version is newer.
    pub fn apply_config(&mut self, config: routing::Config) {
        self.peers.apply_config(config);
    }

    /// Starts to shut down: other agents are told all owners of flows known here.
    pub fn stop(&mut self, now: Millis) {
        self.now = now;
        self.leaving = true;
        if self.status.is_unknown() {
            self.outputs.push(Output::Probe);
        }
        self.peers.update_self(|me| me.leaving = true);
        self.announce_shutdown();
    }

    /// Announces the shutdown, and to other agents all owners of flows known here. Repeated a
    /// few times, because an agent that misses it may take the upstream for lost.
    fn announce_shutdown(&mut self) {
        if self.shutdown_notices < SHUTDOWN_NOTICES {
            self.shutdown_notices += 1;
            self.hand_over(Millis(0));
            self.peers.announce_self();
        }
    }

    /// Tells other agents the owners that became known since the request to shut down.
    pub fn finish(&mut self, stopped: Millis, now: Millis) {
        self.now = now;
        self.hand_over(stopped);
    }

    /// Handles a packet that a balancer or another agent forwarded.
    pub fn handle_inbound(&mut self, header: protocol::Header, mut packet: Vec<u8>, now: Millis) {
        self.now = now;
        let Some(segment) = self.parse(&packet) else {
            return;
        };
        let action =
            self.decide(|flows, context| flows.inbound(context, header, &segment, &packet));
        self.log_decision(Some(segment.inbound()), &action);
        self.perform(action, &mut packet);
    }

    /// Handles a packet of the upstream.
    pub fn handle_outbound(&mut self, mut packet: Vec<u8>, now: Millis) {
        self.now = now;
        let Some(segment) = self.parse(&packet) else {
            return;
        };
        let action = self.decide(|flows, context| flows.outbound(context, &segment, &packet));
        if action == steering::Action::Answer {
            let caller = *segment.to.ip();
            let output = Output::Answer(caller, packet, pacer::Class::Normal);
            self.outputs.push(output);
        } else {
            let flow = if segment.bounced {
                segment.inbound()
            } else {
                segment.outbound()
            };
            self.log_decision(Some(flow), &action);
            self.perform(action, &mut packet);
        }
        self.admit_waiting();
    }

    /// Accepts waiting flows after a packet of the upstream, which may have freed a slot.
    fn admit_waiting(&mut self) {
        if !self.flows.has_waiting() {
            return;
        }
        let mut actions = Vec::new();
        self.decide(|flows, context| flows.admit_waiting(context, &mut actions));
        for action in actions {
            self.log_decision(None, &action);
            self.perform(action, &mut []);
        }
    }

    /// Handles a status report of the upstream, received when the host's wall clock showed
    /// `wall`.
    pub fn handle_report(&mut self, report: status::Report, wall: Millis, now: Millis) {
        self.now = now;
        let was_followed = self.status.is_followed();
        let (state, slots, seq) = (report.state, report.slots, report.seq);
        let cold_until = now + report.cold;
        let age = wall.since(report.born);
        let id = report.id.clone();
        let effect = self.status.apply(report, now);
        if matches!(effect, status::Effect::NewRun | status::Effect::Updated) {
            self.slow_start.set_cold_until(cold_until, now);
        }
        match effect {
            status::Effect::NewRun => {
                info!(
                    upstream = id, slots = slots, state:? = state, seq = seq, age_ms = age.0;
                    "upstream started"
                );
                self.recovery.record_report(flow_recovery::FirstReport {
                    seq,
                    age,
                    period: self.settings.report_period,
                });
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

    /// Handles the deregistration of the upstream with this identifier and, if given, this
    /// start time.
    pub fn deregister(&mut self, id: &str, born: Option<Millis>, now: Millis) {
        self.now = now;
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

    /// Handles the result of a connection probe.
    pub fn handle_probe_result(&mut self, listens: bool, now: Millis) {
        self.now = now;
        debug!(listens = listens; "upstream probe finished");
        if self.leaving && !listens && self.status.is_unknown() {
            info!("no upstream has reported and none listens; announcing that none is running");
            self.status.set_absent();
            self.update_entry();
        }
        self.flows.record_probe(listens, now);
        self.check_failure(now);
    }

    /// Runs the periodic work.
    pub fn tick(&mut self, now: Millis) {
        self.now = now;
        if now >= COMPLETE_AFTER {
            self.recovery.complete(now);
        }
        self.peers.tick(now);
        if self.leaving {
            self.announce_shutdown();
        }
        self.recover_flows();
        let config = self.peers.config();
        let rate = config.and_then(|config| config.cold_rate(self.service));
        self.slow_start.set_rate(rate);
        self.update_entry();
        let mut actions = Vec::new();
        self.decide(|flows, context| flows.tick(context, &mut actions));
        for action in actions {
            self.log_decision(None, &action);
            self.perform(action, &mut []);
        }
        self.check_failure(now);
    }

    /// Resets all flows of a failed or deregistered upstream and announces the change to
    /// the other nodes.
    fn drop_upstream(&mut self) {
        let mut actions = Vec::new();
        self.decide(|flows, context| flows.withdraw_all(context));
        self.flows.reset_all(&mut actions);
        self.recovery.complete(self.now);
        self.update_entry();
        for action in actions {
            self.log_decision(None, &action);
            self.perform(action, &mut []);
        }
    }

    /// Updates this node's entry from the state of the upstream.
    fn update_entry(&mut self) {
        let state = self.status.state(self.now);
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
        !self.leaving
            && !self.evacuated
            && upstream.is_some_and(|up| up.state == Some(member::State::Ready))
    }

    /// Follows the evacuation of the own failure domain. When it ends, the upstream counts as
    /// cold until its next report: it may have cooled down meanwhile.
    fn follow_evacuation(&mut self) {
        let roster = self.peers.roster();
        let evacuated = roster.is_evacuated(roster.me().domain);
        if self.evacuated && !evacuated {
            let until = self.now + self.settings.report_period + self.settings.report_period;
            self.slow_start.set_cold_until(until, self.now);
        }
        self.evacuated = evacuated;
    }

    /// Rebuilds the candidate chains if the roster has changed.
    fn refresh_chains(&mut self) {
        self.follow_evacuation();
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
            slow_start: &mut self.slow_start,
            chains: &mut self.chains,
            roster: self.peers.roster(),
            seed: self.hash_seed,
            now: self.now,
        };
        decision(&mut self.flows, &mut context)
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
}
