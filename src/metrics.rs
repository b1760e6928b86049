//! Metrics of a relay.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

use crate::{outcome, queue, record};

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Ended {
    class: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Refused {
    class: &'static str,
    reason: &'static str,
}

/// Counters of one relay.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    ended: Family<Ended, Counter>,
    refused: Family<Refused, Counter>,
    retries: Counter,
    truncated: Counter,
}

impl Metrics {
    /// Adds the counters to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "requests",
            "Requests by class and outcome",
            self.ended.clone(),
        );
        registry.register(
            "refusals",
            "Requests that were refused a slot",
            self.refused.clone(),
        );
        registry.register("retries", "Requests sent again", self.retries.clone());
        registry.register(
            "truncated_answers",
            "Answers that broke off after their head",
            self.truncated.clone(),
        );
    }

    /// Counts the outcome of a request at the upstream.
    pub fn record_outcome(&self, class: record::Class, outcome: outcome::Outcome) {
        let ended = Ended {
            class: class_name(class),
            outcome: outcome.name(),
        };
        self.ended.get_or_create(&ended).inc();
    }

    /// Counts a request that was refused a slot.
    pub fn record_refusal(&self, class: record::Class, refusal: queue::Refusal) {
        let refused = Refused {
            class: class_name(class),
            reason: refusal.name(),
        };
        self.refused.get_or_create(&refused).inc();
    }

    /// Counts a request that is sent again.
    pub fn record_retry(&self) {
        self.retries.inc();
    }

    /// Counts an answer that broke off after its head.
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
