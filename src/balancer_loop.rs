//! Event loop of a pass-through balancer: forwards callers' packets to agents.

use std::{
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use anyhow::Context;
use log::{debug, info};
use serde::Serialize;
use tokio::{
    sync::{self, mpsc, oneshot},
    time,
};

use crate::{
    clock, evacuation, pacer, peer_sync, polling, roster, routing, segment, socket, telemetry,
    transport,
};

/// Fifths of the grace period for which a process keeps running after the request to shut
/// down: long enough for the fabric to send packets elsewhere, short enough for the
/// process to exit before it is killed, even on a slow host.
const LINGER_FIFTHS: u64 = 2;

/// Interval between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Settings of a balancer.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the balancer, unique in the fleet.
    pub name: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Address for packets from callers. Packets to callers are sent to the same port.
    pub packets: SocketAddrV4,
    /// Address for messages from other nodes.
    pub control: SocketAddrV4,
    /// Message addresses of some balancers, used to join the fleet.
    pub seeds: Vec<SocketAddrV4>,
    /// Secret from which the fleet's sealing key is derived.
    pub secret: String,
    /// Grace period between the request to shut down and the kill of the process.
    pub grace: clock::Millis,
    /// Rate of the host's link in Mbit/s.
    pub link_mbps: f64,
    /// Whether the whole fleet is started for the first time, so that no flows exist yet.
    pub first_start: bool,
}

/// Event from the platform adapter.
#[derive(Debug)]
pub enum Event {
    /// Configuration read from the platform.
    Config(routing::Config),
    /// Evacuations read from the platform.
    Evacuations(evacuation::Evacuations),
    /// Message addresses of the balancers that are registered on the platform.
    Peers(Vec<SocketAddrV4>),
    /// Whether the last call to the platform succeeded.
    Platform(bool),
    /// Request for a JSON dump of the process's state.
    Dump(oneshot::Sender<String>),
    /// Request to shut down.
    Stop,
}

/// Content of a state dump.
#[derive(Serialize)]
struct Dump<'a> {
    now: clock::Millis,
    ready: bool,
    /// Whether this or another balancer can reach the platform.
    hears_platform: bool,
    roster: &'a roster::Roster,
    config: Option<&'a routing::Config>,
    evacuations: &'a evacuation::Evacuations,
    /// Time that the waiting datagrams take up the link.
    link_delay_ms: clock::Millis,
    /// Number of datagrams that were not sent.
    unsent: transport::Unsent,
}

struct BalancerLoop {
    codec: segment::Codec,
    packet_socket: socket::Socket,
    control_socket: socket::Socket,
    caller_port: u16,
    transport: transport::Transport,
    hash_seed: u64,
    peers: peer_sync::PeerSync,
    tables: routing::Tables,
    telemetry: telemetry::Telemetry,
    clock: clock::Clock,
}

/// Returns the time for which a process keeps running after the request to shut down.
#[must_use]
pub const fn linger(grace: clock::Millis) -> clock::Millis {
    clock::Millis(grace.0 * LINGER_FIFTHS / 5)
}

/// Runs a balancer until it has shut down. Sets `ready` while the fabric may send packets
/// to it.
pub async fn run(
    settings: Settings,
    codec: segment::Codec,
    mut events: mpsc::Receiver<Event>,
    ready: Arc<AtomicBool>,
    polling: sync::watch::Sender<polling::Polling>,
    telemetry: telemetry::Telemetry,
) -> anyhow::Result<()> {
    let mut balancer = start(&settings, codec, telemetry)?;
    let mut ticker = time::interval(TICK_INTERVAL);
    ticker.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut stop_at = None;
    info!(name = settings.name, packets:% = settings.packets; "balancer started");
    loop {
        let due = balancer
            .transport
            .due()
            .map(|at| balancer.clock.instant(at));
        tokio::select! {
            () = pacer::wait_until(due) => {}
            result = balancer.packet_socket.readable() => {
                result.context("packet socket failed")?;
                balancer.forward_packets();
            }
            result = balancer.control_socket.readable() => {
                result.context("control socket failed")?;
                balancer.receive_messages();
            }
            event = events.recv() => match event {
                Some(Event::Stop) | None if stop_at.is_none() => {
                    let linger = linger(settings.grace);
                    info!(linger_ms = linger.0; "balancer is shutting down");
                    stop_at = Some(balancer.clock.now() + linger);
                    balancer.peers.update_self(|me| me.leaving = true);
                }
                Some(event) => balancer.handle_event(event),
                None => {}
            },
            _ = ticker.tick() => {
                let now = balancer.clock.now();
                balancer.peers.tick(now);
                balancer.telemetry.publish_traffic(balancer.transport.traffic());
                polling::set(&polling, balancer.peers.polling(now));
            }
        }
        balancer.send_messages();
        ready.store(stop_at.is_none() && balancer.is_ready(), Ordering::Relaxed);
        if stop_at.is_some_and(|at| balancer.clock.now() >= at) {
            info!("balancer stopped");
            return Ok(());
        }
    }
}

fn start(
    settings: &Settings,
    codec: segment::Codec,
    telemetry: telemetry::Telemetry,
) -> anyhow::Result<BalancerLoop> {
    let packet_socket =
        socket::Socket::bind(settings.packets).context("cannot bind packet socket")?;
    let control_socket =
        socket::Socket::bind(settings.control).context("cannot bind control socket")?;
    let transport = transport::Transport::new(&settings.secret, settings.link_mbps);
    let clock = clock::Clock::new();
    let (name, domain) = (&settings.name, &settings.domain);
    let me = roster::Entry::starting(name, domain, settings.control, None);
    let seed = me.incarnation.0;
    let mut peers = peer_sync::PeerSync::new(me, settings.seeds.clone(), seed, clock.now());
    if settings.first_start {
        peers.record_first_start();
    }
    Ok(BalancerLoop {
        codec,
        packet_socket,
        control_socket,
        caller_port: settings.packets.port(),
        hash_seed: transport.hash_seed(),
        transport,
        peers,
        tables: routing::Tables::default(),
        telemetry,
        clock,
    })
}

impl BalancerLoop {
    /// Returns whether packets can be forwarded: a configuration and an agent are known,
    /// and this node is not isolated.
    fn is_ready(&self) -> bool {
        let roster = self.peers.roster();
        let agents = roster
            .peers()
            .iter()
            .any(|peer| peer.entry.upstream.is_some());
        self.peers.config().is_some() && agents && !roster.is_isolated(self.clock.now())
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Config(config) => {
                self.peers.apply_config(config);
            }
            Event::Evacuations(read) => self.peers.apply_evacuations(read),
            Event::Peers(addresses) => self.peers.set_platform_addresses(addresses),
            Event::Platform(answers) => self.record_reachability(answers),
            Event::Dump(to) => {
                if to.send(self.dump()).is_err() {
                    debug!("requester closed the connection before the state dump was ready");
                }
            }
            Event::Stop => {}
        }
    }

    /// Announces a change of the platform's reachability to the other nodes.
    fn record_reachability(&mut self, answers: bool) {
        if self.peers.roster().me().deaf == answers {
            info!(answers = answers; "platform reachability changed");
            self.peers.update_self(|me| me.deaf = !answers);
        }
    }

    fn dump(&self) -> String {
        let dump = Dump {
            now: self.clock.now(),
            ready: self.is_ready(),
            hears_platform: self.peers.roster().is_platform_reachable(),
            roster: self.peers.roster(),
            config: self.peers.config(),
            evacuations: self.peers.evacuations(),
            link_delay_ms: self.transport.link_delay(),
            unsent: self.transport.unsent(),
        };
        serde_json::to_string_pretty(&dump).unwrap_or_else(|error| error.to_string())
    }

    /// Receives packets from callers and forwards each to an agent, or resets or drops
    /// it.
    fn forward_packets(&mut self) {
        let Self {
            codec,
            packet_socket,
            control_socket,
            caller_port,
            transport,
            hash_seed,
            peers,
            tables,
            telemetry,
            clock,
            ..
        } = self;
        let now = clock.now();
        let sockets = transport::Sockets {
            packets: packet_socket,
            messages: control_socket,
        };
        let is_reachable = peers.roster().is_platform_reachable();
        let knows_services = peers.knows_services(now);
        tables.refresh(peers.roster());
        packet_socket.receive(|bytes, _from| {
            let segment = match (codec.parse)(bytes) {
                Ok(segment) => segment,
                Err(error) => {
                    telemetry.count_unreadable();
                    debug!(error:% = error; "dropping unreadable packet");
                    return;
                }
            };
            match routing::build_header(
                peers.config(),
                tables,
                peers.roster(),
                *hash_seed,
                &segment,
            ) {
                Ok(mut header) => {
                    header.route.partial = !knows_services && !segment.syn;
                    let priority = routing::priority(peers.config(), *hash_seed, &segment);
                    transport.send_packet(sockets, &header, bytes, priority, now);
                }
                Err(refusal) => {
                    let flow = segment.inbound();
                    let is_known = match refusal {
                        routing::Refusal::NoRoute => is_reachable,
                        routing::Refusal::Evacuated => true,
                        routing::Refusal::NoConfig | routing::Refusal::NoAgents => false,
                    };
                    let reset_sent = is_known && !segment.reset;
                    if reset_sent {
                        let reset = (codec.reset)(&flow, segment.ack);
                        let caller = SocketAddrV4::new(*flow.caller.ip(), *caller_port);
                        transport.send_to_caller(
                            sockets,
                            caller,
                            &reset,
                            pacer::Class::Control,
                            now,
                        );
                    }
                    let name = refusal.name();
                    if let Some(suppressed) =
                        telemetry.record_decision(name, telemetry::Severity::Notable, now)
                    {
                        info!(
                            decision = name,
                            flow:% = flow,
                            told = reset_sent,
                            config = peers.config_version(),
                            roster = peers.roster().revision(),
                            left_out = suppressed;
                            "flow decision"
                        );
                    }
                }
            }
        });
    }

    fn receive_messages(&mut self) {
        let Self {
            control_socket,
            transport,
            peers,
            telemetry,
            clock,
            ..
        } = self;
        let now = clock.now();
        control_socket.receive(|bytes, from| match transport.open(bytes) {
            Ok(transport::Content::Packet(..)) => debug!(from:% = from; "dropping stray packet"),
            Ok(transport::Content::Message(message)) => {
                peers.receive(from, message, now);
            }
            Err(error) => {
                telemetry.count_unreadable();
                debug!(from:% = from, error:% = error; "dropping unreadable datagram");
            }
        });
    }

    /// Sends the messages to other nodes, and what waited for the link.
    fn send_messages(&mut self) {
        let sockets = transport::Sockets {
            packets: &self.packet_socket,
            messages: &self.control_socket,
        };
        let now = self.clock.now();
        for (to, message) in self.peers.outgoing() {
            self.transport.send_message(sockets, to, &message, now);
        }
        self.transport.send_due(sockets, now);
    }
}
