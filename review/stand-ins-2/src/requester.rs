//! Stand-in for the requesters of one address and the router in front of the balancers.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Host, ZONE},
    http,
    packet::{ACK, Packet, RST, SYN},
    record::Record,
};

/// Times after the first SYN of a flow at which it is sent again.
const SYN_COPIES_MS: [u64; 2] = [200, 600];

/// Time after which a requester gives a SYN up.
const SYN_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Maximum distance of the number of a reset from the requester's last acknowledgement.
const RESET_WINDOW: u32 = 76_800;

/// Balancers in rotation: out after two failed checks of readiness, in after one that succeeds.
/// Packets go to those of the requesters' zone, and to the others if none of them is in rotation.
#[derive(Clone)]
pub struct Router {
    /// Whether each balancer is of the requesters' zone, and its address.
    rotation: Arc<Mutex<Vec<(bool, SocketAddrV4)>>>,
}

impl Router {
    /// Starts to check the balancers, on threads that run until the process ends.
    pub fn start(balancers: &[Host], record: &Record) -> Self {
        let router = Self {
            rotation: Arc::default(),
        };
        for host in balancers {
            let (router, host, record) = (router.clone(), host.clone(), record.clone());
            thread::spawn(move || {
                let entry = (host.zone == ZONE, host.addr(host.ports.packets));
                let mut misses = 2;
                loop {
                    let status = http::call(host.addr(host.ports.ready), "GET", "/api/ready", "");
                    misses = if status == Some(200) { 0 } else { misses + 1 };
                    let mut rotation = router.rotation.lock().unwrap();
                    let was = rotation.contains(&entry);
                    rotation.retain(|other| *other != entry);
                    if misses < 2 {
                        rotation.push(entry);
                        rotation.sort_unstable();
                    }
                    if was != (misses < 2) {
                        let state = if was { "out of" } else { "in" };
                        record.note(&format!("router: {} {state} rotation", host.name));
                    }
                    drop(rotation);
                    thread::sleep(Duration::from_millis(500));
                }
            });
        }
        router
    }

    pub fn count(&self) -> usize {
        self.rotation.lock().unwrap().len()
    }

    fn pick(&self, from: SocketAddrV4, to: SocketAddrV4) -> Option<SocketAddrV4> {
        let rotation = self.rotation.lock().unwrap();
        let near = rotation.iter().any(|(near, _)| *near);
        let usable: Vec<_> = rotation.iter().filter(|(zone, _)| *zone == near).collect();
        let mut hash = u64::from(from.ip().to_bits()) ^ (u64::from(from.port()) << 32);
        hash ^= u64::from(to.ip().to_bits()) ^ (u64::from(to.port()) << 16);
        hash = hash.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        let at = usize::try_from(hash).unwrap().checked_rem(usable.len())?;
        Some(usable[at].1)
    }
}

/// A reset that a requester got.
#[derive(Clone, Copy, Debug)]
pub struct Reset {
    /// Whether the flow's backend sent it.
    pub own: bool,
    /// Whether the flow was open for the requester.
    pub open: bool,
    /// Whether its number is near the requester's last acknowledgement.
    pub in_window: bool,
}

struct Unacked {
    packet: Packet,
    sent: Instant,
    count: u32,
}

pub struct Flow {
    pub route: SocketAddrV4,
    pub started: Instant,
    pub open: Option<Instant>,
    pub reset: Option<Reset>,
    /// Time of the last packet.
    pub used: Instant,
    /// Responses, whole ones only.
    pub responses: Vec<String>,
    /// Request that is sent as soon as the flow is open.
    first: Option<String>,
    syn_copies: usize,
    next: u32,
    expected: u32,
    received: Vec<u8>,
    unacked: Option<Unacked>,
}

/// Requesters' ends of flows, by port.
pub struct Requester {
    ip: Ipv4Addr,
    socket: UdpSocket,
    router: Router,
    record: Record,
    pub flows: BTreeMap<u16, Flow>,
    /// Packets that are neither as their sender wrote them nor a reset of the system.
    pub foreign: Vec<String>,
}

impl Requester {
    pub fn new(ip: Ipv4Addr, port: u16, router: &Router, record: &Record) -> std::io::Result<Self> {
        let socket = UdpSocket::bind((ip, port))?;
        socket.set_read_timeout(Some(Duration::from_millis(5)))?;
        Ok(Self {
            ip,
            socket,
            router: router.clone(),
            record: record.clone(),
            flows: BTreeMap::new(),
            foreign: Vec::new(),
        })
    }

    fn end(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, port)
    }

    /// Starts to open a flow from a port, for a first request.
    pub fn open(&mut self, port: u16, route: SocketAddrV4, first: &str) {
        let isn = u32::from(port).wrapping_mul(2_654_435_761);
        let flow = Flow {
            route,
            started: Instant::now(),
            open: None,
            reset: None,
            used: Instant::now(),
            responses: Vec::new(),
            first: Some(first.to_owned()),
            syn_copies: 0,
            next: isn.wrapping_add(1),
            expected: 0,
            received: Vec::new(),
            unacked: None,
        };
        self.flows.insert(port, flow);
        self.send(&Packet::new(SYN, self.end(port), route, isn, 0));
    }

    /// Sends a request on an open flow.
    pub fn request(&mut self, port: u16, id: &str) {
        let from = self.end(port);
        let Some(flow) = self.flows.get_mut(&port) else {
            return;
        };
        let mut packet = Packet::new(ACK, from, flow.route, flow.next, flow.expected);
        packet.data = format!(
            "POST /pickups HTTP/1.1\r\nHost: x\r\nCassiacross-Attempt-Id: {id}\r\n\
             Content-Length: 4\r\n\r\nwork"
        )
        .into_bytes();
        flow.next = flow.next.wrapping_add(packet.data.len() as u32);
        flow.used = Instant::now();
        flow.unacked = Some(Unacked {
            packet: packet.clone(),
            sent: Instant::now(),
            count: 0,
        });
        self.record
            .note(&format!("requester: port {port} sends {id}"));
        self.send(&packet);
    }

    /// Receives and repeats packets until a point in time, or until `done`.
    pub fn run(&mut self, until: Instant, done: impl Fn(&Self) -> bool) {
        let mut buffer = [0; 2_048];
        while Instant::now() < until && !done(self) {
            self.repeat();
            if let Ok(len) = self.socket.recv(&mut buffer) {
                self.receive(&buffer[..len]);
            }
        }
    }

    fn send(&self, packet: &Packet) {
        if let Some(balancer) = self.router.pick(packet.from, packet.to) {
            drop(self.socket.send_to(&packet.encode(), balancer));
        }
    }

    fn repeat(&mut self) {
        let ip = self.ip;
        let mut due = Vec::new();
        for (port, flow) in &mut self.flows {
            if flow.reset.is_some() {
                continue;
            }
            let age = flow.started.elapsed();
            if flow.open.is_none()
                && age < SYN_TIMEOUT
                && let Some(at) = SYN_COPIES_MS.get(flow.syn_copies)
                && age >= Duration::from_millis(*at)
            {
                flow.syn_copies += 1;
                let (from, isn) = (SocketAddrV4::new(ip, *port), flow.next.wrapping_sub(1));
                let copy = u32::try_from(flow.syn_copies).unwrap();
                due.push(Packet::new(SYN, from, flow.route, isn, copy));
            }
            if let Some(unacked) = &mut flow.unacked
                && unacked.sent.elapsed()
                    >= Duration::from_millis((200 << unacked.count).min(1_600))
            {
                (unacked.sent, unacked.count) = (Instant::now(), (unacked.count + 1).min(3));
                due.push(unacked.packet.clone());
            }
        }
        for packet in due {
            self.send(&packet);
        }
    }

    fn receive(&mut self, bytes: &[u8]) {
        let Some(packet) = Packet::decode(bytes) else {
            self.foreign.push("bytes that are no packet".to_owned());
            return;
        };
        let port = packet.to.port();
        let Some(flow) = self.flows.get_mut(&port).filter(|f| f.route == packet.from) else {
            self.foreign
                .push(format!("packet for port {port} without a flow"));
            return;
        };
        flow.used = Instant::now();
        let intact = packet.is_intact();
        if packet.has(RST) && (intact || (packet.sum == 0 && packet.data.is_empty())) {
            let distance = packet.seq.wrapping_sub(flow.expected) as i32;
            let reset = Reset {
                own: intact,
                open: flow.open.is_some(),
                in_window: distance.unsigned_abs() <= RESET_WINDOW,
            };
            self.record.note(&format!(
                "requester: port {port} got a reset (from its backend: {intact}, flow open: {}, \
                 number near the last acknowledgement: {}: {} and {})",
                reset.open, reset.in_window, packet.seq, flow.expected
            ));
            if flow.reset.is_none() {
                flow.reset = Some(reset);
            }
            return;
        }
        if !intact {
            self.foreign
                .push(format!("port {port}: packet that nobody wrote so"));
            return;
        }
        if packet.has(SYN) {
            if flow.open.is_none() {
                flow.open = Some(Instant::now());
                flow.expected = packet.seq.wrapping_add(1);
            } else if packet.seq.wrapping_add(1) != flow.expected {
                return;
            }
            let first = flow.first.take();
            let ack = Packet::new(ACK, packet.to, packet.from, flow.next, flow.expected);
            self.send(&ack);
            if let Some(id) = first {
                self.request(port, &id);
            }
            return;
        }
        if flow.unacked.is_some() && packet.ack == flow.next {
            flow.unacked = None;
        }
        if packet.data.is_empty() {
            return;
        }
        if packet.seq == flow.expected {
            flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
            flow.received.extend_from_slice(&packet.data);
            let text = String::from_utf8_lossy(&flow.received).into_owned();
            if let Some((_, body)) = text.split_once("\r\n\r\n") {
                self.record
                    .note(&format!("requester: port {port} got \"{body}\""));
                flow.responses.push(body.to_owned());
                flow.received.clear();
            }
        }
        let ack = Packet::new(ACK, packet.to, packet.from, flow.next, flow.expected);
        self.send(&ack);
    }
}
