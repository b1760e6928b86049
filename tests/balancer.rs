//! The balancer daemon as a real process.

mod common;

use std::{
    net::{SocketAddrV4, UdpSocket},
    process::{Child, Command, ExitStatus},
    thread,
    time::Instant,
};

use cassiacross::{exchange, gue, header, ident, member, record_table, seal};
use common::daemon;
use gotham::{mime, prelude::*, router::build_simple_router, state::State};
use serde::{Serialize, de::DeserializeOwned};
use yare::parameterized;

const KEY: &str = "0123456789abcdef";
const TOKEN: &str = "operator-token-0123";
const PROGRAM: &str = env!("CARGO_BIN_EXE_cassiacross-balancer");

#[derive(serde::Deserialize)]
struct Bound {
    packets: SocketAddrV4,
    control: SocketAddrV4,
    http: SocketAddrV4,
}

struct Daemon {
    child: Child,
    bound: Bound,
    client: daemon::Client,
}

impl Daemon {
    /// Starts a daemon beside a platform without records, and waits until it is ready.
    fn start(name: &str, seeds: &[SocketAddrV4]) -> Self {
        let daemon = Self::spawn(name, seeds, platform());
        daemon.wait_until("ready", || daemon.status("ready") == 200);
        daemon
    }

    fn spawn(name: &str, seeds: &[SocketAddrV4], platform: SocketAddrV4) -> Self {
        let settings = settings(name, seeds, platform);
        let (child, bound) = daemon::spawn(PROGRAM, &settings);
        Self {
            child,
            bound,
            client: daemon::Client::new(),
        }
    }

    fn status(&self, path: &str) -> u16 {
        self.client.get(self.bound.http, path).0
    }

    fn text(&self, path: &str) -> String {
        let (status, text) = self.client.get(self.bound.http, path);
        assert_eq!(status, 200, "{path} answers {text}");
        text
    }

    fn state(&self) -> serde_json::Value {
        serde_json::from_str(&self.text("state")).expect("the state is JSON")
    }

    fn counts(&self, metric: &str) -> bool {
        let text = self.text("metrics");
        text.lines()
            .filter_map(|line| line.strip_prefix(metric))
            .any(|value| value.trim() != "0")
    }

    fn wait_until(&self, what: &str, fits: impl Fn() -> bool) {
        let start = Instant::now();
        while !fits() {
            assert!(
                start.elapsed() < daemon::TIMEOUT,
                "{what}: {}",
                self.text("state")
            );
            thread::sleep(daemon::POLL_INTERVAL);
        }
    }

    fn terminate(&self) {
        let status = Command::new("kill")
            .args(["-TERM", &self.child.id().to_string()])
            .status()
            .expect("the signal is sent");
        assert!(status.success());
    }

    fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the daemon ends")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        daemon::kill(&mut self.child);
    }
}

/// A platform without records, for the rest of the process.
fn platform() -> SocketAddrV4 {
    daemon::serve(platform_standins::store::serve)
}

fn settings(name: &str, seeds: &[SocketAddrV4], platform: SocketAddrV4) -> serde_json::Value {
    let any = "127.0.0.1:0";
    serde_json::json!({
        "name": name, "domain": "valley-a", "packets": any, "control": any, "http": any,
        "seeds": seeds, "platform": format!("http://{platform}"), "period_ms": 50,
        "fleet_key": KEY, "operator_token": TOKEN,
    })
}

impl Daemon {
    fn fleet<Q: Serialize, A: DeserializeOwned>(
        &self,
        to: SocketAddrV4,
        path: &str,
        request: &Q,
    ) -> A {
        let bearer = seal::Sealer::new(KEY).bearer_token();
        let body = exchange::encode(request);
        let (status, body) = self.client.post(to, path, &bearer, body);
        assert_eq!(status, 200);
        rmp_serde::from_slice(&body).expect("the answer can be read")
    }
}

/// A peer that holds the record of one service.
fn seed() -> SocketAddrV4 {
    daemon::serve(|listener| async {
        let accept = |stream| std::future::ready(Ok(stream));
        gotham::bind_server(listener, seed_router(), accept).await
    })
}

fn seed_router() -> gotham::router::Router {
    build_simple_router(|route| {
        route.post("/fleet/sync").to(|state: State| {
            let sync = exchange::Sync {
                hints: vec![record_table::RecordVersion {
                    name: common::SERVICE.to_owned(),
                    version: 3,
                }],
                ..exchange::Sync::default()
            };
            (state, (mime::APPLICATION_MSGPACK, exchange::encode(&sync)))
        });
        route.post("/fleet/records").to(|state: State| {
            let records = vec![record_table::VersionedRecord {
                name: common::SERVICE.to_owned(),
                version: 3,
                document: serde_json::json!({
                    "schema": 2, "kind": "service",
                    "address": common::service_addr(80).to_string(),
                    "protocol": "http", "deadline_ms": 1_000,
                }),
            }];
            (
                state,
                (mime::APPLICATION_MSGPACK, exchange::encode(&records)),
            )
        });
    })
}

struct Agent {
    socket: UdpSocket,
    sealer: seal::Sealer,
    beat: exchange::Heartbeat,
}

impl Agent {
    fn new(name: &str, watcher: &str) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
        socket
            .set_read_timeout(Some(daemon::TIMEOUT))
            .expect("the socket can be set");
        let mut member = common::member(name, &[common::node(watcher)]);
        member.packets = common::addr(socket.local_addr().expect("the socket is bound").port());
        Self {
            socket,
            sealer: seal::Sealer::new(KEY),
            beat: exchange::Heartbeat {
                member,
                seq: 0,
                version: 0,
                digest: 0,
            },
        }
    }

    fn beat(&mut self, to: SocketAddrV4) -> exchange::Ack {
        self.beat.seq += 1;
        let mut datagram = Vec::new();
        let body = exchange::encode(&self.beat);
        self.sealer
            .seal(seal::Kind::Heartbeat, &[&body], &mut datagram);
        self.socket.send_to(&datagram, to).expect("it is sent");
        loop {
            let (kind, body) = self.receive();
            if kind == seal::Kind::Ack {
                return rmp_serde::from_slice(&body).expect("the answer can be read");
            }
        }
    }

    fn receive(&self) -> (seal::Kind, Vec<u8>) {
        let mut buffer = [0; 2_048];
        let len = self.socket.recv(&mut buffer).expect("a datagram comes");
        let (kind, body) = self.sealer.open(&buffer[..len]).expect("it is sealed");
        (kind, body.to_vec())
    }
}

fn send_opening(to: SocketAddrV4) -> (SocketAddrV4, Vec<u8>) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let packet = common::syn_packet(4_000, common::service_addr(80));
    let mut datagram = Vec::new();
    gue::encode(&packet, &mut datagram);
    socket.send_to(&datagram, to).expect("it is sent");
    let port = socket.local_addr().expect("the socket is bound").port();
    (common::addr(port), packet)
}

fn node_state(daemon: &Daemon, index: &str, name: &str) -> Option<serde_json::Value> {
    let state = daemon.state();
    let rows = state[index].as_array().expect("rows are a list").clone();
    let entry = index.trim_end_matches('s');
    rows.into_iter().find(|row| row[entry]["name"] == name)
}

#[test]
fn packet_goes_from_fabric_to_agent_until_it_drains() {
    let daemon = Daemon::start("balancer-1", &[seed()]);
    daemon.wait_until("a route", || daemon.state()["routes"][0].is_object());
    send_opening(daemon.bound.packets);
    let dropped = "cassiacross_balancer_dropped_packets_total{reason=\"candidates\"}";
    daemon.wait_until("a dropped packet", || daemon.counts(dropped));

    let mut agent = Agent::new("agent-1", "balancer-1");
    let ack = agent.beat(daemon.bound.control);
    assert_eq!((ack.seq, ack.version, ack.refused), (1, 3, None));
    daemon.wait_until("a candidate", || {
        daemon.state()["routes"][0]["candidates"][0].is_object()
    });
    let (fabric, packet) = send_opening(daemon.bound.packets);
    let (kind, body) = agent.receive();
    let (header, inner) = header::decode(&body).expect("the header is whole");
    assert_eq!(kind, seal::Kind::Packet);
    assert_eq!((header.fabric, inner), (fabric, &*packet));
    assert_eq!(header.target, agent.beat.member.hop());

    agent.beat.member.state = member::State::Draining;
    agent.beat.member.change += 1;
    agent.beat(daemon.bound.control);
    let mut other = Agent::new("agent-2", "balancer-1");
    other.beat(daemon.bound.control);
    let remaining = serde_json::json!(other.beat.member.node);
    daemon.wait_until("one other candidate", || {
        let candidates = &daemon.state()["routes"][0]["candidates"];
        candidates[0]["node"] == remaining && candidates[1].is_null()
    });
    send_opening(daemon.bound.packets);
    let (kind, body) = other.receive();
    let (header, _) = header::decode(&body).expect("the header is whole");
    assert_eq!(kind, seal::Kind::Packet);
    assert_eq!(
        (header.target, header.chain),
        (other.beat.member.hop(), Vec::new())
    );
    assert!(daemon.counts("cassiacross_balancer_forwarded_packets_total"));
}

#[test]
fn view_shows_service_agents_and_balancers() {
    let daemon = Daemon::start("balancer-1", &[seed()]);
    let mut agent = Agent::new("agent-1", "balancer-1");
    let ack = agent.beat(daemon.bound.control);
    let request = exchange::ViewRequest::Service(common::SERVICE.to_owned());
    let view: exchange::View = daemon.fleet(daemon.bound.http, "fleet/view", &request);
    assert_eq!(view.service.map(|one| one.name).as_deref(), Some("ledger"));
    assert_eq!(view.members, [agent.beat.member]);
    assert_eq!(view.balancers.len(), 1);
    assert_eq!((view.version, view.digest), (3, ack.digest));
}

#[test]
fn agent_that_goes_silent_is_heard_of_at_both_balancers() {
    let one = Daemon::start("balancer-1", &[]);
    let two = Daemon::start("balancer-2", &[one.bound.http]);
    let mut agents: Vec<_> = (0..3)
        .map(|index| Agent::new(&format!("agent-{index}"), "balancer-1"))
        .collect();
    let liveness = |daemon: &Daemon, name: &str| {
        node_state(daemon, "members", name).map(|row| row["liveness"].clone())
    };
    let wait_for = |agents: &mut [Agent], name: &str, expected: &str| {
        let start = Instant::now();
        loop {
            for agent in agents.iter_mut() {
                agent.beat(one.bound.control);
            }
            if liveness(&two, name).is_some_and(|found| found == expected) {
                return;
            }
            assert!(
                start.elapsed() < daemon::TIMEOUT,
                "{name} is not {expected}"
            );
            thread::sleep(daemon::POLL_INTERVAL);
        }
    };
    for name in ["agent-0", "agent-1", "agent-2"] {
        wait_for(&mut agents, name, "alive");
    }
    agents.remove(0);
    wait_for(&mut agents, "agent-0", "dead");
    assert_eq!(liveness(&two, "agent-1").expect("agent is known"), "alive");
}

#[test]
fn stop_is_told_and_packets_still_pass() {
    let one = Daemon::start("balancer-1", &[]);
    let mut two = Daemon::start("balancer-2", &[seed(), one.bound.http]);
    let mut agent = Agent::new("agent-1", "balancer-2");
    agent.beat(two.bound.control);
    two.wait_until("a candidate", || {
        two.state()["routes"][0]["candidates"][0].is_object()
    });
    two.terminate();
    two.wait_until("not ready", || two.status("ready") == 503);
    send_opening(two.bound.packets);
    assert_eq!(agent.receive().0, seal::Kind::Packet);
    assert_eq!(two.wait().code(), Some(0));
}

#[test]
fn peers_hear_of_a_stop() {
    let one = Daemon::start("balancer-1", &[]);
    let mut two = Daemon::start("balancer-2", &[one.bound.http]);
    let leaving = || {
        node_state(&one, "balancers", "balancer-2").map(|row| row["balancer"]["leaving"].clone())
    };
    one.wait_until("the peer", || leaving().is_some());
    two.terminate();
    one.wait_until("the peer's stop", || {
        leaving().is_some_and(|leaving| leaving == true)
    });
    assert_eq!(two.wait().code(), Some(0));
}

#[test]
fn bad_datagrams_are_counted_and_do_no_harm() {
    let daemon = Daemon::start("balancer-1", &[]);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let mut noise = Vec::new();
    let sealer = seal::Sealer::new(KEY);
    sealer.seal(seal::Kind::Exchange, &[&[0xff; 30]], &mut noise);
    let mut foreign = Vec::new();
    sealer.seal(seal::Kind::Displaced, &[], &mut foreign);
    for datagram in [&[][..], &[2; 40], &[2; 4_000], &noise, &foreign] {
        socket
            .send_to(datagram, daemon.bound.control)
            .expect("it is sent");
        socket
            .send_to(datagram, daemon.bound.packets)
            .expect("it is sent");
    }
    for reason in ["seal", "long", "codec", "kind"] {
        let metric =
            format!("cassiacross_balancer_rejected_datagrams_total{{reason=\"{reason}\"}}");
        daemon.wait_until(reason, || daemon.counts(&metric));
    }
    let metric = "cassiacross_balancer_dropped_packets_total{reason=\"encapsulation\"}";
    daemon.wait_until("encapsulation", || daemon.counts(metric));
    assert_eq!(daemon.status("ready"), 200);
}

#[parameterized(
    no_bearer = { "", b"", 401 },
    operator_token = { TOKEN, b"", 401 },
    not_a_message = { "fleet", b"\xc1", 400 },
    too_long = { "fleet", &vec![0; 70_000], 413 },
)]
fn fleet_call_is_refused(bearer: &str, body: &[u8], expected: u16) {
    let daemon = Daemon::start("balancer-1", &[]);
    let fleet = seal::Sealer::new(KEY).bearer_token();
    let bearer = if bearer == "fleet" { &fleet } else { bearer };
    for path in ["fleet/view", "fleet/sync", "fleet/records"] {
        let http = daemon.bound.http;
        let (status, _) = daemon.client.post(http, path, bearer, body.to_vec());
        assert_eq!(status, expected);
    }
}

#[test]
fn state_hides_secrets() {
    let daemon = Daemon::start("balancer-1", &[]);
    let text = daemon.text("state");
    let bearer = seal::Sealer::new(KEY).bearer_token();
    for secret in [KEY, TOKEN, &bearer] {
        assert!(!text.contains(secret));
    }
    assert_eq!(daemon.state()["settings"]["domain"], "valley-a");
    let node = serde_json::json!(ident::NodeId::of("balancer-1"));
    assert_eq!(daemon.state()["balancer"]["node"], node);
}

#[test]
fn settings_with_faults_stop_the_daemon() {
    let settings = daemon::settings_file(&settings(&"x".repeat(65), &[], platform()));
    let output = Command::new(PROGRAM)
        .args(["check-settings", "--settings"])
        .arg(settings.path())
        .output()
        .expect("the daemon starts");
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("64 bytes"));
}

#[test]
fn without_platform_and_peer_it_says_what_it_waits_for() {
    let dead = common::addr(9);
    let daemon = Daemon::spawn("balancer-1", &[], dead);
    daemon.wait_until("the wait for records", || {
        let (status, text) = daemon.client.get(daemon.bound.http, "ready");
        assert_eq!(status, 503);
        text.contains("waits for records")
    });
}

#[test]
fn without_platform_one_peer_with_records_is_enough() {
    let dead = common::addr(9);
    let daemon = Daemon::spawn("balancer-1", &[seed()], dead);
    daemon.wait_until("ready", || daemon.status("ready") == 200);
}
