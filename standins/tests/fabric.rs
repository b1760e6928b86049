//! Tests the simulated fabric against fake balancers that terminate the TCP flows themselves.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use cassiacross::{
    clock,
    endpoint::{self, Endpoint},
    gue, packet,
    stream::{self, Handle, Stream},
    udp,
};
use hyper::StatusCode;
use serde_json::{Value, json};
use standins::{
    control::{self, Reply},
    fabric::{self, Balancer, Counters, Fabric, FaultChange, Service},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    time,
};
use yare::parameterized;

const TEST_TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), 80);

/// Behavior of a fake balancer for new flows.
#[derive(Clone, Copy)]
enum Behavior {
    Echo,
    Drop,
}

/// Flow table shared by all fake balancers, because the packets of a flow reach any of them.
#[derive(Default)]
struct FlowTable {
    flows: Mutex<Vec<(packet::Flow, Handle)>>,
}

impl FlowTable {
    fn find(&self, flow: packet::Flow) -> Option<Handle> {
        let flows = self.flows.lock().expect("the mutex is not poisoned");
        let found = flows.iter().find(|(known, _)| *known == flow)?;
        Some(found.1.clone())
    }
}

/// A fake balancer that also terminates the flows, in place of an agent.
struct FakeBalancer {
    balancer: Balancer,
    ready: Arc<AtomicBool>,
    received_packets: Arc<AtomicU64>,
}

async fn start_balancer(flow_table: &Arc<FlowTable>, behavior: Behavior) -> FakeBalancer {
    let socket =
        udp::bind(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("binding a socket succeeds");
    let socket = UdpSocket::from_std(socket).expect("the socket is registered with tokio");
    let http = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("binding a listener succeeds");
    let balancer = Balancer {
        packets: v4(socket.local_addr().expect("a bound socket has an address")),
        http: format!(
            "http://{}",
            http.local_addr().expect("the listener has an address")
        ),
    };
    let ready = Arc::new(AtomicBool::new(true));
    let received_packets = Arc::new(AtomicU64::new(0));
    let state = Arc::clone(&ready);
    tokio::spawn(control::serve(http, move |_call| Reply {
        status: if state.load(Ordering::Relaxed) {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        },
        value: Value::Null,
    }));
    tokio::spawn(receive_packets(
        Arc::new(socket),
        Arc::clone(flow_table),
        Arc::clone(&received_packets),
        behavior,
    ));
    FakeBalancer {
        balancer,
        ready,
        received_packets,
    }
}

fn v4(addr: SocketAddr) -> SocketAddrV4 {
    match addr {
        SocketAddr::V4(addr) => addr,
        SocketAddr::V6(_) => panic!("unexpected IPv6 address"),
    }
}

async fn receive_packets(
    socket: Arc<UdpSocket>,
    flow_table: Arc<FlowTable>,
    received_packets: Arc<AtomicU64>,
    behavior: Behavior,
) {
    let clock = clock::Clock::new();
    let mut buffer = [0; 2_048];
    loop {
        let (len, fabric) = socket
            .recv_from(&mut buffer)
            .await
            .expect("receiving a datagram succeeds");
        received_packets.fetch_add(1, Ordering::Relaxed);
        let packet = gue::decode(&buffer[..len]).expect("the fabric sends GUE");
        let view = packet::parse(packet).expect("the fabric sends TCP");
        if view.opening && flow_table.find(view.flow).is_none() {
            accept(&socket, &flow_table, fabric, view.flow, clock, behavior);
        }
        if let Some(handle) = flow_table.find(view.flow) {
            let _ = handle.deliver(packet);
        }
    }
}

fn accept(
    socket: &Arc<UdpSocket>,
    flow_table: &FlowTable,
    fabric: SocketAddr,
    flow: packet::Flow,
    clock: clock::Clock,
    behavior: Behavior,
) {
    let options = endpoint::Options::default();
    let endpoint = Endpoint::accept(flow, options, flow.hash(1), clock.now());
    let socket = Arc::clone(socket);
    let (handle, stream) = stream::new(endpoint, clock, move |packet| {
        let mut datagram = Vec::new();
        gue::encode(packet, &mut datagram);
        drop(socket.try_send_to(&datagram, fabric));
    });
    let mut flows = flow_table.flows.lock().expect("the mutex is not poisoned");
    flows.push((flow, handle.clone()));
    tokio::spawn(async move { handle.run().await });
    tokio::spawn(serve(stream, behavior));
}

async fn serve(mut stream: Stream, behavior: Behavior) {
    stream.established().await.expect("the handshake completes");
    match behavior {
        Behavior::Echo => drop(echo(stream).await),
        Behavior::Drop => drop(stream.read_u8().await),
    }
}

async fn echo(stream: Stream) -> io::Result<()> {
    let (mut reader, mut writer) = tokio::io::split(stream);
    tokio::io::copy(&mut reader, &mut writer).await?;
    writer.shutdown().await
}

struct TestFabric {
    fabric: Fabric,
    fakes: Vec<FakeBalancer>,
}

impl TestFabric {
    async fn new(fakes: usize, behavior: Behavior) -> Self {
        let flow_table = Arc::default();
        let mut started = Vec::new();
        for _ in 0..fakes {
            started.push(start_balancer(&flow_table, behavior).await);
        }
        let options = fabric::Options {
            balancers: started.iter().map(|fake| fake.balancer.clone()).collect(),
            services: vec![Service {
                name: "ledger".to_owned(),
                address: SERVICE,
            }],
            seed: 7,
            ..fabric::Options::default()
        };
        let fabric = fabric::start(options).await.expect("the fabric starts");
        let test = Self {
            fabric,
            fakes: started,
        };
        test.wait_until(|test| test.ready_count() == fakes).await;
        test
    }

    fn ready_count(&self) -> usize {
        let balancers = self.fabric.balancers();
        balancers.iter().filter(|status| status.ready).count()
    }

    async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        while !condition(self) {
            time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn connect(&self) -> TcpStream {
        let port = self.fabric.port("ledger").expect("the service is known");
        TcpStream::connect(port)
            .await
            .expect("the connection is accepted")
    }

    async fn round_trip(&self, len: usize) {
        let sent: Vec<u8> = (0..=250).cycle().take(len).collect();
        let copy = sent.clone();
        let (mut reader, mut writer) = self.connect().await.into_split();
        let write = async move {
            writer.write_all(&copy).await.expect("writing succeeds");
            writer
                .shutdown()
                .await
                .expect("shutting down the write side succeeds");
        };
        let mut received = Vec::new();
        let ((), read) = tokio::join!(write, reader.read_to_end(&mut received));
        read.expect("reading until end of stream succeeds");
        assert_eq!(received, sent);
    }

    fn counters(&self) -> Counters {
        self.fabric.counters()
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("building the runtime succeeds");
    runtime.block_on(async {
        time::timeout(TEST_TIMEOUT, test)
            .await
            .expect("the test completes before the timeout");
    });
}

#[parameterized(
    one_balancer = { 1, 10_000, FaultChange::default() },
    sprayed = { 3, 100_000, FaultChange::default() },
    reordered = { 3, 50_000, FaultChange { reorder_ms: 4, ..FaultChange::default() } },
    duplicated = { 3, 50_000, FaultChange { duplicate: 0.2, ..FaultChange::default() } },
    packet_loss = { 3, 5_000, FaultChange { drop: 0.02, seed: Some(3), ..FaultChange::default() } },
    delayed = { 2, 5_000, FaultChange { delay_ms: 3, ..FaultChange::default() } },
)]
fn echo_through_fabric(fakes: usize, len: usize, change: FaultChange) {
    run(async move {
        let test = TestFabric::new(fakes, Behavior::Echo).await;
        test.fabric.set_faults(&change);
        test.round_trip(len).await;
        let sent = test.counters().balancers;
        assert_eq!(sent.len(), fakes);
        assert!(sent.iter().all(|balancer| balancer.sent > 0));
        assert_eq!(test.counters().resets, 0);
    });
}

#[test]
fn concurrent_connections_do_not_mix() {
    run(async {
        let test = TestFabric::new(3, Behavior::Echo).await;
        let round_trips = (1..100).map(|index| test.round_trip(index * 50));
        futures_util::future::join_all(round_trips).await;
        assert_eq!(test.counters().flows, 99);
        assert_eq!(test.counters().refused, 0);
    });
}

#[test]
fn reset_of_flow_resets_connection() {
    run(async {
        let test = TestFabric::new(2, Behavior::Drop).await;
        let mut socket = test.connect().await;
        socket.write_all(b"xy").await.expect("writing succeeds");
        let error = socket.read_u8().await.expect_err("the connection is reset");
        assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
        test.wait_until(|test| test.counters().resets == 1).await;
        test.wait_until(|test| test.counters().open == 0).await;
    });
}

#[test]
fn reset_of_connection_removes_flow() {
    run(async {
        let test = TestFabric::new(2, Behavior::Echo).await;
        let mut socket = test.connect().await;
        socket.write_all(b"x").await.expect("writing succeeds");
        assert_eq!(socket.read_u8().await.expect("the byte is echoed"), b'x');
        socket.set_zero_linger().expect("the socket is open");
        drop(socket);
        test.wait_until(|test| test.counters().open == 0).await;
        assert_eq!(test.counters().resets, 0);
    });
}

#[test]
fn unready_balancer_receives_no_packets() {
    run(async {
        let test = TestFabric::new(2, Behavior::Echo).await;
        test.fakes[0].ready.store(false, Ordering::Relaxed);
        test.wait_until(|test| test.ready_count() == 1).await;
        let before = test.fakes[0].received_packets.load(Ordering::Relaxed);
        test.round_trip(20_000).await;
        assert_eq!(
            test.fakes[0].received_packets.load(Ordering::Relaxed),
            before
        );
        assert!(test.fakes[1].received_packets.load(Ordering::Relaxed) > 0);
    });
}

#[test]
fn flow_survives_change_of_balancer_list() {
    run(async {
        let test = TestFabric::new(2, Behavior::Echo).await;
        let mut socket = test.connect().await;
        for index in 0..2 {
            let only = test.fakes[index].balancer.clone();
            test.fabric.set_balancers(&[only]);
            test.wait_until(|test| test.ready_count() == 1).await;
            socket.write_all(b"x").await.expect("writing succeeds");
            assert_eq!(socket.read_u8().await.expect("the byte is echoed"), b'x');
        }
    });
}

#[test]
fn control_port_configures_fabric() {
    run(async {
        let test = TestFabric::new(1, Behavior::Echo).await;
        let base = format!("http://{}", test.fabric.addresses().http);
        let client = reqwest::Client::builder()
            .no_proxy()
            .build()
            .expect("building a client succeeds");
        let listed = client
            .post(format!("{base}/services"))
            .json(&json!([{"name": "intake", "address": "10.9.0.2:80"}]))
            .send()
            .await
            .expect("the control port responds")
            .json::<Vec<fabric::ServicePort>>()
            .await
            .expect("the response lists the services");
        let names: Vec<_> = listed.iter().map(|port| port.name.as_str()).collect();
        assert_eq!(names, ["intake", "ledger"]);

        let answer = client
            .post(format!("{base}/faults"))
            .json(&json!({"seed": 1, "drop": 1.0, "direction": "to_balancers"}))
            .send()
            .await
            .expect("the control port responds");
        assert_eq!(answer.status(), StatusCode::OK);
        let _socket = test.connect().await;
        test.wait_until(|test| test.counters().dropped > 0).await;

        let answer = client
            .post(format!("{base}/faults"))
            .json(&json!({"dorp": 1.0}))
            .send()
            .await
            .expect("the control port responds");
        assert_eq!(answer.status(), StatusCode::BAD_REQUEST);
        let emptied = client
            .post(format!("{base}/balancers"))
            .json(&json!([]))
            .send()
            .await
            .expect("the control port responds");
        assert_eq!(
            emptied.json::<Value>().await.expect("the response is JSON"),
            json!([])
        );
        let counters = client
            .get(format!("{base}/counters"))
            .send()
            .await
            .expect("the control port responds")
            .json::<Counters>()
            .await
            .expect("the response contains the counters");
        assert_eq!(counters.balancers.len(), 1);
    });
}
