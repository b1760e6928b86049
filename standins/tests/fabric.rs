//! The fabric before toy balancers that end the flows themselves and echo.

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

const LIMIT: Duration = Duration::from_mins(1);
const PAUSE: Duration = Duration::from_millis(10);
const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), 80);

/// What the toy does with a new flow.
#[derive(Clone, Copy)]
enum Manner {
    Echo,
    Drop,
}

/// The flows of all toys, which share them as one agent would have them.
#[derive(Default)]
struct Agent {
    flows: Mutex<Vec<(packet::Flow, Handle)>>,
}

impl Agent {
    fn handle(&self, flow: packet::Flow) -> Option<Handle> {
        let flows = self.flows.lock().expect("no holder panics");
        let found = flows.iter().find(|(known, _)| *known == flow)?;
        Some(found.1.clone())
    }
}

/// A toy balancer, which is its own agent's entry as well.
struct Toy {
    balancer: Balancer,
    ready: Arc<AtomicBool>,
    taken: Arc<AtomicU64>,
}

async fn toy(agent: &Arc<Agent>, manner: Manner) -> Toy {
    let socket = udp::bind(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("a socket binds");
    let socket = UdpSocket::from_std(socket).expect("it does not block");
    let http = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a listener binds");
    let balancer = Balancer {
        packets: v4(socket.local_addr().expect("a bound socket has an address")),
        http: format!("http://{}", http.local_addr().expect("it is bound")),
    };
    let ready = Arc::new(AtomicBool::new(true));
    let taken = Arc::new(AtomicU64::new(0));
    let state = Arc::clone(&ready);
    tokio::spawn(control::serve(http, move |_call| Reply {
        status: if state.load(Ordering::Relaxed) {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        },
        value: Value::Null,
    }));
    tokio::spawn(take(
        Arc::new(socket),
        Arc::clone(agent),
        Arc::clone(&taken),
        manner,
    ));
    Toy {
        balancer,
        ready,
        taken,
    }
}

fn v4(addr: SocketAddr) -> SocketAddrV4 {
    match addr {
        SocketAddr::V4(addr) => addr,
        SocketAddr::V6(_) => panic!("an address of IPv6"),
    }
}

async fn take(socket: Arc<UdpSocket>, agent: Arc<Agent>, taken: Arc<AtomicU64>, manner: Manner) {
    let clock = clock::Clock::new();
    let mut buffer = [0; 2_048];
    loop {
        let (len, fabric) = socket.recv_from(&mut buffer).await.expect("it receives");
        taken.fetch_add(1, Ordering::Relaxed);
        let packet = gue::decode(&buffer[..len]).expect("the fabric sends GUE");
        let view = packet::parse(packet).expect("the fabric sends TCP");
        if view.opening && agent.handle(view.flow).is_none() {
            accept(&socket, &agent, fabric, view.flow, clock, manner);
        }
        if let Some(handle) = agent.handle(view.flow) {
            let _ = handle.deliver(packet);
        }
    }
}

fn accept(
    socket: &Arc<UdpSocket>,
    agent: &Agent,
    fabric: SocketAddr,
    flow: packet::Flow,
    clock: clock::Clock,
    manner: Manner,
) {
    let options = endpoint::Options::default();
    let endpoint = Endpoint::accept(flow, options, flow.hash(1), clock.now());
    let socket = Arc::clone(socket);
    let (handle, stream) = stream::new(endpoint, clock, move |packet| {
        let mut datagram = Vec::new();
        gue::encode(packet, &mut datagram);
        drop(socket.try_send_to(&datagram, fabric));
    });
    let mut flows = agent.flows.lock().expect("no holder panics");
    flows.push((flow, handle.clone()));
    tokio::spawn(async move { handle.run().await });
    tokio::spawn(serve(stream, manner));
}

async fn serve(mut stream: Stream, manner: Manner) {
    stream.established().await.expect("the flow opens");
    match manner {
        Manner::Echo => drop(echo(stream).await),
        Manner::Drop => drop(stream.read_u8().await),
    }
}

async fn echo(stream: Stream) -> io::Result<()> {
    let (mut reader, mut writer) = tokio::io::split(stream);
    tokio::io::copy(&mut reader, &mut writer).await?;
    writer.shutdown().await
}

struct Bench {
    fabric: Fabric,
    toys: Vec<Toy>,
}

impl Bench {
    async fn new(toys: usize, manner: Manner) -> Self {
        let agent = Arc::default();
        let mut started = Vec::new();
        for _ in 0..toys {
            started.push(toy(&agent, manner).await);
        }
        let options = fabric::Options {
            balancers: started.iter().map(|toy| toy.balancer.clone()).collect(),
            services: vec![Service {
                name: "ledger".to_owned(),
                address: SERVICE,
            }],
            seed: 7,
            ..fabric::Options::default()
        };
        let fabric = fabric::start(options).await.expect("the fabric starts");
        let bench = Self {
            fabric,
            toys: started,
        };
        bench.until(|bench| bench.ready() == toys).await;
        bench
    }

    fn ready(&self) -> usize {
        let balancers = self.fabric.balancers();
        balancers.iter().filter(|status| status.ready).count()
    }

    async fn until(&self, condition: impl Fn(&Self) -> bool) {
        while !condition(self) {
            time::sleep(PAUSE).await;
        }
    }

    async fn connect(&self) -> TcpStream {
        let port = self.fabric.port("ledger").expect("the service is known");
        TcpStream::connect(port).await.expect("the port listens")
    }

    async fn round_trip(&self, len: usize) {
        let sent: Vec<u8> = (0..=250).cycle().take(len).collect();
        let copy = sent.clone();
        let (mut reader, mut writer) = self.connect().await.into_split();
        let write = async move {
            writer.write_all(&copy).await.expect("bytes are taken");
            writer.shutdown().await.expect("half is closed");
        };
        let mut received = Vec::new();
        let ((), read) = tokio::join!(write, reader.read_to_end(&mut received));
        read.expect("the answer is whole");
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
        .expect("a runtime starts");
    runtime.block_on(async {
        time::timeout(LIMIT, test)
            .await
            .expect("the test ends in time");
    });
}

#[parameterized(
    one_balancer = { 1, 10_000, FaultChange::default() },
    sprayed = { 3, 100_000, FaultChange::default() },
    reordered = { 3, 50_000, FaultChange { reorder_ms: 4, ..FaultChange::default() } },
    duplicated = { 3, 50_000, FaultChange { duplicate: 0.2, ..FaultChange::default() } },
    lossy = { 3, 5_000, FaultChange { drop: 0.02, seed: Some(3), ..FaultChange::default() } },
    delayed = { 2, 5_000, FaultChange { delay_ms: 3, ..FaultChange::default() } },
)]
fn echo_through_fabric(toys: usize, len: usize, change: FaultChange) {
    run(async move {
        let bench = Bench::new(toys, Manner::Echo).await;
        bench.fabric.set_faults(&change);
        bench.round_trip(len).await;
        let sent = bench.counters().balancers;
        assert_eq!(sent.len(), toys);
        assert!(sent.iter().all(|one| one.sent > 0));
        assert_eq!(bench.counters().resets, 0);
    });
}

#[test]
fn many_connections_are_kept_apart() {
    run(async {
        let bench = Bench::new(3, Manner::Echo).await;
        let trips = (1..100).map(|index| bench.round_trip(index * 50));
        futures_util::future::join_all(trips).await;
        assert_eq!(bench.counters().flows, 99);
        assert_eq!(bench.counters().refused, 0);
    });
}

#[test]
fn reset_reaches_the_connection() {
    run(async {
        let bench = Bench::new(2, Manner::Drop).await;
        let mut socket = bench.connect().await;
        socket.write_all(b"xy").await.expect("bytes are taken");
        let error = socket.read_u8().await.expect_err("the flow was reset");
        assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
        bench.until(|bench| bench.counters().resets == 1).await;
        bench.until(|bench| bench.counters().open == 0).await;
    });
}

#[test]
fn reset_connection_ends_the_flow() {
    run(async {
        let bench = Bench::new(2, Manner::Echo).await;
        let mut socket = bench.connect().await;
        socket.write_all(b"x").await.expect("bytes are taken");
        assert_eq!(socket.read_u8().await.expect("it is echoed"), b'x');
        socket.set_zero_linger().expect("the socket is open");
        drop(socket);
        bench.until(|bench| bench.counters().open == 0).await;
        assert_eq!(bench.counters().resets, 0);
    });
}

#[test]
fn balancer_that_is_not_ready_gets_nothing() {
    run(async {
        let bench = Bench::new(2, Manner::Echo).await;
        bench.toys[0].ready.store(false, Ordering::Relaxed);
        bench.until(|bench| bench.ready() == 1).await;
        let before = bench.toys[0].taken.load(Ordering::Relaxed);
        bench.round_trip(20_000).await;
        assert_eq!(bench.toys[0].taken.load(Ordering::Relaxed), before);
        assert!(bench.toys[1].taken.load(Ordering::Relaxed) > 0);
    });
}

#[test]
fn flow_survives_change_of_balancers() {
    run(async {
        let bench = Bench::new(2, Manner::Echo).await;
        let mut socket = bench.connect().await;
        for index in 0..2 {
            let only = bench.toys[index].balancer.clone();
            bench.fabric.set_balancers(&[only]);
            bench.until(|bench| bench.ready() == 1).await;
            socket.write_all(b"x").await.expect("bytes are taken");
            assert_eq!(socket.read_u8().await.expect("it is echoed"), b'x');
        }
    });
}

#[test]
fn control_port_changes_the_fabric() {
    run(async {
        let bench = Bench::new(1, Manner::Echo).await;
        let base = format!("http://{}", bench.fabric.addresses().http);
        let client = reqwest::Client::builder()
            .no_proxy()
            .build()
            .expect("a client is built");
        let listed = client
            .post(format!("{base}/services"))
            .json(&json!([{"name": "intake", "address": "10.9.0.2:80"}]))
            .send()
            .await
            .expect("the port answers")
            .json::<Vec<fabric::ServicePort>>()
            .await
            .expect("services are listed");
        let names: Vec<_> = listed.iter().map(|port| port.name.as_str()).collect();
        assert_eq!(names, ["intake", "ledger"]);

        let answer = client
            .post(format!("{base}/faults"))
            .json(&json!({"seed": 1, "drop": 1.0, "direction": "to_balancers"}))
            .send()
            .await
            .expect("the port answers");
        assert_eq!(answer.status(), StatusCode::OK);
        let _socket = bench.connect().await;
        bench.until(|bench| bench.counters().dropped > 0).await;

        let answer = client
            .post(format!("{base}/faults"))
            .json(&json!({"dorp": 1.0}))
            .send()
            .await
            .expect("the port answers");
        assert_eq!(answer.status(), StatusCode::BAD_REQUEST);
        let emptied = client
            .post(format!("{base}/balancers"))
            .json(&json!([]))
            .send()
            .await
            .expect("the port answers");
        assert_eq!(emptied.json::<Value>().await.expect("a list"), json!([]));
        let counters = client
            .get(format!("{base}/counters"))
            .send()
            .await
            .expect("the port answers")
            .json::<Counters>()
            .await
            .expect("counters are read");
        assert_eq!(counters.balancers.len(), 1);
    });
}
