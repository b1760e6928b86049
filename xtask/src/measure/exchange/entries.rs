//! Entries, heartbeats and records of the measured fleets.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4},
};

use cassiacross::{exchange, ident, member, membership};

use super::{DESIGN_BALANCERS, DESIGN_RECORDS, DOMAIN_COUNT};

pub(super) fn address(net: u8, index: usize, port: u16) -> SocketAddrV4 {
    let [_, _, high, low] = u32::try_from(index).unwrap_or(0).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, net, high, low), port)
}

pub(super) fn balancer_entry(index: usize) -> member::Balancer {
    let name = format!("balancer-{index:03}");
    member::Balancer {
        node: ident::NodeId::of(&name),
        incarnation: ident::Incarnation(1 << 56),
        name,
        domain: format!("domain-{}", index % DOMAIN_COUNT),
        control: address(1, index, 7_001),
        http: address(1, index, 7_002),
        leaving: false,
    }
}

pub(super) fn heartbeat(index: usize, balancers: &[member::Balancer]) -> exchange::Heartbeat {
    let name = format!("upstream-{index:04}");
    let node = ident::NodeId::of(&name);
    let services = (balancers.len() * DESIGN_RECORDS / DESIGN_BALANCERS).max(1);
    exchange::Heartbeat {
        member: member::Member {
            node,
            incarnation: ident::Incarnation(1 << 56),
            change: 1,
            name,
            service: service_name(index % services),
            domain: format!("domain-{}", index % DOMAIN_COUNT),
            packets: address(2, index, 7_003),
            http: address(2, index, 7_004),
            state: member::State::Ready,
            step: 4,
            watchers: membership::select_watchers(node, balancers),
        },
        seq: 0,
        version: 1,
        digest: 1 << 60,
    }
}

pub(super) fn service_name(index: usize) -> String {
    format!("service-{index:04}")
}

/// Returns the versions of all records; the first `changed` have version 2 instead of 1.
pub(super) fn record_versions(records: usize, changed: usize) -> Vec<exchange::RecordVersion> {
    let record = |index| exchange::RecordVersion {
        name: service_name(index),
        version: if index < changed { 2 } else { 1 },
    };
    (0..records).map(record).collect()
}

pub(super) fn services(records: usize, changed: usize) -> Vec<exchange::VersionedService> {
    let versioned = |record: exchange::RecordVersion| exchange::VersionedService {
        name: record.name,
        version: record.version,
        service: None,
    };
    record_versions(records, changed)
        .into_iter()
        .map(versioned)
        .collect()
}

/// Returns the positions of the balancers by one of their fields.
pub(super) fn index_by<K: Eq + std::hash::Hash>(
    entries: &[member::Balancer],
    key: impl Fn(&member::Balancer) -> K,
) -> HashMap<K, usize> {
    entries
        .iter()
        .enumerate()
        .map(|(index, entry)| (key(entry), index))
        .collect()
}
