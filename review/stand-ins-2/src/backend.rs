//! Stand-in for a backend: it ends its flows, answers one request at a time on each, and sends
//! status reports to the node beside it.

use std::{
    collections::HashMap,
    net::{SocketAddrV4, TcpListener, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    fleet::Host,
    http,
    packet::{ACK, BOUNCED, FIN, LEN, Packet, RST, SYN},
    record::Record,
};

/// Retransmissions after which a backend gives a packet up.
const MAX_RETRANSMISSIONS: u32 = 8;

struct Flow {
    isn: u32,
    open: bool,
    /// Next sequence number expected of the requester.
    expected: u32,
    /// Next own sequence number.
    next: u32,
    received: Vec<u8>,
    /// Response that the requester has not acknowledged.
    unacked: Option<(Packet, Instant, u32)>,
}

/// What the test sees of a backend.
#[derive(Default)]
pub struct Seen {
    /// Requesters' ends of the flows that were opened here.
    pub open: Vec<SocketAddrV4>,
    /// Ids of the requests that were run.
    pub run: Vec<String>,
    /// Packets of flows that the backend does not hold, by the requester's end.
    pub returned: Vec<SocketAddrV4>,
}

pub struct Backend {
    pub host: Host,
    id: String,
    born: u128,
    running: Arc<AtomicBool>,
    draining: Arc<AtomicBool>,
    pub seen: Arc<Mutex<Seen>>,
}

impl Backend {
    pub fn start(host: &Host, isn_seed: u32, record: &Record) -> std::io::Result<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let backend = Self {
            host: host.clone(),
            id: format!("i-{}", host.name),
            born: born.as_millis(),
            running: Arc::new(AtomicBool::new(true)),
            draining: Arc::default(),
            seen: Arc::default(),
        };
        let socket = UdpSocket::bind(host.addr(host.ports.app))?;
        socket.set_read_timeout(Some(Duration::from_millis(10)))?;
        let running = Arc::clone(&backend.running);
        let draining = Arc::clone(&backend.draining);
        http::serve(TcpListener::bind(host.addr(host.ports.app))?, move |_| {
            let well = running.load(Ordering::Relaxed) && !draining.load(Ordering::Relaxed);
            (if well { 200 } else { 503 }, "{}".to_owned())
        });
        backend.spawn_flows(socket, isn_seed, record.clone());
        backend.spawn_reports();
        Ok(backend)
    }

    /// Reports that the backend leaves, as before a planned shutdown.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Deregisters, as a backend does when it has been emptied, and ends.
    pub fn leave(&self) {
        let body = format!("{{\"born\":{}}}", self.born);
        let target = format!("/api/Instances.Leave/{}", self.id);
        let control = self.host.addr(self.host.ports.control);
        let _status = http::call(control, "POST", &target, &body);
        self.running.store(false, Ordering::Relaxed);
    }

    fn spawn_reports(&self) {
        let (running, draining) = (Arc::clone(&self.running), Arc::clone(&self.draining));
        let (host, id, born) = (self.host.clone(), self.id.clone(), self.born);
        thread::spawn(move || {
            let mut seq = 0;
            while running.load(Ordering::Relaxed) {
                seq += 1;
                let leaves = draining.load(Ordering::Relaxed);
                let body = format!(
                    "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\
                     \"Slots\":{},\"State\":\"{}\",\"ColdLeftMs\":0,\"Seq\":{seq},\"born\":{born}}}",
                    host.service,
                    host.addr(host.ports.app),
                    host.zone,
                    crate::fleet::SLOTS,
                    if leaves { "draining" } else { "ready" },
                );
                let target = format!("/api/Instances.Heartbeat/{id}");
                let control = host.addr(host.ports.control);
                let acked = http::call(control, "POST", &target, &body) == Some(200);
                let pause = if acked { crate::fleet::REPORT_MS } else { 100 };
                let until = Instant::now() + Duration::from_millis(pause);
                while Instant::now() < until && draining.load(Ordering::Relaxed) == leaves {
                    thread::sleep(Duration::from_millis(10));
                }
            }
        });
    }

    fn spawn_flows(&self, socket: UdpSocket, isn_seed: u32, record: Record) {
        let running = Arc::clone(&self.running);
        let seen = Arc::clone(&self.seen);
        let host = self.host.clone();
        let outbound = host.addr(host.ports.outbound);
        thread::spawn(move || {
            let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow> = HashMap::new();
            let mut buffer = [0; 2_048];
            let mut isn = isn_seed;
            while running.load(Ordering::Relaxed) {
                retransmit(&mut flows, &socket, outbound);
                let Ok(len) = socket.recv(&mut buffer) else {
                    continue;
                };
                let bytes = &buffer[..len];
                let Some(packet) = Packet::decode(bytes) else {
                    record.note(&format!("{}: unreadable packet", host.name));
                    continue;
                };
                if !packet.is_intact() {
                    record.note(&format!("{}: packet that nobody wrote so", host.name));
                    continue;
                }
                let key = (packet.from, packet.to);
                let send = |packet: &Packet| drop(socket.send_to(&packet.encode(), outbound));
                if packet.has(SYN) {
                    let flow = flows.entry(key).or_insert_with(|| {
                        isn = isn.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                        Flow {
                            isn,
                            open: false,
                            expected: packet.seq.wrapping_add(1),
                            next: isn.wrapping_add(1),
                            received: Vec::new(),
                            unacked: None,
                        }
                    });
                    let (from, to) = (packet.to, packet.from);
                    send(&Packet::new(SYN | ACK, from, to, flow.isn, flow.expected));
                    continue;
                }
                let holds = |flow: &&mut Flow| flow.open || packet.ack == flow.isn.wrapping_add(1);
                let Some(flow) = flows.get_mut(&key).filter(holds) else {
                    seen.lock().unwrap().returned.push(packet.from);
                    let mut returned = bytes.to_vec();
                    returned[4] |= BOUNCED;
                    returned[5..10].fill(0);
                    drop(socket.send_to(&returned, outbound));
                    continue;
                };
                if !flow.open {
                    flow.open = true;
                    seen.lock().unwrap().open.push(packet.from);
                    record.note(&format!("{}: flow of {} opened", host.name, packet.from));
                }
                if packet.has(RST) {
                    flows.remove(&key);
                    continue;
                }
                if flow
                    .unacked
                    .as_ref()
                    .is_some_and(|_| packet.ack == flow.next)
                {
                    flow.unacked = None;
                }
                if packet.data.is_empty() && !packet.has(FIN) {
                    continue;
                }
                if packet.seq == flow.expected {
                    flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
                    flow.received.extend_from_slice(&packet.data);
                }
                let (from, to) = (packet.to, packet.from);
                send(&Packet::new(ACK, from, to, flow.next, flow.expected));
                if let Some(id) = take_request(&mut flow.received) {
                    record.note(&format!("{}: runs {id}", host.name));
                    seen.lock().unwrap().run.push(id.clone());
                    thread::sleep(Duration::from_millis(2));
                    let mut answer = Packet::new(ACK, from, to, flow.next, flow.expected);
                    answer.data = response(&host.name, &id);
                    flow.next = flow.next.wrapping_add(answer.data.len() as u32);
                    send(&answer);
                    flow.unacked = Some((answer, Instant::now(), 0));
                }
            }
        });
    }
}

fn retransmit(
    flows: &mut HashMap<(SocketAddrV4, SocketAddrV4), Flow>,
    socket: &UdpSocket,
    outbound: SocketAddrV4,
) {
    for flow in flows.values_mut() {
        if let Some((packet, sent, count)) = &mut flow.unacked
            && *count < MAX_RETRANSMISSIONS
            && sent.elapsed() >= Duration::from_millis((200 << *count).min(1_600))
        {
            (*sent, *count) = (Instant::now(), *count + 1);
            drop(socket.send_to(&packet.encode(), outbound));
        }
    }
}

/// Takes a whole request from the received bytes; returns its id.
fn take_request(received: &mut Vec<u8>) -> Option<String> {
    let text = String::from_utf8_lossy(received).into_owned();
    let end = text.find("\r\n\r\n")? + 4;
    let header = |name: &str| {
        let mut lines = text[..end].lines().filter_map(|line| line.split_once(": "));
        lines.find(|(key, _)| *key == name).map(|(_, value)| value)
    };
    let length: usize = header("Content-Length")?.parse().ok()?;
    if received.len() < end + length {
        return None;
    }
    let id = header("Cassiacross-Attempt-Id")?.to_owned();
    received.drain(..end + length);
    Some(id)
}

fn response(name: &str, id: &str) -> Vec<u8> {
    let body = format!("{name} ran {id}");
    let head = format!(
        "HTTP/1.1 200 OK\r\nCassiacross-Response-Signature: {:08x}\r\nContent-Length: {}\r\n\r\n",
        signature(&body),
        body.len()
    );
    let bytes = (head + &body).into_bytes();
    assert!(bytes.len() + LEN <= 1_236);
    bytes
}

fn signature(body: &str) -> u32 {
    body.bytes().fold(17, |sum: u32, byte| {
        sum.wrapping_mul(31).wrapping_add(u32::from(byte))
    })
}
