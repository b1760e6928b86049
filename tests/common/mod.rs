//! Members, balancers, services and packets for the tests of membership, gossip, forwarding and the
//! daemons.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod daemon;

use std::net::{Ipv4Addr, SocketAddrV4};

use cassiacross::{clock, exchange, ident, member, membership, record};
use smoltcp::wire;

/// Heartbeat period.
pub const PERIOD: clock::Millis = clock::Millis(1_000);
/// Service of the members that [`member`] creates.
pub const SERVICE: &str = "ledger";

/// Returns the time after a number of heartbeat periods.
pub fn at(periods: u64) -> clock::Millis {
    clock::Millis(PERIOD.0 * periods)
}

pub fn node(name: &str) -> ident::NodeId {
    ident::NodeId::of(name)
}

/// Returns a loopback address.
pub const fn addr(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

/// Creates a balancer in one of three failure domains.
pub fn balancer(index: u16) -> member::Balancer {
    let name = format!("balancer-{index}");
    member::Balancer {
        node: node(&name),
        incarnation: ident::Incarnation(1),
        name,
        domain: format!("domain-{}", index % 3),
        control: addr(10_000 + index),
        http: addr(20_000 + index),
        leaving: false,
    }
}

/// Creates a ready agent of [`SERVICE`] with the given watchers.
pub fn member(name: &str, watchers: &[ident::NodeId]) -> member::Member {
    member::Member {
        node: node(name),
        incarnation: ident::Incarnation(5),
        change: 1,
        name: name.to_owned(),
        service: SERVICE.to_owned(),
        domain: "domain-0".to_owned(),
        packets: addr(30_000),
        http: addr(30_001),
        state: member::State::Ready,
        step: 0,
        watchers: watchers.to_vec(),
    }
}

/// Creates the membership tables of a balancer.
pub fn tables(index: u16) -> membership::Tables {
    membership::Tables::new(balancer(index), membership::Timing::new(PERIOD), at(0))
}

/// Creates the liveness report of a balancer that misses the agents in `except`.
pub fn report(index: u16, seq: u64, except: &[&str]) -> membership::LivenessReport {
    let mut except: Vec<_> = except.iter().map(|name| node(name)).collect();
    except.sort_unstable();
    membership::LivenessReport {
        balancer: balancer(index).node,
        incarnation: ident::Incarnation(1),
        seq,
        vouching: true,
        except,
    }
}

/// Creates a version of a service without rules and weights.
pub fn service(name: &str, port: u16, version: u64) -> exchange::VersionedService {
    exchange::VersionedService {
        name: name.to_owned(),
        version,
        service: Some(record::Service {
            name: name.to_owned(),
            address: service_addr(port),
            protocol: record::Protocol::Http,
            weights: Vec::new(),
            rules: Vec::new(),
            deadline: clock::Millis(1_000),
            former: Vec::new(),
        }),
    }
}

/// Returns the address of a service.
pub fn service_addr(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), port)
}

/// Creates the IPv4 packet with the SYN of a caller, identified by its port.
pub fn syn_packet(caller_port: u16, to: SocketAddrV4) -> Vec<u8> {
    let from = Ipv4Addr::new(192, 0, 2, 1);
    let tcp = wire::TcpRepr {
        src_port: caller_port,
        dst_port: to.port(),
        control: wire::TcpControl::Syn,
        seq_number: wire::TcpSeqNumber(1),
        ack_number: None,
        window_len: 1_000,
        window_scale: None,
        max_seg_size: None,
        sack_permitted: false,
        sack_ranges: [None; 3],
        timestamp: None,
        payload: &[],
    };
    let ip = wire::Ipv4Repr {
        src_addr: from,
        dst_addr: *to.ip(),
        next_header: wire::IpProtocol::Tcp,
        payload_len: tcp.buffer_len(),
        hop_limit: 64,
    };
    let checksums = smoltcp::phy::ChecksumCapabilities::default();
    let mut bytes = vec![0; ip.buffer_len() + tcp.buffer_len()];
    let mut writer = wire::Ipv4Packet::new_unchecked(&mut bytes);
    ip.emit(&mut writer, &checksums);
    let mut writer = wire::TcpPacket::new_unchecked(writer.payload_mut());
    tcp.emit(&mut writer, &from.into(), &(*to.ip()).into(), &checksums);
    bytes
}
