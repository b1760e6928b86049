//! Counts of what a pass-through node sends.

use cassiacross::{
    protocol::Message,
    telemetry::Telemetry,
    traffic::{Cause, Count, Traffic},
};
use prometheus_client::{encoding::text, registry::Registry};

#[test]
fn record_counts_datagrams_and_bytes_by_cause() {
    let mut traffic = Traffic::default();
    traffic.record(Cause::Packet, 100);
    traffic.record(Cause::Packet, 50);
    traffic.record(Cause::of(&Message::Ping), 20);
    let count = |datagrams, bytes| Count { datagrams, bytes };
    assert_eq!(traffic.count(Cause::Packet), count(2, 150));
    assert_eq!(traffic.count(Cause::Heartbeat), count(1, 20));
    assert_eq!(traffic.count(Cause::Digest), Count::default());
}

#[test]
fn publish_traffic_sets_the_metrics() {
    let telemetry = Telemetry::new();
    let mut registry = Registry::default();
    telemetry.register(&mut registry);
    let mut traffic = Traffic::default();
    for len in [10, 20] {
        traffic.record(Cause::of(&Message::Roster(Vec::new())), len);
        telemetry.publish_traffic(&traffic);
    }
    let mut page = String::new();
    text::encode(&mut page, &registry).expect("metrics are encoded");
    assert!(
        page.contains("sent_bytes_total{cause=\"entries\"} 30"),
        "{page}"
    );
    assert!(
        page.contains("sent_datagrams_total{cause=\"entries\"} 2"),
        "{page}"
    );
    assert!(
        page.contains("sent_bytes_total{cause=\"answer\"} 0"),
        "{page}"
    );
}
