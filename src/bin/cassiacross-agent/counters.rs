//! Counters of the agent's packets.

use cassiacross::flow;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Label {
    action: &'static str,
}

/// Packets by what was done with them, and datagrams that were dropped.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    packets: Family<Label, Counter>,
    pub(crate) dropped_datagrams: Counter,
    pub(crate) accepted_flows: Counter,
    pub(crate) expired_flows: Counter,
    pub(crate) aborted_flows: Counter,
    pub(crate) statements: Counter,
    pub(crate) owner_queries: Counter,
}

impl Counters {
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

    pub(crate) fn count_packet(&self, action: &flow::Action) {
        let action = match action {
            flow::Action::Deliver => "deliver",
            flow::Action::Accept => "accept",
            flow::Action::Pass(_) => "pass",
            flow::Action::Forward { .. } => "forward",
            flow::Action::Ask => "ask",
            flow::Action::Refuse => "refuse",
            flow::Action::Reset => "reset",
            flow::Action::Drop(reason) => drop_name(*reason),
        };
        self.packets.get_or_create(&Label { action }).inc();
    }
}

const fn drop_name(reason: flow::Reason) -> &'static str {
    match reason {
        flow::Reason::Target => "drop_target",
        flow::Reason::Stray => "drop_stray",
        flow::Reason::Address => "drop_address",
        flow::Reason::Reset => "drop_reset",
    }
}
