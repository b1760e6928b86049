//! The real agent between a fake balancer and a fake upstream.

mod common;

use std::{
    io::Read,
    net::{SocketAddrV4, TcpListener, UdpSocket},
    process::Child,
    thread,
    time::Instant,
};

use cassiacross::{exchange, gue, header, ident, member, packet, seal};
use common::daemon;
use gotham::{mime, prelude::*, router::build_simple_router, state::State};
use yare::parameterized;

const KEY: &str = "fleet key of the agent tests";
const TOKEN: &str = "operator token of the agent tests";
const PROGRAM: &str = env!("CARGO_BIN_EXE_cassiacross-agent");
const CONNECTIONS: usize = 4;

#[derive(serde::Deserialize)]
struct Bound {
    packets: SocketAddrV4,
    http: SocketAddrV4,
    local: SocketAddrV4,
}

struct Agent {
    child: Child,
    bound: Bound,
    fabric: UdpSocket,
    client: daemon::Client,
    /// Takes connections, so that an upstream that announces itself once stays ready.
    upstream: TcpListener,
}

impl Agent {
    /// Starts an agent whose upstream is ready and whose record is in force.
    fn start() -> Self {
        let agent = Self::spawn();
        assert_eq!(agent.announce(&agent.announcement()), 204);
        agent.wait_until("ready", || agent.get("ready").0 == 200);
        agent
    }

    fn spawn() -> Self {
        Self::spawn_beside(balancer(Vec::new()))
    }

    fn spawn_beside(seed: SocketAddrV4) -> Self {
        let (child, bound) = daemon::spawn(PROGRAM, &settings(seed));
        let fabric = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
        fabric
            .set_read_timeout(Some(daemon::TIMEOUT))
            .expect("the socket can be set");
        Self {
            child,
            bound,
            fabric,
            client: daemon::Client::new(),
            upstream: TcpListener::bind("127.0.0.1:0").expect("a port is free"),
        }
    }

    fn announce(&self, body: &serde_json::Value) -> u16 {
        let body = body.to_string().into_bytes();
        self.client.post(self.bound.local, "announce", "", body).0
    }

    fn announcement(&self) -> serde_json::Value {
        let address = self.upstream.local_addr().expect("the socket is bound");
        serde_json::json!({
            "service": common::SERVICE, "address": address.to_string(), "slots": 2,
            "connections": CONNECTIONS, "load": "/load", "state": "ready",
        })
    }

    fn get(&self, path: &str) -> (u16, String) {
        self.client.get(self.bound.http, path)
    }

    fn state(&self) -> serde_json::Value {
        serde_json::from_str(&self.get("state").1).expect("the state is JSON")
    }

    fn counts(&self, metric: &str) -> u64 {
        let (_, text) = self.get("metrics");
        let mut lines = text.lines();
        let value = lines.find_map(|line| line.strip_prefix(metric));
        value.map_or(0, |value| {
            value.trim().parse().expect("the value is a number")
        })
    }

    fn packets(&self, action: &str) -> u64 {
        self.counts(&format!(
            "cassiacross_agent_packets_total{{action=\"{action}\"}}"
        ))
    }

    fn wait_until(&self, what: &str, fits: impl Fn() -> bool) {
        let start = Instant::now();
        while !fits() {
            assert!(
                start.elapsed() < daemon::TIMEOUT,
                "{what}: {}",
                self.get("state").1
            );
            thread::sleep(daemon::POLL_INTERVAL);
        }
    }

    /// The hop as the agent announces itself now.
    fn hop(&self) -> header::Hop {
        let member: member::Member =
            serde_json::from_value(self.state()["member"].clone()).expect("the entry can be read");
        member.hop()
    }

    fn send(&self, header: &header::Header, packet: &[u8]) {
        let mut head = Vec::new();
        header::encode(header, &mut head);
        let mut datagram = Vec::new();
        seal::Sealer::new(KEY).seal(seal::Kind::Packet, &[&head, packet], &mut datagram);
        self.send_raw(&datagram);
    }

    fn send_raw(&self, datagram: &[u8]) {
        self.fabric
            .send_to(datagram, self.bound.packets)
            .expect("it is sent");
    }

    fn header(&self) -> header::Header {
        let fabric = self.fabric.local_addr().expect("the socket is bound");
        header::Header {
            version: header::VERSION,
            service: ident::ServiceId::of(common::SERVICE),
            target: self.hop(),
            chain: Vec::new(),
            fabric: common::addr(fabric.port()),
            forwarded: false,
        }
    }

    fn answer(&self) -> packet::View {
        let mut buffer = [0; 2_048];
        let len = self.fabric.recv(&mut buffer).expect("an answer comes");
        let bytes = gue::decode(&buffer[..len]).expect("the answer is encapsulated");
        packet::parse(bytes).expect("the answer is whole")
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        daemon::kill(&mut self.child);
    }
}

fn settings(seed: SocketAddrV4) -> serde_json::Value {
    let any = "127.0.0.1:0";
    serde_json::json!({
        "name": "agent-1", "domain": "valley-a", "packets": any, "http": any, "local": any,
        "seeds": [seed], "period_ms": 50, "fleet_key": KEY, "operator_token": TOKEN,
    })
}

/// A balancer that gives the view of one service without agents, with `others` as balancers.
fn balancer(others: Vec<member::Balancer>) -> SocketAddrV4 {
    daemon::serve(|listener| async {
        let accept = |stream| std::future::ready(Ok(stream));
        gotham::bind_server(listener, router(others), accept).await
    })
}

fn router(others: Vec<member::Balancer>) -> gotham::router::Router {
    let versioned = common::service(common::SERVICE, 80, 3);
    let view = exchange::View {
        service: versioned.service,
        version: versioned.version,
        balancers: others,
        digest: 1,
        ..exchange::View::default()
    };
    let body: &'static [u8] = exchange::encode(&view).leak();
    build_simple_router(|route| {
        route
            .post("/fleet/view")
            .to(move |state: State| (state, (mime::APPLICATION_MSGPACK, body)));
    })
}

#[test]
fn opening_packet_is_answered_past_the_balancer() {
    let agent = Agent::start();
    agent.send(
        &agent.header(),
        &common::syn_packet(4_000, common::service_addr(80)),
    );
    let answer = agent.answer();
    assert_eq!(*answer.flow.caller.ip(), *common::service_addr(80).ip());
    assert_eq!(
        (answer.opening, answer.reset, answer.ack),
        (false, false, Some(2))
    );
    agent.wait_until("the flow", || agent.packets("accept") == 1);
}

#[parameterized(
    other_agent = { |header| header.target.node = ident::NodeId(1), "drop_target" },
    earlier_run = { |header| header.target.incarnation = ident::Incarnation(1), "drop_target" },
    other_service = { |header| header.service = ident::ServiceId::of("sheets"), "drop_target" },
)]
fn packet_for_another_is_not_delivered(change: fn(&mut header::Header), counted: &str) {
    let agent = Agent::start();
    let mut header = agent.header();
    change(&mut header);
    agent.send(
        &header,
        &common::syn_packet(4_000, common::service_addr(80)),
    );
    agent.wait_until("the drop", || agent.packets(counted) == 1);
    assert_eq!(agent.packets("accept"), 0);
}

#[test]
fn address_of_another_service_takes_no_flow() {
    let agent = Agent::start();
    agent.send(
        &agent.header(),
        &common::syn_packet(4_000, common::service_addr(81)),
    );
    agent.wait_until("the drop", || agent.packets("drop_address") == 1);
    assert_eq!(agent.packets("accept"), 0);
}

#[test]
fn flood_of_opening_packets_takes_bounded_flows() {
    let agent = Agent::start();
    let flows = u16::try_from(CONNECTIONS * 2).expect("the number is small");
    for caller in 0..flows + 5 {
        let opening = common::syn_packet(4_000 + caller, common::service_addr(80));
        agent.send(&agent.header(), &opening);
    }
    agent.wait_until("refusals", || agent.packets("refuse") == 5);
    assert_eq!(agent.packets("accept"), u64::from(flows));
}

#[test]
fn bad_datagrams_are_counted_and_do_no_harm() {
    let agent = Agent::start();
    let mut sealed = Vec::new();
    seal::Sealer::new("another fleet's key").seal(seal::Kind::Packet, &[b"x"], &mut sealed);
    let mut hollow = Vec::new();
    seal::Sealer::new(KEY).seal(seal::Kind::Displaced, &[b"x"], &mut hollow);
    for datagram in [&[][..], &[1; 8], &[0xff; 1_500], &sealed, &hollow] {
        agent.send_raw(datagram);
    }
    let dropped = "cassiacross_agent_dropped_datagrams_total";
    agent.wait_until("the drops", || agent.counts(dropped) == 5);
    agent.send(
        &agent.header(),
        &common::syn_packet(4_000, common::service_addr(80)),
    );
    assert!(!agent.answer().reset);
}

#[parameterized(
    no_json = { serde_json::json!("text") },
    other_host = { serde_json::json!({"service": "ledger", "address": "192.0.2.1:80", "slots": 1, "connections": 1, "state": "ready"}) },
    no_slots = { serde_json::json!({"service": "ledger", "address": "127.0.0.1:80", "slots": 0, "connections": 1, "state": "ready"}) },
    unknown_state = { serde_json::json!({"service": "ledger", "address": "127.0.0.1:80", "slots": 1, "connections": 1, "state": "asleep"}) },
)]
fn faulty_announcement_is_refused(body: serde_json::Value) {
    let agent = Agent::spawn();
    assert_eq!(agent.announce(&body), 400);
    assert_eq!(agent.get("ready").0, 503);
}

#[test]
fn ready_after_draining_is_a_new_run() {
    let agent = Agent::start();
    let before = agent.hop();
    let mut draining = agent.announcement();
    draining["state"] = "draining".into();
    agent.announce(&draining);
    assert_eq!(agent.get("ready").0, 503);
    agent.announce(&agent.announcement());
    agent.wait_until("ready", || agent.get("ready").0 == 200);
    assert!(agent.hop().incarnation > before.incarnation);
}

/// A balancer that takes heartbeats and connections but never answers a pull.
struct Silent {
    control: UdpSocket,
    http: TcpListener,
}

impl Silent {
    fn new() -> Self {
        let control = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
        control
            .set_read_timeout(Some(daemon::TIMEOUT))
            .expect("the socket can be set");
        let http = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        Self { control, http }
    }

    fn entry(&self) -> member::Balancer {
        let port = |addr: std::io::Result<std::net::SocketAddr>| {
            common::addr(addr.expect("the socket is bound").port())
        };
        member::Balancer {
            control: port(self.control.local_addr()),
            http: port(self.http.local_addr()),
            ..common::balancer(1)
        }
    }

    /// Takes one heartbeat and tells of a view that differs.
    fn answer(&self) -> u64 {
        let mut buffer = [0; 2_048];
        let (len, from) = self
            .control
            .recv_from(&mut buffer)
            .expect("a heartbeat comes");
        let sealer = seal::Sealer::new(KEY);
        let (_, body) = sealer.open(&buffer[..len]).expect("it is sealed");
        let beat: exchange::Heartbeat = rmp_serde::from_slice(body).expect("it can be read");
        let ack = exchange::Ack {
            balancer: self.entry().node,
            incarnation: self.entry().incarnation,
            seq: beat.seq,
            digest: beat.digest + 1,
            version: 0,
            refused: None,
        };
        let mut datagram = Vec::new();
        sealer.seal(seal::Kind::Ack, &[&exchange::encode(&ack)], &mut datagram);
        self.control.send_to(&datagram, from).expect("it is sent");
        beat.seq
    }
}

#[test]
fn heartbeats_go_on_while_a_pull_hangs() {
    let silent = Silent::new();
    let agent = Agent::spawn_beside(balancer(vec![silent.entry()]));
    assert_eq!(agent.announce(&agent.announcement()), 204);
    let mut last = silent.answer();
    let (pull, _) = silent.http.accept().expect("the agent pulls");
    pull.set_nonblocking(true).expect("the socket can be set");
    let mut request = [0; 4_096];
    while last == 0 || !matches!(pull.peek(&mut request), Ok(len) if len > 0) {
        last = silent.answer();
    }
    let started = last;
    while last <= started + 2 {
        last = silent.answer();
    }
    let mut ended = || loop {
        match (&pull).read(&mut request) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(_) => return false,
        }
    };
    assert!(!ended(), "the heartbeats waited for the end of the pull");
}

#[test]
fn silent_upstream_is_ready_again_with_its_next_announcement() {
    let agent = Agent::start();
    let mut refusing = agent.announcement();
    refusing["address"] = "127.0.0.1:9".into();
    assert_eq!(agent.announce(&refusing), 204);
    let before = agent.hop();
    agent.wait_until("not ready", || agent.get("ready").0 == 503);
    assert_eq!(agent.announce(&refusing), 204);
    assert_eq!(agent.get("ready").0, 200);
    assert_eq!(agent.hop(), before);
}

#[test]
fn metrics_stand_once_however_often_the_upstream_returns() {
    let agent = Agent::start();
    for state in ["draining", "ready", "draining", "ready"] {
        let mut announcement = agent.announcement();
        announcement["state"] = state.into();
        agent.announce(&announcement);
    }
    agent.wait_until("ready", || agent.get("ready").0 == 200);
    let (_, text) = agent.get("metrics");
    let families: Vec<_> = text
        .lines()
        .filter(|line| line.starts_with("# TYPE"))
        .collect();
    let mut distinct = families.clone();
    distinct.sort_unstable();
    distinct.dedup();
    assert_eq!(families.len(), distinct.len(), "{text}");
}

#[test]
fn state_hides_secrets() {
    let agent = Agent::start();
    let (_, state) = agent.get("state");
    assert!(!state.contains(KEY) && !state.contains(TOKEN));
}
