//! State dump of an agent, and the log lines about its decisions.

use log::info;
use serde::Serialize;

use super::AgentCore;
use crate::{
    clock::Millis, conntrack, evacuation, flow_recovery, packet::Flow, roster, slow_start, status,
    steering, telemetry, transport,
};

/// Content of a state dump.
#[derive(Serialize)]
struct Dump<'a> {
    now: Millis,
    recovery: &'a flow_recovery::Recovery,
    slow_start: &'a slow_start::SlowStart,
    evacuations: &'a evacuation::Evacuations,
    leaving: bool,
    status: &'a status::Status,
    busy: u32,
    slots: u32,
    /// Number of requests that the upstream is to serve at a time.
    limit: u32,
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

impl AgentCore {
    /// Returns the state as JSON.
    #[must_use]
    pub fn dump(&self, link_delay: Millis, unsent: transport::Unsent, now: Millis) -> String {
        let load = self.flows.load();
        let dump = Dump {
            now,
            recovery: &self.recovery,
            slow_start: &self.slow_start,
            evacuations: self.peers.evacuations(),
            leaving: self.leaving,
            status: &self.status,
            busy: load.busy(),
            slots: load.slots(),
            limit: load.limit(),
            mean_ms: load.mean_time(),
            unheard_ms: self.flows.failure().suspected_for(now),
            flows: self.flows.entries(),
            redirects: self.flows.redirects(),
            roster: self.peers.roster(),
            config: self.peers.config_version(),
            link_delay_ms: link_delay,
            unsent,
        };
        serde_json::to_string_pretty(&dump).unwrap_or_else(|error| error.to_string())
    }

    /// Counts a decision and logs it within the rate limit.
    pub(super) fn log_decision(&mut self, flow: Option<Flow>, action: &steering::Action) {
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
        let now = self.now;
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
            limit = load.limit(),
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
}
