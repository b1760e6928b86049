//! Metrics of a pass-through node and a rate limit for the log lines about its decisions.

use std::sync::atomic::Ordering;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::{
    clock::Millis,
    traffic::{Cause, Traffic},
};

/// Maximum number of log lines about flows that a process writes per second.
pub const LINES_PER_SECOND: u32 = 20;

/// Lines per window after which routine decisions are no longer logged, so that the other
/// lines are left for notable decisions.
const ROUTINE_LINES: u32 = 1;

/// Window of the log rate limit.
const WINDOW: Millis = Millis(1_000);

/// Upper bound of the first bucket of the service time histogram.
const FIRST_BUCKET_SECONDS: f64 = 0.002;

/// Number of buckets of the histogram. The upper bound doubles from one to the next.
const BUCKETS: u16 = 14;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct DecisionLabel {
    decision: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct CauseLabel {
    cause: &'static str,
}

/// Metrics and log rate limit of one process.
#[derive(Clone, Debug)]
pub struct Telemetry {
    decisions: Family<DecisionLabel, Counter>,
    unreadable: Counter,
    suppressed_total: Counter,
    service_time: Histogram,
    sent_bytes: Family<CauseLabel, Counter>,
    sent_datagrams: Family<CauseLabel, Counter>,
    window_start: Millis,
    window_lines: u32,
    suppressed: u64,
}

/// Severity of a decision, which sets its log rate limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// Occurs with every flow.
    Routine,
    /// Indicates a fault or a shortage.
    Notable,
}

impl Telemetry {
    /// Creates metrics with all counters at zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            decisions: Family::default(),
            unreadable: Counter::default(),
            suppressed_total: Counter::default(),
            service_time: Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKETS)),
            sent_bytes: Family::default(),
            sent_datagrams: Family::default(),
            window_start: Millis(0),
            window_lines: 0,
            suppressed: 0,
        }
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "decisions",
            "Decisions on packets and flows",
            self.decisions.clone(),
        );
        registry.register(
            "unread",
            "Datagrams and reports that could not be read",
            self.unreadable.clone(),
        );
        registry.register(
            "unlogged",
            "Log lines left out to keep their number bounded",
            self.suppressed_total.clone(),
        );
        registry.register(
            "service_seconds",
            "Time from a request's last data to the first data of its answer",
            self.service_time.clone(),
        );
        registry.register(
            "sent_bytes",
            "Bytes handed to the link, by cause",
            self.sent_bytes.clone(),
        );
        registry.register(
            "sent_datagrams",
            "Datagrams handed to the link, by cause",
            self.sent_datagrams.clone(),
        );
    }

    /// Publishes what was sent so far.
    pub fn publish_traffic(&self, traffic: &Traffic) {
        for cause in Cause::ALL {
            let (count, label) = (
                traffic.count(cause),
                CauseLabel {
                    cause: cause.name(),
                },
            );
            let bytes = self.sent_bytes.get_or_create(&label);
            bytes.inner().store(count.bytes, Ordering::Relaxed);
            let datagrams = self.sent_datagrams.get_or_create(&label);
            datagrams.inner().store(count.datagrams, Ordering::Relaxed);
        }
    }

    /// Counts a decision. Returns the number of log lines suppressed since the last one
    /// if this decision may be logged, and `None` if the limit is reached.
    pub fn record_decision(
        &mut self,
        decision: &'static str,
        severity: Severity,
        now: Millis,
    ) -> Option<u64> {
        self.decisions
            .get_or_create(&DecisionLabel { decision })
            .inc();
        if now.since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.window_lines = 0;
        }
        let limit = match severity {
            Severity::Routine => ROUTINE_LINES,
            Severity::Notable => LINES_PER_SECOND,
        };
        if self.window_lines >= limit {
            self.suppressed += 1;
            self.suppressed_total.inc();
            return None;
        }
        self.window_lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }

    /// Counts an unreadable datagram or report.
    pub fn count_unreadable(&self) {
        self.unreadable.inc();
    }

    /// Records the service time of a request.
    pub fn observe_service_time(&self, service_time: Millis) {
        self.service_time
            .observe(service_time.to_duration().as_secs_f64());
    }
}

impl Default for Telemetry {
    fn default() -> Self {
        Self::new()
    }
}
