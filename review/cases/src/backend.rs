//! Stand-in for a backend: ends flows, runs one request for each data packet, answers health
//! probes and sends status reports to the agent on its machine.

use std::{
    collections::BTreeMap,
    net::{SocketAddrV4, TcpListener, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Response},
    packet::{self, Packet},
    record::Record,
};

const WORK: Duration = Duration::from_millis(20);

pub struct Settings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
    pub slots: u32,
    pub report_period: Duration,
}

struct Flow {
    isn: u32,
    open: bool,
    /// Next sequence number of the requester.
    expected: u32,
    /// Next sequence number of this end.
    next: u32,
    /// Last answer, which is sent again if the request arrives again.
    answer: Option<Packet>,
}

/// What a backend saw, by the requester's end of the flow and the route.
#[derive(Default)]
pub struct Seen {
    /// Flows that are open here.
    pub open: Vec<(SocketAddrV4, SocketAddrV4)>,
}

#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub seen: Arc<Mutex<Seen>>,
    draining: Arc<AtomicBool>,
    seq: Arc<AtomicU64>,
}

impl Backend {
    pub fn start(settings: Settings, record: Record) -> std::io::Result<Self> {
        let backend = Self {
            id: settings.id.clone(),
            seen: Arc::default(),
            draining: Arc::default(),
            seq: Arc::default(),
        };
        let socket = UdpSocket::bind(settings.app)?;
        let listener = TcpListener::bind(settings.app)?;
        backend.spawn_listener(listener);
        backend.spawn_reports(&settings);
        backend.spawn_packets(socket, settings, record);
        Ok(backend)
    }

    fn spawn_listener(&self, listener: TcpListener) {
        let draining = Arc::clone(&self.draining);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let draining = Arc::clone(&draining);
                thread::spawn(move || {
                    http::serve_connection(stream, &|_request| Response {
                        status: if draining.load(Ordering::Relaxed) {
                            503
                        } else {
                            200
                        },
                        body: "{}".to_owned(),
                    })
                });
            }
        });
    }

    fn spawn_reports(&self, settings: &Settings) {
        let (draining, seq) = (Arc::clone(&self.draining), Arc::clone(&self.seq));
        let path = format!("/api/Instances.Heartbeat/{}", settings.id);
        let (service, zone, app) = (
            settings.service.clone(),
            settings.zone.clone(),
            settings.app,
        );
        let (control, slots, period) = (settings.control, settings.slots, settings.report_period);
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("clock")
            .as_millis();
        thread::spawn(move || {
            loop {
                let state = if draining.load(Ordering::Relaxed) {
                    "draining"
                } else {
                    "ready"
                };
                let seq = seq.fetch_add(1, Ordering::Relaxed) + 1;
                let body = format!(
                    "{{\"Service\":\"{service}\",\"Address\":\"{app}\",\"Zone\":\"{zone}\",\
                     \"Version\":\"v1\",\"Slots\":{slots},\"State\":\"{state}\",\"ColdLeftMs\":0,\
                     \"Seq\":{seq},\"born\":{born}}}"
                );
                let _status = http::call(control, "POST", &path, &body);
                thread::sleep(period);
            }
        });
    }

    fn spawn_packets(&self, socket: UdpSocket, settings: Settings, record: Record) {
        let seen = Arc::clone(&self.seen);
        thread::spawn(move || {
            let mut flows = BTreeMap::new();
            let mut buffer = [0; 2_048];
            while let Ok(len) = socket.recv(&mut buffer) {
                let Some(packet) = packet::decode(&buffer[..len]) else {
                    continue;
                };
                if !packet.is_authentic() {
                    record.write(&format!("UNASKED {} got a changed packet", settings.id));
                }
                let mut context = Context {
                    settings: &settings,
                    seen: &seen,
                    record: &record,
                };
                let Some(answer) = context.receive(&mut flows, &packet) else {
                    let _lost = socket.send_to(&packet::bounce(&buffer[..len]), settings.outbound);
                    continue;
                };
                for (delay, reply) in answer {
                    let bytes = reply.encode();
                    let (socket, to) = (socket.try_clone().expect("socket"), settings.outbound);
                    if delay.is_zero() {
                        let _lost = socket.send_to(&bytes, to);
                    } else {
                        thread::spawn(move || {
                            thread::sleep(delay);
                            socket.send_to(&bytes, to)
                        });
                    }
                }
            }
        });
    }
}

type Flows = BTreeMap<(SocketAddrV4, SocketAddrV4), Flow>;
type Replies = Vec<(Duration, Packet)>;

struct Context<'a> {
    settings: &'a Settings,
    seen: &'a Mutex<Seen>,
    record: &'a Record,
}

impl Context<'_> {
    /// Returns the replies to a packet, or `None` if its flow is not held here.
    fn receive(&mut self, flows: &mut Flows, packet: &Packet) -> Option<Replies> {
        let key = (packet.from, packet.to);
        if packet.has(packet::SYN) {
            let flow = flows.entry(key).or_insert_with(|| {
                let isn = packet
                    .seq
                    .wrapping_mul(2_654_435_761)
                    .wrapping_add(self.salt());
                Flow {
                    isn,
                    open: false,
                    expected: packet.seq.wrapping_add(1),
                    next: isn.wrapping_add(1),
                    answer: None,
                }
            });
            let flags = packet::SYN | packet::ACK;
            let reply = reply(packet, flags, flow.isn, flow.expected, b"");
            return Some(vec![(Duration::ZERO, reply)]);
        }
        let flow = flows.get_mut(&key)?;
        if packet.has(packet::RST) {
            flows.remove(&key);
            return Some(Vec::new());
        }
        if !flow.open {
            if packet.ack != flow.isn.wrapping_add(1) {
                return None;
            }
            flow.open = true;
            self.seen.lock().expect("lock").open.push(key);
            let line = format!("open     {} at {}", packet.from, self.settings.id);
            self.record.write(&line);
        }
        if packet.data.is_empty() {
            return Some(Vec::new());
        }
        if packet.seq != flow.expected {
            return Some(
                flow.answer
                    .iter()
                    .map(|a| (Duration::ZERO, a.clone()))
                    .collect(),
            );
        }
        flow.expected = flow
            .expected
            .wrapping_add(u32::try_from(packet.data.len()).ok()?);
        let request = String::from_utf8_lossy(&packet.data).into_owned();
        self.record
            .write(&format!("run      {request} at {}", self.settings.id));
        let data = format!("{request} by {}", self.settings.id);
        let answer = reply(
            packet,
            packet::ACK,
            flow.next,
            flow.expected,
            data.as_bytes(),
        );
        flow.next = flow
            .next
            .wrapping_add(u32::try_from(answer.data.len()).ok()?);
        flow.answer = Some(answer.clone());
        let taken = reply(packet, packet::ACK, flow.next, flow.expected, b"");
        let ack = Packet {
            seq: answer.seq,
            ..taken
        };
        Some(vec![(Duration::ZERO, ack), (WORK, answer)])
    }

    /// Returns a number that differs between the backends of a run.
    fn salt(&self) -> u32 {
        self.settings.app.ip().to_bits().wrapping_mul(0x9e37_79b9)
    }
}

fn reply(to: &Packet, flags: u8, seq: u32, ack: u32, data: &[u8]) -> Packet {
    Packet {
        flags,
        from: to.to,
        to: to.from,
        seq,
        ack,
        sum: 0,
        data: data.to_vec(),
    }
}
