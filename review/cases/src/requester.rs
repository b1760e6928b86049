//! Stand-in for requesters and for the platform's routers: flows with retransmissions, whose
//! packets go to the edge nodes in rotation by a hash over the addresses and ports.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    packet::{self, Packet},
    record::Record,
};

/// Times of the copies of a SYN after the first one.
const SYN_COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPEN_LIMIT: Duration = Duration::from_millis(1_400);
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);
const MAX_RETRANSMISSION: Duration = Duration::from_millis(1_600);
const REQUEST_LIMIT: Duration = Duration::from_secs(5);

/// Largest distance of a valid reset's `seq` from the last `ack`.
const RESET_WINDOW: u32 = 76_800;

/// Edge node of a zone, as its routers see it.
#[derive(Clone, Copy)]
pub struct Edge {
    pub packets: SocketAddrV4,
    pub ready: SocketAddrV4,
}

/// Edge nodes in rotation.
#[derive(Clone)]
struct Rotation {
    edges: Arc<Mutex<Vec<(Edge, u32)>>>,
}

impl Rotation {
    /// Asks each node twice a second whether it is ready; two misses take it out.
    fn start(edges: &[Edge]) -> Self {
        let rotation = Self {
            edges: Arc::new(Mutex::new(edges.iter().map(|edge| (*edge, 2)).collect())),
        };
        for at in 0..edges.len() {
            let (edges, ready) = (Arc::clone(&rotation.edges), edges[at].ready);
            thread::spawn(move || {
                loop {
                    let is_ready = http::call(ready, "GET", "/api/ready", "") == Some(200);
                    {
                        let misses = &mut edges.lock().expect("lock")[at].1;
                        *misses = if is_ready { 0 } else { *misses + 1 };
                    }
                    thread::sleep(Duration::from_millis(500));
                }
            });
        }
        rotation
    }

    /// Picks the node of a flow; uses all nodes if fewer than half are in rotation.
    fn pick(&self, flow: &Packet) -> SocketAddrV4 {
        let edges = self.edges.lock().expect("lock");
        let ready: Vec<_> = edges.iter().filter(|(_, misses)| *misses < 2).collect();
        let all: Vec<_> = edges.iter().collect();
        let used = if ready.len() * 2 < all.len() {
            all
        } else {
            ready
        };
        let hash = u32::from(flow.from.port()).wrapping_mul(0x9e37_79b9) >> 16;
        used[hash as usize % used.len()].0.packets
    }

    fn is_full(&self) -> bool {
        self.edges
            .lock()
            .expect("lock")
            .iter()
            .all(|(_, misses)| *misses == 0)
    }
}

/// State of one flow at the requester.
struct Flow {
    route: SocketAddrV4,
    seq: u32,
    ack: u32,
    open: bool,
    started: Instant,
    copies: usize,
    /// Request that is not answered yet.
    request: Option<Outstanding>,
    answered: usize,
    /// Time of the last packet of either end.
    last: Instant,
    /// Longest time without a packet before a request.
    idle: Duration,
    reset: Option<Reset>,
    failed: bool,
}

struct Outstanding {
    packet: Packet,
    first: Instant,
    last: Instant,
    wait: Duration,
}

/// Reset that a flow got.
#[derive(Clone, Debug)]
pub struct Reset {
    pub port: u16,
    /// Whether the flow was open at the requester.
    pub open: bool,
    /// Whether it carried the checksum of a backend.
    pub from_backend: bool,
    /// Longest time without a packet before a request.
    pub idle: Duration,
}

pub struct Requesters {
    ip: Ipv4Addr,
    socket: UdpSocket,
    rotation: Rotation,
    flows: Arc<Mutex<BTreeMap<u16, Flow>>>,
    record: Record,
}

impl Requesters {
    /// Binds the requesters' address; answers arrive at the port of the edge nodes.
    pub fn start(ip: Ipv4Addr, edges: &[Edge], record: Record) -> std::io::Result<Arc<Self>> {
        let socket = UdpSocket::bind((ip, edges[0].packets.port()))?;
        let requesters = Arc::new(Self {
            ip,
            socket,
            rotation: Rotation::start(edges),
            flows: Arc::default(),
            record,
        });
        let receiver = Arc::clone(&requesters);
        thread::spawn(move || {
            let mut buffer = [0; 2_048];
            while let Ok(len) = receiver.socket.recv(&mut buffer) {
                if let Some(packet) = packet::decode(&buffer[..len]) {
                    receiver.receive(&packet);
                }
            }
        });
        let timer = Arc::clone(&requesters);
        thread::spawn(move || {
            loop {
                timer.retransmit();
                thread::sleep(Duration::from_millis(10));
            }
        });
        Ok(requesters)
    }

    pub fn all_edges_ready(&self) -> bool {
        self.rotation.is_full()
    }

    /// Sends the SYN of a new flow.
    pub fn open(&self, port: u16, route: SocketAddrV4) {
        let now = Instant::now();
        let flow = Flow {
            route,
            seq: u32::from(port).wrapping_mul(70_001),
            ack: 0,
            open: false,
            started: now,
            copies: 0,
            request: None,
            answered: 0,
            last: now,
            idle: Duration::ZERO,
            reset: None,
            failed: false,
        };
        self.send_syn(port, &flow);
        self.record
            .write(&format!("syn      {}:{port} to {route}", self.ip));
        self.flows.lock().expect("lock").insert(port, flow);
    }

    /// Sends a request on an open flow. Returns false if the flow is not open or busy.
    pub fn request(&self, port: u16, id: &str) -> bool {
        let mut flows = self.flows.lock().expect("lock");
        let Some(flow) = flows.get_mut(&port) else {
            return false;
        };
        if !flow.open || flow.request.is_some() || flow.reset.is_some() || flow.failed {
            return false;
        }
        let now = Instant::now();
        let idle = now.duration_since(flow.last);
        flow.idle = flow.idle.max(idle);
        let idle = idle.as_millis();
        let line = format!(
            "request  {}:{port} {id} after {idle} ms without a packet",
            self.ip
        );
        self.record.write(&line);
        let packet = self.packet(port, flow, packet::ACK, id.as_bytes());
        self.send(&packet);
        flow.last = now;
        flow.request = Some(Outstanding {
            packet,
            first: now,
            last: now,
            wait: FIRST_RETRANSMISSION,
        });
        true
    }

    /// Returns the flows that are open and have no request outstanding.
    pub fn idle(&self) -> Vec<u16> {
        let flows = self.flows.lock().expect("lock");
        let idle = flows.iter().filter(|(_, flow)| {
            flow.open && flow.request.is_none() && flow.reset.is_none() && !flow.failed
        });
        idle.map(|(port, _)| *port).collect()
    }

    pub fn resets(&self) -> Vec<Reset> {
        let flows = self.flows.lock().expect("lock");
        flows
            .values()
            .filter_map(|flow| flow.reset.clone())
            .collect()
    }

    pub fn answered(&self) -> usize {
        self.flows
            .lock()
            .expect("lock")
            .values()
            .map(|flow| flow.answered)
            .sum()
    }

    pub fn outstanding(&self) -> usize {
        let flows = self.flows.lock().expect("lock");
        flows
            .values()
            .filter(|flow| flow.request.is_some() && flow.reset.is_none())
            .count()
    }

    fn packet(&self, port: u16, flow: &Flow, flags: u8, data: &[u8]) -> Packet {
        Packet {
            flags,
            from: SocketAddrV4::new(self.ip, port),
            to: flow.route,
            seq: flow.seq,
            ack: flow.ack,
            sum: 0,
            data: data.to_vec(),
        }
    }

    fn send_syn(&self, port: u16, flow: &Flow) {
        let mut packet = self.packet(port, flow, packet::SYN, b"");
        packet.ack = u32::try_from(flow.copies).unwrap_or(0);
        self.send(&packet);
    }

    fn send(&self, packet: &Packet) {
        let _lost = self
            .socket
            .send_to(&packet.encode(), self.rotation.pick(packet));
    }

    fn receive(&self, packet: &Packet) {
        let mut flows = self.flows.lock().expect("lock");
        let port = packet.to.port();
        let Some(flow) = flows
            .get_mut(&port)
            .filter(|flow| flow.route == packet.from)
        else {
            return;
        };
        if packet.has(packet::RST) {
            let distance = packet.seq.wrapping_sub(flow.ack);
            let is_near = distance <= RESET_WINDOW || distance.wrapping_neg() <= RESET_WINDOW;
            if flow.reset.is_none() && (is_near || !flow.open) {
                let from_backend = packet.sum != 0;
                self.record.write(&format!(
                    "reset    {}:{port} open={} from_backend={from_backend}",
                    self.ip, flow.open
                ));
                flow.reset = Some(Reset {
                    port,
                    idle: flow.idle,
                    open: flow.open,
                    from_backend,
                });
            }
            return;
        }
        if !packet.is_authentic() {
            self.record
                .write(&format!("MIXED    {}:{port} got a changed packet", self.ip));
            return;
        }
        if packet.has(packet::SYN) {
            if !flow.open && !flow.failed && flow.reset.is_none() {
                flow.open = true;
                flow.seq = flow.seq.wrapping_add(1);
                flow.ack = packet.seq.wrapping_add(1);
                flow.last = Instant::now();
                let ack = self.packet(port, flow, packet::ACK, b"");
                self.send(&ack);
            }
            return;
        }
        if !flow.open || packet.data.is_empty() || packet.seq != flow.ack {
            return;
        }
        flow.last = Instant::now();
        flow.ack = flow
            .ack
            .wrapping_add(u32::try_from(packet.data.len()).unwrap_or(0));
        if let Some(request) = flow.request.take() {
            let sent = u32::try_from(request.packet.data.len()).unwrap_or(0);
            flow.seq = flow.seq.wrapping_add(sent);
            flow.answered += 1;
            let text = String::from_utf8_lossy(&packet.data).into_owned();
            let took = request.first.elapsed().as_millis();
            self.record.write(&format!(
                "answer   {}:{port} {text} after {took} ms",
                self.ip
            ));
        }
        let ack = self.packet(port, flow, packet::ACK, b"");
        self.send(&ack);
    }

    fn retransmit(&self) {
        let now = Instant::now();
        let mut flows = self.flows.lock().expect("lock");
        for (port, flow) in flows.iter_mut() {
            if flow.failed || flow.reset.is_some() {
                continue;
            }
            if !flow.open {
                let age = now.duration_since(flow.started);
                if age >= OPEN_LIMIT {
                    flow.failed = true;
                    self.record.write(&format!("unopened {}:{port}", self.ip));
                } else if SYN_COPIES.get(flow.copies).is_some_and(|at| age >= *at) {
                    flow.copies += 1;
                    self.send_syn(*port, flow);
                }
                continue;
            }
            let Some(request) = &mut flow.request else {
                continue;
            };
            if now.duration_since(request.first) >= REQUEST_LIMIT {
                flow.failed = true;
                self.record.write(&format!("given up {}:{port}", self.ip));
            } else if now.duration_since(request.last) >= request.wait {
                request.last = now;
                request.wait = (request.wait * 2).min(MAX_RETRANSMISSION);
                self.send(&request.packet);
            }
        }
    }
}
