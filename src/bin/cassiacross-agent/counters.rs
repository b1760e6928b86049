//! Prometheus counters of the agent's packets, datagrams and flows.

use cassiacross::flow;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ActionLabel {
    action: &'static str,
}

/// The agent's counters.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    /// Callers' packets by the action taken.
    packets: Family<ActionLabel, Counter>,
    /// Datagrams that failed authentication, had an unexpected kind or could not be parsed.
    pub(crate) dropped_datagrams: Counter,
    /// Flows that an endpoint was opened for.
    pub(crate) accepted_flows: Counter,
    /// Half-open flows that timed out before the caller completed the handshake.
    pub(crate) expired_flows: Counter,
    /// Flows that were reset because relaying them failed.
    pub(crate) aborted_flows: Counter,
    /// Datagrams sent that state the ownership of displaced flows.
    pub(crate) statements: Counter,
    /// Queries sent for the owner of an unknown flow.
    pub(crate) owner_queries: Counter,
}

impl Counters {
    /// Registers all counters.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register("packets", "Packets by action", self.packets.clone());
        registry.register(
            "dropped_datagrams",
            "Datagrams without a valid seal or shape",
            self.dropped_datagrams.clone(),
        );
        registry.register(
            "flows",
            "Flows that were accepted",
            self.accepted_flows.clone(),
        );
        registry.register(
            "lapsed_flows",
            "Flows that their callers did not confirm",
            self.expired_flows.clone(),
        );
        registry.register(
            "aborted_flows",
            "Flows that were reset because an answer broke off",
            self.aborted_flows.clone(),
        );
        registry.register(
            "statements",
            "Datagrams that state displaced flows",
            self.statements.clone(),
        );
        registry.register(
            "questions",
            "Questions for the owner of a flow",
            self.owner_queries.clone(),
        );
    }

    /// Counts a packet under its action; dropped packets are counted by reason.
    pub(crate) fn count_packet(&self, action: &flow::Action) {
        let action = match action {
            flow::Action::Deliver => "deliver",
            flow::Action::Accept => "accept",
            flow::Action::Pass(_) => "pass",
            flow::Action::Forward { .. } => "forward",
            flow::Action::Ask => "ask",
            flow::Action::Refuse => "refuse",
            flow::Action::Reset => "reset",
            flow::Action::Drop(reason) => drop_label(*reason),
        };
        self.packets.get_or_create(&ActionLabel { action }).inc();
    }
}

const fn drop_label(reason: flow::Reason) -> &'static str {
    match reason {
        flow::Reason::Target => "drop_target",
        flow::Reason::Stray => "drop_stray",
        flow::Reason::Address => "drop_address",
        flow::Reason::Reset => "drop_reset",
    }
}
