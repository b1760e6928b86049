//! The fabric: sprays callers' packets over the balancers.
//!
//! Each service has an ordinary TCP port. A connection to it becomes a flow in
//! user space from a synthetic caller address to the service's address. Each
//! packet of the flow goes, in Generic UDP Encapsulation, to a random balancer
//! that is ready; answers arrive in the same encapsulation from agents.

mod bridge;
mod http;
mod router;

use std::{
    io, net,
    str::FromStr,
    sync::{Arc, Weak},
    sync::{
        Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use cassiacross::{clock, endpoint, gue, packet, reset, stream, udp};
use futures_util::future;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, UdpSocket},
    task::JoinSet,
    time,
};

pub use self::router::{Balancer, BalancerStatus, Direction};
use crate::faults;

const READY_PERIOD: Duration = Duration::from_millis(200);
const READY_TIMEOUT: Duration = Duration::from_millis(400);
const DATAGRAM_LEN: usize = 2_048;
const CALLER_NET: u32 = 0x0a4d_0000;
const FIRST_PORT: u16 = 1_024;
const PORTS: u32 = 64_000;
const HOSTS: u32 = 65_534;

/// A service that callers use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// The service's address.
    pub address: net::SocketAddrV4,
}

/// A service and the TCP port that stands for it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServicePort {
    /// The service's name.
    pub name: String,
    /// The service's address.
    pub address: net::SocketAddrV4,
    /// The TCP port.
    pub port: net::SocketAddr,
}

/// How a fabric is started.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where GUE datagrams arrive.
    pub packets: net::SocketAddrV4,
    /// Where HTTP calls arrive.
    pub http: net::SocketAddrV4,
    /// The balancers at the start.
    pub balancers: Vec<Balancer>,
    /// The services at the start.
    pub services: Vec<Service>,
    /// Decides balancers, caller addresses, sequence numbers and faults.
    pub seed: u64,
    /// Sizes and limits of the callers' ends.
    pub endpoint: endpoint::Options,
}

impl Default for Options {
    fn default() -> Self {
        let any = net::SocketAddrV4::new(net::Ipv4Addr::LOCALHOST, 0);
        Self {
            packets: any,
            http: any,
            balancers: Vec::new(),
            services: Vec::new(),
            seed: rand::random(),
            endpoint: endpoint::Options::default(),
        }
    }
}

/// Where a fabric is reached.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Addresses {
    /// Where GUE datagrams arrive.
    pub packets: net::SocketAddr,
    /// Where HTTP calls arrive.
    pub http: net::SocketAddr,
}

/// A change of the faults in one direction, or in both where none is named.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// Starts the generators of the faults anew.
    pub seed: Option<u64>,
    /// The direction.
    pub direction: Option<Direction>,
    /// Share of packets that is lost.
    pub drop: f64,
    /// Delay of each packet, in milliseconds.
    pub delay_ms: u64,
    /// Longest random delay on top, in milliseconds.
    pub reorder_ms: u64,
    /// Share of packets that arrives twice.
    pub duplicate: f64,
}

/// What a fabric has counted since its start.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Packets sent to each balancer.
    pub balancers: Vec<SentPackets>,
    /// Answers that were delivered to a flow.
    pub answers: u64,
    /// Packets and answers lost by the faults.
    pub dropped: u64,
    /// Packets lost because no balancer was ready.
    pub nowhere: u64,
    /// Answers to flows that are not, which are answered with a reset.
    pub unknown: u64,
    /// Datagrams that could not be read, or not be sent.
    pub failed: u64,
    /// Flows that callers asked for.
    pub flows: u64,
    /// Flows whose handshake was refused or timed out.
    pub refused: u64,
    /// Open flows that were reset from the service's side.
    pub resets: u64,
    /// Open flows that timed out.
    pub timeouts: u64,
    /// Flows that are there now.
    pub open: u64,
}

/// Packets sent to one balancer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SentPackets {
    /// Where the balancer takes GUE datagrams.
    pub packets: net::SocketAddrV4,
    /// How many it was sent.
    pub sent: u64,
}

/// A running fabric; ends, and resets its flows, when it is dropped.
#[derive(Debug)]
pub struct Fabric {
    shared: Arc<Shared>,
    addresses: Addresses,
    _tasks: JoinSet<()>,
}

#[derive(Debug, Default)]
struct Tally {
    answers: AtomicU64,
    dropped: AtomicU64,
    nowhere: AtomicU64,
    unknown: AtomicU64,
    failed: AtomicU64,
    flows: AtomicU64,
    refused: AtomicU64,
    resets: AtomicU64,
    timeouts: AtomicU64,
}

#[derive(Debug)]
struct Entry {
    flow: packet::Flow,
    handle: stream::Handle,
}

/// Draws synthetic callers, each once.
#[derive(Debug)]
struct Callers {
    next: u32,
    rng: SmallRng,
}

#[derive(Debug)]
struct Shared {
    weak: Weak<Self>,
    clock: clock::Clock,
    socket: UdpSocket,
    endpoint: endpoint::Options,
    router: Mutex<router::Router>,
    callers: Mutex<Callers>,
    /// Flows that are open, sorted by flow.
    flows: RwLock<Vec<Entry>>,
    /// Services, sorted by name, with the tasks that listen for them.
    ports: Mutex<Vec<ServicePort>>,
    listeners: Mutex<JoinSet<()>>,
    tally: Tally,
}

/// Starts a fabric on a running tokio runtime.
pub async fn start(options: Options) -> io::Result<Fabric> {
    let socket = UdpSocket::from_std(udp::bind(options.packets)?)?;
    // Sending does not wait, and a new socket is not known to be writable.
    socket.writable().await?;
    let control = TcpListener::bind(options.http).await?;
    let addresses = Addresses {
        packets: socket.local_addr()?,
        http: control.local_addr()?,
    };
    let shared = Arc::new_cyclic(|weak| Shared::new(Weak::clone(weak), socket, &options));
    shared.router().list(&options.balancers);
    for service in options.services {
        shared.open(service)?;
    }
    let mut tasks = JoinSet::new();
    tasks.spawn(receive(Arc::clone(&shared)));
    tasks.spawn(watch(Arc::clone(&shared)));
    tasks.spawn(http::serve(control, Arc::clone(&shared)));
    Ok(Fabric {
        shared,
        addresses,
        _tasks: tasks,
    })
}

impl Fabric {
    /// Where the fabric is reached.
    #[must_use]
    pub const fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// The TCP port of a service.
    #[must_use]
    pub fn port(&self, service: &str) -> Option<net::SocketAddr> {
        let ports = lock(&self.shared.ports);
        let port = ports.iter().find(|port| port.name == service)?;
        Some(port.port)
    }

    /// Replaces the list of balancers.
    pub fn set_balancers(&self, balancers: &[Balancer]) {
        self.shared.router().list(balancers);
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: &FaultChange) {
        self.shared.set_faults(change);
    }

    /// The balancers that the fabric is told of.
    #[must_use]
    pub fn balancers(&self) -> Vec<BalancerStatus> {
        self.shared.router().listed().cloned().collect()
    }

    /// What was counted so far.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.shared.counters()
    }
}

impl Drop for Fabric {
    fn drop(&mut self) {
        lock(&self.shared.listeners).abort_all();
    }
}

impl Shared {
    fn new(weak: Weak<Self>, socket: UdpSocket, options: &Options) -> Self {
        let mut rng = SmallRng::seed_from_u64(options.seed);
        let callers = Callers {
            next: rng.random(),
            rng,
        };
        Self {
            weak,
            clock: clock::Clock::new(),
            socket,
            endpoint: options.endpoint,
            router: Mutex::new(router::Router::new(options.seed)),
            callers: Mutex::new(callers),
            flows: RwLock::default(),
            ports: Mutex::default(),
            listeners: Mutex::default(),
            tally: Tally::default(),
        }
    }

    fn router(&self) -> MutexGuard<'_, router::Router> {
        lock(&self.router)
    }

    /// Listens for a service, unless that is done already.
    fn open(&self, service: Service) -> io::Result<()> {
        let mut ports = lock(&self.ports);
        let Err(index) = ports.binary_search_by(|port| port.name.cmp(&service.name)) else {
            return Ok(());
        };
        let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let port = ServicePort {
            name: service.name,
            address: service.address,
            port: listener.local_addr()?,
        };
        ports.insert(index, port);
        let accept = bridge::accept(listener, service.address, Weak::clone(&self.weak));
        lock(&self.listeners).spawn(accept);
        Ok(())
    }

    fn set_faults(&self, change: &FaultChange) {
        let faults = faults::Faults {
            drop: change.drop,
            delay_ms: change.delay_ms,
            reorder_ms: change.reorder_ms,
            duplicate: change.duplicate,
            corrupt: 0.0,
        };
        self.router()
            .set_faults(change.direction, faults, change.seed);
    }

    fn counters(&self) -> Counters {
        let tally = &self.tally;
        let balancers = self.router().all().iter().map(sent).collect();
        let open = self.flows.read().map_or(0, |flows| flows.len());
        Counters {
            balancers,
            answers: load(&tally.answers),
            dropped: load(&tally.dropped),
            nowhere: load(&tally.nowhere),
            unknown: load(&tally.unknown),
            failed: load(&tally.failed),
            flows: load(&tally.flows),
            refused: load(&tally.refused),
            resets: load(&tally.resets),
            timeouts: load(&tally.timeouts),
            open: u64::try_from(open).unwrap_or(u64::MAX),
        }
    }

    /// Sends a caller's packet to a random balancer.
    fn spray(&self, packet: &[u8]) {
        let choice = self.router().choose();
        let (target, copies) = match choice {
            router::Choice::Send(target, copies) => (target, copies),
            router::Choice::Lost => return add(&self.tally.dropped),
            router::Choice::Nowhere => return add(&self.tally.nowhere),
        };
        let mut datagram = Vec::with_capacity(gue::HEADER_LEN + packet.len());
        gue::encode(packet, &mut datagram);
        for delay in copies {
            self.after(delay, datagram.clone(), move |shared, datagram| {
                shared.emit(datagram, target);
            });
        }
    }

    fn emit(&self, datagram: &[u8], target: net::SocketAddrV4) {
        if self.socket.try_send_to(datagram, target.into()).is_err() {
            add(&self.tally.failed);
        }
    }

    /// Takes a datagram from an agent.
    fn take(&self, datagram: &[u8]) {
        let Ok(packet) = gue::decode(datagram) else {
            return add(&self.tally.failed);
        };
        let copies = self.router().answer();
        if copies.is_empty() {
            return add(&self.tally.dropped);
        }
        for delay in copies {
            self.after(delay, packet.to_vec(), Self::deliver);
        }
    }

    fn deliver(&self, packet: &[u8]) {
        let Ok(view) = packet::parse(packet) else {
            return add(&self.tally.failed);
        };
        let flow = packet::Flow {
            caller: view.flow.service,
            service: view.flow.caller,
        };
        if let Some(handle) = self.find(flow) {
            add(&self.tally.answers);
            // A caller's end that is finished leaves the table at once.
            let _ = handle.deliver(packet);
        } else {
            add(&self.tally.unknown);
            if let Some(answer) = reset::build_rst(packet) {
                self.spray(&answer);
            }
        }
    }

    /// Does `f` with the bytes now, or on a task of its own after a delay.
    fn after(
        &self,
        delay: Duration,
        bytes: Vec<u8>,
        f: impl FnOnce(&Self, &[u8]) + Send + 'static,
    ) {
        if delay.is_zero() {
            return f(self, &bytes);
        }
        let weak = Weak::clone(&self.weak);
        tokio::spawn(async move {
            time::sleep(delay).await;
            if let Some(shared) = weak.upgrade() {
                f(&shared, &bytes);
            }
        });
    }

    fn find(&self, flow: packet::Flow) -> Option<stream::Handle> {
        let flows = self.flows.read().unwrap_or_else(PoisonError::into_inner);
        let index = flows.binary_search_by_key(&flow, |entry| entry.flow).ok()?;
        Some(flows[index].handle.clone())
    }

    fn insert(&self, flow: packet::Flow, handle: stream::Handle) {
        let mut flows = self.flows.write().unwrap_or_else(PoisonError::into_inner);
        if let Err(index) = flows.binary_search_by_key(&flow, |entry| entry.flow) {
            flows.insert(index, Entry { flow, handle });
        }
    }

    fn remove(&self, flow: packet::Flow) {
        let mut flows = self.flows.write().unwrap_or_else(PoisonError::into_inner);
        if let Ok(index) = flows.binary_search_by_key(&flow, |entry| entry.flow) {
            flows.remove(index);
        }
    }
}

impl Callers {
    /// A caller's address that was not drawn before, and a seed for its end.
    fn draw(&mut self) -> (net::SocketAddrV4, u64) {
        let index = self.next;
        self.next = self.next.wrapping_add(1);
        let host = CALLER_NET + 1 + (index / PORTS) % HOSTS;
        let port = u16::try_from(index % PORTS).unwrap_or_default() + FIRST_PORT;
        let caller = net::SocketAddrV4::new(net::Ipv4Addr::from_bits(host), port);
        (caller, self.rng.random())
    }
}

impl FromStr for Service {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, address) = text
            .split_once('=')
            .ok_or_else(|| format!("`{text}` is not of the form NAME=ip:port"))?;
        let address = address
            .parse()
            .map_err(|error| format!("`{address}`: {error}"))?;
        Ok(Self {
            name: name.to_owned(),
            address,
        })
    }
}

async fn receive(shared: Arc<Shared>) {
    let mut buffer = [0; DATAGRAM_LEN];
    loop {
        match shared.socket.recv_from(&mut buffer).await {
            Ok((len, _agent)) => shared.take(&buffer[..len]),
            // The ICMP answer to a datagram towards a balancer that has died.
            Err(error) => log::debug!(error:%; "receiving failed"),
        }
    }
}

/// Asks each balancer again and again whether it is ready.
async fn watch(shared: Arc<Shared>) {
    let client = reqwest::Client::builder()
        .no_proxy()
        .timeout(READY_TIMEOUT)
        .build()
        .expect("a client without TLS can be built");
    let mut ticks = time::interval(READY_PERIOD);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let listed: Vec<_> = shared.router().listed().cloned().collect();
        let asked = listed.into_iter().map(|status| ask(&client, status));
        for (packets, ready) in future::join_all(asked).await {
            shared.router().set_ready(packets, ready);
        }
    }
}

async fn ask(client: &reqwest::Client, status: BalancerStatus) -> (net::SocketAddrV4, bool) {
    let answer = client.get(format!("{}/ready", status.http)).send().await;
    let ready = answer.is_ok_and(|answer| answer.status().is_success());
    if ready != status.ready {
        log::info!(balancer:% = status.packets, ready; "balancer changed");
    }
    (status.packets, ready)
}

const fn sent(status: &BalancerStatus) -> SentPackets {
    SentPackets {
        packets: status.packets,
        sent: status.sent,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn load(count: &AtomicU64) -> u64 {
    count.load(Ordering::Relaxed)
}

fn add(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}
