//! Prometheus counters of the relay to an upstream.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

use crate::{outcome, queue, record};

/// Labels of the request counter.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct OutcomeLabels {
    class: &'static str,
    outcome: &'static str,
}

/// Labels of the refusal counter.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RefusalLabels {
    class: &'static str,
    reason: &'static str,
}

/// Counters of the requests and responses of one relay.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    outcomes: Family<OutcomeLabels, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    retries: Counter,
    truncated: Counter,
}

impl Metrics {
    /// Registers the counters.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "requests",
            "Requests by class and outcome",
            self.outcomes.clone(),
        );
        registry.register(
            "refusals",
            "Requests that were refused a slot",
            self.refusals.clone(),
        );
        registry.register("retries", "Requests sent again", self.retries.clone());
        registry.register(
            "truncated_answers",
            "Answers that broke off after their head",
            self.truncated.clone(),
        );
    }

    /// Counts a request by its class and outcome.
    pub fn record_outcome(&self, class: record::Class, outcome: outcome::Outcome) {
        let labels = OutcomeLabels {
            class: class_name(class),
            outcome: outcome.name(),
        };
        self.outcomes.get_or_create(&labels).inc();
    }

    /// Counts a request that admission refused, by its class and the reason.
    pub fn record_refusal(&self, class: record::Class, refusal: queue::Refusal) {
        let labels = RefusalLabels {
            class: class_name(class),
            reason: refusal.name(),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Counts a retry.
    pub fn record_retry(&self) {
        self.retries.inc();
    }

    /// Counts a response whose body was truncated.
    pub fn record_truncated(&self) {
        self.truncated.inc();
    }
}

const fn class_name(class: record::Class) -> &'static str {
    match class {
        record::Class::Urgent => "urgent",
        record::Class::Normal => "normal",
        record::Class::Bulk => "bulk",
    }
}
