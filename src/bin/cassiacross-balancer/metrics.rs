//! Prometheus counters of the balancer's packets and datagrams.

use std::{fmt, sync::Mutex};

use cassiacross::{balancer, forward, mutex};
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ReasonLabel {
    reason: &'static str,
}

/// The balancer's counters and the registry that exports them.
pub(crate) struct Metrics {
    /// Packets sent to an agent.
    pub(crate) forwarded_packets: Counter,
    /// Packets and control datagrams that could not be sent.
    pub(crate) unsent_datagrams: Counter,
    /// Valid sealed datagrams received on the control socket.
    pub(crate) datagrams: Counter,
    /// Bytes sent from the control socket.
    pub(crate) control_bytes: Counter,
    /// Full syncs received from a peer.
    pub(crate) full_syncs: Counter,
    /// Packets from the fabric that were dropped, by reason.
    dropped: Family<ReasonLabel, Counter>,
    /// Datagrams received on the control socket that were dropped, by reason.
    rejected: Family<ReasonLabel, Counter>,
    registry: Mutex<Registry>,
}

impl Metrics {
    /// Creates and registers all counters.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("cassiacross_balancer");
        let counter = |registry: &mut Registry, name: &str, help: &str| {
            let counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        let dropped = Family::default();
        let rejected = Family::default();
        registry.register(
            "dropped_packets",
            "Packets from the fabric that were dropped",
            dropped.clone(),
        );
        registry.register(
            "rejected_datagrams",
            "Sealed datagrams that were dropped",
            rejected.clone(),
        );
        Self {
            forwarded_packets: counter(
                &mut registry,
                "forwarded_packets",
                "Packets sent to agents",
            ),
            unsent_datagrams: counter(
                &mut registry,
                "unsent_datagrams",
                "Datagrams that the host did not take",
            ),
            datagrams: counter(&mut registry, "datagrams", "Sealed datagrams taken"),
            control_bytes: counter(
                &mut registry,
                "sent_control_bytes",
                "Bytes of heartbeat answers and exchanges sent",
            ),
            full_syncs: counter(&mut registry, "syncs", "Full syncs taken from a peer"),
            dropped,
            rejected,
            registry: Mutex::new(registry),
        }
    }

    /// Counts a packet that was dropped, by reason.
    pub(crate) fn count_dropped(&self, error: forward::Error) {
        let reason = match error {
            forward::Error::Gue(_) => "encapsulation",
            forward::Error::Packet(_) => "packet",
            forward::Error::Service => "service",
            forward::Error::Candidates => "candidates",
        };
        self.dropped.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a datagram of the control socket that was dropped, by reason.
    pub(crate) fn count_rejected(&self, error: &balancer::Error) {
        let reason = match error {
            balancer::Error::Long(_) => "long",
            balancer::Error::Seal(_) => "seal",
            balancer::Error::Kind(_) => "kind",
            balancer::Error::Codec(_) => "codec",
            balancer::Error::Replayed => "replayed",
        };
        self.rejected.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Returns all counters in the text format of `OpenMetrics`.
    pub(crate) fn encode(&self) -> Result<String, fmt::Error> {
        let registry = mutex::lock(&self.registry);
        let mut out = String::new();
        text::encode(&mut out, &registry)?;
        Ok(out)
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Metrics")
    }
}
