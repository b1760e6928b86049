//! Measures the packet rate of one balancer's forwarding path and the build time of its routing
//! tables.

use std::{
    hint,
    net::{Ipv4Addr, SocketAddrV4},
    time::Instant,
};

use cassiacross::{clock, forward, gue, header, ident, record, rendezvous, seal};
use serde::Serialize;

/// Maximum number of services; there are never more services than upstreams.
const SERVICES: usize = 1_800;
const UPSTREAMS: [usize; 4] = [10, 100, 1_000, 4_200];
const FLOWS: [usize; 3] = [1_000, 10_000, 100_000];
/// Number of packets to forward for each measured packet rate.
const PACKETS: usize = 200_000;
const KEY: &str = "measure-packets-key";
/// Length of the IPv4 header in bytes.
const IP_LEN: usize = 20;
/// Length of the TCP header in bytes.
const TCP_LEN: usize = 20;

/// Table build times and size for one number of upstreams.
#[derive(Debug, Serialize)]
struct Tables {
    upstreams: usize,
    services: usize,
    build_ms: f64,
    rebuild_ms: f64,
    table_bytes: usize,
}

/// Packet rate for one number of flows.
#[derive(Debug, Serialize)]
struct Rate {
    upstreams: usize,
    flows: usize,
    packet_ns: f64,
    packets_per_second: f64,
}

/// Measures all sizes; always returns true, since this measurement has no target.
#[expect(clippy::unnecessary_wraps, reason = "measurements share one signature")]
pub fn run(seed: u64, json: bool) -> anyhow::Result<bool> {
    let (mut tables, mut rates) = (Vec::new(), Vec::new());
    for upstreams in UPSTREAMS {
        let count = SERVICES.min(upstreams);
        let services: Vec<_> = (0..count).map(service).collect();
        let members = |changed: usize| {
            move |service: &record::Service| candidates(service, count, upstreams, changed)
        };
        let start = Instant::now();
        let routes = forward::Routes::default().rebuild(&services, members(0));
        let build_ms = milliseconds(start);
        let start = Instant::now();
        hint::black_box(routes.rebuild(&services, members(1)));
        let row = Tables {
            upstreams,
            services: count,
            build_ms,
            rebuild_ms: milliseconds(start),
            table_bytes: rendezvous::BUCKETS * rendezvous::CHAIN_LEN * size_of::<u16>(),
        };
        println!("{row:?}");
        tables.push(row);
        for flows in FLOWS {
            let row = measure_rate(&routes, &services, upstreams, flows, seed);
            println!("{row:?}");
            rates.push(row);
        }
    }
    if json {
        let value = serde_json::json!({
            "measure": "packets", "seed": seed, "tables": tables, "rates": rates,
            "target": null, "met": true,
        });
        println!("{value}");
    }
    Ok(true)
}

#[expect(clippy::cast_precision_loss, reason = "the number of packets is small")]
fn measure_rate(
    routes: &forward::Routes,
    services: &[record::Service],
    upstreams: usize,
    flows: usize,
    seed: u64,
) -> Rate {
    let sealer = seal::Sealer::new(KEY);
    let fabric = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9_000);
    let datagrams: Vec<_> = (0..flows)
        .map(|flow| datagram(flow, services[flow % services.len()].address))
        .collect();
    let mut scratch = forward::Scratch::new();
    let start = Instant::now();
    for packet in 0..PACKETS {
        let datagram = &datagrams[packet % flows];
        let sent = forward::forward(routes, &sealer, seed, fabric, datagram, &mut scratch);
        assert!(sent.is_ok(), "forwarding packet {packet} failed");
    }
    let packet_ns = start.elapsed().as_secs_f64() * 1e9 / PACKETS as f64;
    Rate {
        upstreams,
        flows,
        packet_ns,
        packets_per_second: 1e9 / packet_ns,
    }
}

fn service(index: usize) -> record::Service {
    record::Service {
        name: format!("service-{index:04}"),
        address: SocketAddrV4::new(host_addr(10, index), 80),
        protocol: record::Protocol::Http,
        weights: Vec::new(),
        rules: Vec::new(),
        deadline: clock::Millis(1_000),
        former: Vec::new(),
    }
}

/// Returns the candidates of a service; the first `changed` upstreams have weight 2 instead of 1.
fn candidates(
    service: &record::Service,
    services: usize,
    upstreams: usize,
    changed: usize,
) -> Vec<rendezvous::Candidate> {
    let first = usize::from(service.address.ip().octets()[2]) << 8
        | usize::from(service.address.ip().octets()[3]);
    let mut candidates: Vec<_> = (first..upstreams)
        .step_by(services)
        .map(|index| rendezvous::Candidate {
            hop: header::Hop {
                node: ident::NodeId::of(&format!("upstream-{index:04}")),
                incarnation: ident::Incarnation(1),
                addr: SocketAddrV4::new(host_addr(11, index), 7_003),
            },
            weight: if index < changed { 2.0 } else { 1.0 },
        })
        .collect();
    candidates.sort_unstable_by_key(|candidate| candidate.hop.node);
    candidates
}

/// Creates a GUE datagram with a TCP segment without payload.
fn datagram(flow: usize, destination: SocketAddrV4) -> Vec<u8> {
    let mut packet = vec![0; IP_LEN + TCP_LEN];
    packet[0] = 0x45;
    packet[3] = 40;
    packet[8] = 64;
    packet[9] = 6;
    packet[12..16].copy_from_slice(&host_addr(12, flow / 50_000).octets());
    packet[16..20].copy_from_slice(&destination.ip().octets());
    let port = u16::try_from(1_024 + flow % 50_000).unwrap_or(u16::MAX);
    packet[20..22].copy_from_slice(&port.to_be_bytes());
    packet[22..24].copy_from_slice(&destination.port().to_be_bytes());
    packet[32] = 0x50;
    packet[33] = 0x10;
    let mut encapsulated = Vec::new();
    gue::encode(&packet, &mut encapsulated);
    encapsulated
}

fn host_addr(net: u8, index: usize) -> Ipv4Addr {
    let [_, high, middle, low] = u32::try_from(index).unwrap_or(0).to_be_bytes();
    Ipv4Addr::new(net, high, middle, low)
}

fn milliseconds(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1_000.0
}
