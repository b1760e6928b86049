//! Event loop of a pass-through agent: forwards packets between callers and its upstream,
//! and tracks the upstream's health.

use std::{
    io,
    net::{SocketAddr, SocketAddrV4},
    time::Duration,
};

use anyhow::Context;
use log::{debug, info};
use tokio::{
    net::TcpStream,
    sync::{self, mpsc, oneshot},
    time,
};

use crate::{
    agent_core::{AgentCore, Output, Settings},
    balancer_loop,
    clock::{self, Millis},
    pacer, polling, segment, socket, status, telemetry, transport,
};

/// Timeout of a connection probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Priority of packets that an agent forwards to another one.
const FORWARDED: transport::Priority = transport::Priority {
    class: pacer::Class::Normal,
    key: None,
};

/// Interval between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Event from the platform adapter.
#[derive(Debug)]
pub enum Event {
    /// Status report of the upstream; acknowledged after it has been applied.
    Report(status::Report, oneshot::Sender<()>),
    /// Deregistration of the upstream with this identifier and, if given, this start
    /// time; acknowledged after it has been applied.
    Deregister(String, Option<Millis>, oneshot::Sender<()>),
    /// Message addresses of the balancers that are registered on the platform.
    Peers(Vec<SocketAddrV4>),
    /// Request for a JSON dump of the process's state.
    Dump(oneshot::Sender<String>),
    /// Request to shut down.
    Stop,
}

struct AgentLoop {
    core: AgentCore,
    upstream: SocketAddrV4,
    caller_port: u16,
    packet_socket: socket::Socket,
    upstream_socket: socket::Socket,
    transport: transport::Transport,
    probe_results: mpsc::Sender<bool>,
    clock: clock::Clock,
}

/// Runs an agent until it has shut down. After the request to shut down it ends as soon
/// as no request is outstanding, at the latest when the linger time is over.
pub async fn run(
    settings: Settings,
    codec: segment::Codec,
    mut events: mpsc::Receiver<Event>,
    polling: sync::watch::Sender<polling::Polling>,
    telemetry: telemetry::Telemetry,
) -> anyhow::Result<()> {
    let (probe_results, mut probe_outcomes) = mpsc::channel(4);
    let linger = balancer_loop::linger(settings.grace);
    let mut agent = start(settings, codec, probe_results, telemetry)?;
    let mut ticker = time::interval(TICK_INTERVAL);
    ticker.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut stop_at = None;
    let settings = agent.core.settings();
    info!(name = settings.name, service = settings.service; "agent started");
    loop {
        let due = agent.transport.due().map(|at| agent.clock.instant(at));
        tokio::select! {
            () = pacer::wait_until(due) => {}
            result = agent.packet_socket.readable() => {
                result.context("packet socket failed")?;
                agent.receive_inbound();
            }
            result = agent.upstream_socket.readable() => {
                result.context("upstream socket failed")?;
                agent.receive_outbound();
            }
            event = events.recv() => match event {
                Some(Event::Stop) | None if stop_at.is_none() => {
                    info!("agent is shutting down");
                    let now = agent.clock.now();
                    stop_at = Some(now + linger);
                    agent.core.stop(now);
                }
                Some(event) => agent.handle_event(event),
                None => {}
            },
            Some(listens) = probe_outcomes.recv() => {
                let now = agent.clock.now();
                agent.core.handle_probe_result(listens, now);
            }
            _ = ticker.tick() => {
                agent.core.tick(agent.clock.now());
                let traffic = agent.transport.traffic();
                agent.core.telemetry().publish_traffic(traffic);
                polling::set(&polling, agent.core.polling());
            }
        }
        agent.flush();
        let now = agent.clock.now();
        if let Some(at) = stop_at.filter(|at| now >= *at || agent.core.is_finished()) {
            agent.core.finish(at - linger, now);
            agent.flush();
            info!("agent stopped");
            return Ok(());
        }
    }
}

fn start(
    settings: Settings,
    codec: segment::Codec,
    probe_results: mpsc::Sender<bool>,
    telemetry: telemetry::Telemetry,
) -> anyhow::Result<AgentLoop> {
    let packet_socket =
        socket::Socket::bind(settings.packets).context("cannot bind packet socket")?;
    let upstream_socket =
        socket::Socket::bind(settings.outbound).context("cannot bind upstream socket")?;
    let transport = transport::Transport::new(&settings.secret, settings.link_mbps);
    let clock = clock::Clock::new();
    let me = settings.starting_entry();
    Ok(AgentLoop {
        upstream: settings.upstream,
        caller_port: settings.packets.port(),
        packet_socket,
        upstream_socket,
        core: AgentCore::new(
            settings,
            me,
            codec,
            transport.hash_seed(),
            telemetry,
            clock.now(),
        ),
        transport,
        probe_results,
        clock,
    })
}

impl AgentLoop {
    fn handle_event(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Report(report, done) => {
                self.core.handle_report(report, clock::wall(), now);
                if done.send(()).is_err() {
                    debug!("upstream closed the connection before its report was acknowledged");
                }
            }
            Event::Deregister(id, born, done) => {
                self.core.deregister(&id, born, now);
                if done.send(()).is_err() {
                    debug!(
                        "upstream closed the connection before its deregistration was acknowledged"
                    );
                }
            }
            Event::Peers(addresses) => self.core.set_platform_addresses(addresses),
            Event::Dump(to) => {
                let (delay, unsent) = (self.transport.link_delay(), self.transport.unsent());
                if to.send(self.core.dump(delay, unsent, now)).is_err() {
                    debug!("requester closed the connection before the state dump was ready");
                }
            }
            Event::Stop => {}
        }
    }

    /// Receives packets and messages from other nodes.
    fn receive_inbound(&mut self) {
        let mut received = Vec::new();
        self.packet_socket.receive(|bytes, from| {
            received.push((bytes.to_vec(), from));
        });
        for (bytes, from) in received {
            self.handle_datagram(&bytes, from);
        }
    }

    fn handle_datagram(&mut self, bytes: &[u8], from: SocketAddrV4) {
        let now = self.clock.now();
        match self.transport.open(bytes) {
            Ok(transport::Content::Packet(header, packet)) => {
                let packet = packet.to_vec();
                self.core.handle_inbound(header, packet, now);
            }
            Ok(transport::Content::Message(message)) => {
                self.core.handle_message(from, message, now);
            }
            Err(error) => {
                self.core.telemetry().count_unreadable();
                debug!(from:% = from, error:% = error; "dropping unreadable datagram");
            }
        }
    }

    /// Receives packets from the upstream.
    fn receive_outbound(&mut self) {
        let mut received = Vec::new();
        self.upstream_socket
            .receive(|bytes, _from| received.push(bytes.to_vec()));
        for bytes in received {
            self.core.handle_outbound(bytes, self.clock.now());
        }
    }

    /// Sends what the inputs have led to.
    fn flush(&mut self) {
        let now = self.clock.now();
        for output in self.core.take_outputs() {
            self.send(output, now);
        }
        let sockets = single_socket(&self.packet_socket);
        self.transport.send_due(sockets, now);
    }

    fn send(&mut self, output: Output, now: Millis) {
        let sockets = single_socket(&self.packet_socket);
        match output {
            Output::Deliver(packet) => {
                self.transport
                    .send_local(&self.upstream_socket, self.upstream, &packet);
            }
            Output::Forward(header, packet) => {
                self.transport
                    .send_packet(sockets, &header, &packet, FORWARDED, now);
            }
            Output::Message(to, message) => {
                self.transport.send_message(sockets, to, &message, now);
            }
            Output::Answer(caller, packet, class) => {
                let to = SocketAddrV4::new(caller, self.caller_port);
                self.transport
                    .send_to_caller(sockets, to, &packet, class, now);
            }
            Output::Probe => self.probe(),
        }
    }

    /// Opens a connection to the upstream in a separate task. Only a refused connection
    /// proves that the upstream no longer listens.
    fn probe(&self) {
        let upstream = SocketAddr::V4(self.upstream);
        let probe_results = self.probe_results.clone();
        tokio::spawn(async move {
            let listens = match time::timeout(PROBE_TIMEOUT, TcpStream::connect(upstream)).await {
                Ok(Ok(_stream)) => true,
                Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => false,
                Ok(Err(error)) => {
                    debug!(error:% = error; "upstream probe was inconclusive");
                    return;
                }
                Err(_elapsed) => {
                    debug!("upstream probe timed out");
                    return;
                }
            };
            if probe_results.send(listens).await.is_err() {
                debug!("agent stopped before its upstream probe finished");
            }
        });
    }
}

const fn single_socket(socket: &socket::Socket) -> transport::Sockets<'_> {
    transport::Sockets {
        packets: socket,
        messages: socket,
    }
}
