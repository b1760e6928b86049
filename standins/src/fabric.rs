//! Simulated network fabric that distributes callers' packets randomly over the balancers.
//!
//! Each service has a TCP port on the loopback interface. A connection to it is bridged to a flow
//! of a user-space TCP endpoint, from a synthetic caller address to the service address. Each
//! packet of the flow is sent in Generic UDP Encapsulation (GUE) to a random ready balancer; agents
//! send the response packets in the same encapsulation directly to the fabric.

mod bridge;
mod callers;
mod flows;
mod http;
mod probe;
mod router;

use std::{
    io, net,
    str::FromStr,
    sync::{Arc, Weak},
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use cassiacross::{clock, endpoint, gue, mutex, packet, reset, udp};
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, UdpSocket},
    task::JoinSet,
    time,
};

pub use self::router::{Balancer, BalancerStatus, Direction};
use crate::faults;

/// Size of the receive buffer, in bytes.
const DATAGRAM_LEN: usize = 2_048;

/// A service and its address.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Service name.
    pub name: String,
    /// Service address, the destination of the callers' packets.
    pub address: net::SocketAddrV4,
}

/// A service and the TCP listener through which callers reach it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServicePort {
    /// Service name.
    pub name: String,
    /// Service address, the destination of the callers' packets.
    pub address: net::SocketAddrV4,
    /// Listen address for the callers' TCP connections.
    pub port: net::SocketAddr,
}

/// Start options of a fabric.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address for GUE datagrams.
    pub packets: net::SocketAddrV4,
    /// Address for HTTP control requests.
    pub http: net::SocketAddrV4,
    /// Initial balancers.
    pub balancers: Vec<Balancer>,
    /// Initial services.
    pub services: Vec<Service>,
    /// Seed for the choice of balancers, caller addresses, sequence numbers and injected faults.
    pub seed: u64,
    /// Buffer sizes and timeouts of the callers' TCP endpoints.
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

/// Bound addresses of a fabric.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Addresses {
    /// Address for GUE datagrams.
    pub packets: net::SocketAddr,
    /// Address for HTTP control requests.
    pub http: net::SocketAddr,
}

/// Replacement of the faults in one direction, or in both if `direction` is `None`.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// New seed of the fault generators; `None` keeps their state.
    pub seed: Option<u64>,
    /// Affected direction.
    pub direction: Option<Direction>,
    /// Probability that a packet is lost, between 0 and 1.
    pub drop: f64,
    /// Fixed delay of each packet, in milliseconds.
    pub delay_ms: u64,
    /// Maximum additional random delay, in milliseconds; reorders packets.
    pub reorder_ms: u64,
    /// Probability that a packet is delivered twice, between 0 and 1.
    pub duplicate: f64,
}

/// Counters of a fabric since its start.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Packets sent to each balancer.
    pub balancers: Vec<SentPackets>,
    /// Response packets delivered to a flow.
    pub answers: u64,
    /// Packets dropped by fault injection, in both directions.
    pub dropped: u64,
    /// Packets dropped because no balancer was ready.
    pub nowhere: u64,
    /// Response packets for unknown flows; the fabric responds with RST.
    pub unknown: u64,
    /// Malformed datagrams received, and datagrams that could not be sent.
    pub failed: u64,
    /// Flows opened by callers.
    pub flows: u64,
    /// Flows whose handshake was reset or timed out.
    pub refused: u64,
    /// Established flows that the service side reset.
    pub resets: u64,
    /// Established flows that timed out.
    pub timeouts: u64,
    /// Current number of flows.
    pub open: u64,
}

/// Number of packets sent to one balancer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SentPackets {
    /// GUE address of the balancer.
    pub packets: net::SocketAddrV4,
    /// Number of packets sent.
    pub sent: u64,
}

/// A running fabric; stops and resets its flows when dropped.
#[derive(Debug)]
pub struct Fabric {
    shared: Arc<Shared>,
    addresses: Addresses,
    _tasks: JoinSet<()>,
}

#[derive(Debug, Default)]
struct AtomicCounters {
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
struct Shared {
    weak: Weak<Self>,
    clock: clock::Clock,
    socket: UdpSocket,
    endpoint: endpoint::Options,
    router: Mutex<router::Router>,
    callers: Mutex<callers::Callers>,
    flows: flows::Flows,
    /// Services, sorted by name.
    ports: Mutex<Vec<ServicePort>>,
    listeners: Mutex<JoinSet<()>>,
    counts: AtomicCounters,
}

/// Starts a fabric on the current tokio runtime.
pub async fn start(options: Options) -> io::Result<Fabric> {
    let socket = UdpSocket::from_std(udp::bind(options.packets)?)?;
    // Packets are sent with `try_send_to`, which fails until tokio has seen the socket writable.
    socket.writable().await?;
    let control = TcpListener::bind(options.http).await?;
    let addresses = Addresses {
        packets: socket.local_addr()?,
        http: control.local_addr()?,
    };
    let shared = Arc::new_cyclic(|weak| Shared::new(Weak::clone(weak), socket, &options));
    shared.router().set_balancers(&options.balancers);
    for service in options.services {
        shared.listen(service)?;
    }
    let mut tasks = JoinSet::new();
    tasks.spawn(receive_datagrams(Arc::clone(&shared)));
    tasks.spawn(probe::run(Arc::clone(&shared)));
    tasks.spawn(http::serve(control, Arc::clone(&shared)));
    Ok(Fabric {
        shared,
        addresses,
        _tasks: tasks,
    })
}

impl Fabric {
    /// Returns the bound addresses.
    #[must_use]
    pub const fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the TCP address of a service, or `None` if the service is unknown.
    #[must_use]
    pub fn port(&self, service: &str) -> Option<net::SocketAddr> {
        let ports = mutex::lock(&self.shared.ports);
        let port = ports.iter().find(|port| port.name == service)?;
        Some(port.port)
    }

    /// Replaces the list of balancers.
    pub fn set_balancers(&self, balancers: &[Balancer]) {
        self.shared.router().set_balancers(balancers);
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, change: &FaultChange) {
        self.shared.set_faults(change);
    }

    /// Returns the status of the configured balancers.
    #[must_use]
    pub fn balancers(&self) -> Vec<BalancerStatus> {
        self.shared.router().listed().cloned().collect()
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.shared.counters()
    }
}

impl Drop for Fabric {
    fn drop(&mut self) {
        mutex::lock(&self.shared.listeners).abort_all();
    }
}

impl Shared {
    fn new(weak: Weak<Self>, socket: UdpSocket, options: &Options) -> Self {
        Self {
            weak,
            clock: clock::Clock::new(),
            socket,
            endpoint: options.endpoint,
            router: Mutex::new(router::Router::new(options.seed)),
            callers: Mutex::new(callers::Callers::new(options.seed)),
            flows: flows::Flows::default(),
            ports: Mutex::default(),
            listeners: Mutex::default(),
            counts: AtomicCounters::default(),
        }
    }

    fn router(&self) -> MutexGuard<'_, router::Router> {
        mutex::lock(&self.router)
    }

    /// Opens the TCP listener of a service unless it exists.
    fn listen(&self, service: Service) -> io::Result<()> {
        let mut ports = mutex::lock(&self.ports);
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
        mutex::lock(&self.listeners).spawn(accept);
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
        let counts = &self.counts;
        let balancers = self.router().all().iter().map(sent_packets).collect();
        Counters {
            balancers,
            answers: load_counter(&counts.answers),
            dropped: load_counter(&counts.dropped),
            nowhere: load_counter(&counts.nowhere),
            unknown: load_counter(&counts.unknown),
            failed: load_counter(&counts.failed),
            flows: load_counter(&counts.flows),
            refused: load_counter(&counts.refused),
            resets: load_counter(&counts.resets),
            timeouts: load_counter(&counts.timeouts),
            open: u64::try_from(self.flows.len()).unwrap_or(u64::MAX),
        }
    }

    /// Sends a caller's packet to a random ready balancer, with the faults applied.
    fn send_to_balancer(&self, packet: &[u8]) {
        let choice = self.router().choose_balancer();
        let (target, copies) = match choice {
            router::Choice::Send(target, copies) => (target, copies),
            router::Choice::Drop => return increment(&self.counts.dropped),
            router::Choice::NoBalancer => return increment(&self.counts.nowhere),
        };
        let mut datagram = Vec::with_capacity(gue::HEADER_LEN + packet.len());
        gue::encode(packet, &mut datagram);
        for delay in copies {
            self.run_after(delay, datagram.clone(), move |shared, datagram| {
                shared.send_datagram(datagram, target);
            });
        }
    }

    fn send_datagram(&self, datagram: &[u8], target: net::SocketAddrV4) {
        if self.socket.try_send_to(datagram, target.into()).is_err() {
            increment(&self.counts.failed);
        }
    }

    /// Handles a datagram from an agent: decapsulates it, applies the faults and delivers it.
    fn handle_datagram(&self, datagram: &[u8]) {
        let Ok(packet) = gue::decode(datagram) else {
            return increment(&self.counts.failed);
        };
        let copies = self.router().response_delays();
        if copies.is_empty() {
            return increment(&self.counts.dropped);
        }
        for delay in copies {
            self.run_after(delay, packet.to_vec(), Self::deliver);
        }
    }

    fn deliver(&self, packet: &[u8]) {
        let Ok(view) = packet::parse(packet) else {
            return increment(&self.counts.failed);
        };
        let flow = packet::Flow {
            caller: view.flow.service,
            service: view.flow.caller,
        };
        if let Some(handle) = self.flows.find(flow) {
            increment(&self.counts.answers);
            // A finished endpoint is removed from the table immediately, so a failure is harmless.
            let _ = handle.deliver(packet);
        } else {
            increment(&self.counts.unknown);
            if let Some(rst) = reset::build_rst(packet) {
                self.send_to_balancer(&rst);
            }
        }
    }

    /// Calls `f` with the bytes immediately, or from a spawned task after a delay.
    fn run_after(
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
}

impl FromStr for Service {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, address) = text
            .split_once('=')
            .ok_or_else(|| format!("invalid service `{text}`: expected NAME=ip:port"))?;
        let address = address
            .parse()
            .map_err(|error| format!("invalid service address `{address}`: {error}"))?;
        Ok(Self {
            name: name.to_owned(),
            address,
        })
    }
}

async fn receive_datagrams(shared: Arc<Shared>) {
    let mut buffer = [0; DATAGRAM_LEN];
    loop {
        match shared.socket.recv_from(&mut buffer).await {
            Ok((len, _agent)) => shared.handle_datagram(&buffer[..len]),
            // An ICMP port unreachable message for a datagram to a balancer that has exited.
            Err(error) => log::debug!(error:%; "receiving a GUE datagram failed"),
        }
    }
}

const fn sent_packets(status: &BalancerStatus) -> SentPackets {
    SentPackets {
        packets: status.packets,
        sent: status.sent,
    }
}

fn load_counter(count: &AtomicU64) -> u64 {
    count.load(Ordering::Relaxed)
}

fn increment(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}
