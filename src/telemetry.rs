//! What a node of pass-through services decided: counters, and log lines in
//! bounded number.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::clock::Millis;

/// Log lines about flows that one process writes a second.
pub const LINES_PER_SECOND: u32 = 20;

/// Lines of those that ordinary decisions may use, so that the others find room.
const ORDINARY_LINES: u32 = 1;

const SECOND: Millis = Millis(1_000);
const SHORTEST_SECONDS: f64 = 0.002;
const BUCKETS: u16 = 14;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Decision {
    decision: &'static str,
}

/// Counters of one process.
#[derive(Clone, Debug)]
pub struct Telemetry {
    decisions: Family<Decision, Counter>,
    unread: Counter,
    unlogged: Counter,
    service: Histogram,
    window: Millis,
    lines: u32,
    left_out: u64,
}

/// How often a decision comes in ordinary work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// With each flow.
    Routine,
    /// Where something is wrong or short.
    Notable,
}

impl Telemetry {
    /// Counters at zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            decisions: Family::default(),
            unread: Counter::default(),
            unlogged: Counter::default(),
            service: Histogram::new(exponential_buckets(SHORTEST_SECONDS, 2.0, BUCKETS)),
            window: Millis(0),
            lines: 0,
            left_out: 0,
        }
    }

    /// Adds the counters to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "decisions",
            "Decisions on packets and flows",
            self.decisions.clone(),
        );
        registry.register(
            "unread",
            "Datagrams and reports that could not be read",
            self.unread.clone(),
        );
        registry.register(
            "unlogged",
            "Log lines left out to keep their number bounded",
            self.unlogged.clone(),
        );
        registry.register(
            "service_seconds",
            "Time from a request's last data to the first data of its answer",
            self.service.clone(),
        );
    }

    /// Counts a decision; gives the lines left out before, if it may be logged.
    pub fn record_decision(
        &mut self,
        decision: &'static str,
        weight: Severity,
        now: Millis,
    ) -> Option<u64> {
        self.decisions.get_or_create(&Decision { decision }).inc();
        if now.since(self.window) >= SECOND {
            self.window = now;
            self.lines = 0;
        }
        let limit = match weight {
            Severity::Routine => ORDINARY_LINES,
            Severity::Notable => LINES_PER_SECOND,
        };
        if self.lines >= limit {
            self.left_out += 1;
            self.unlogged.inc();
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.left_out))
    }

    /// Counts input that could not be read.
    pub fn count_unreadable(&self) {
        self.unread.inc();
    }

    /// Notes how long an upstream took for a request.
    pub fn observe_service_time(&self, took: Millis) {
        self.service.observe(took.to_duration().as_secs_f64());
    }
}

impl Default for Telemetry {
    fn default() -> Self {
        Self::new()
    }
}
