//! The loop of a balancer of pass-through services.

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
    clock, peer_sync, platform_sync, roster, routing, segment, socket, telemetry, transport,
};

/// Fifths of the grace time for which a process that is to stop goes on: long enough
/// for the fabric to turn away, short enough to end by itself on a slow host.
const LINGER_FIFTHS: u64 = 2;

/// Time between two rounds.
const TICK: Duration = Duration::from_millis(100);

/// What one balancer is.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Unique in the fleet.
    pub name: String,
    /// The host's failure domain.
    pub domain: String,
    /// Where callers' packets arrive; callers are reached at the same port.
    pub packets: SocketAddrV4,
    /// Where messages of other nodes arrive.
    pub control: SocketAddrV4,
    /// Addresses for messages of some balancers.
    pub seeds: Vec<SocketAddrV4>,
    /// What all nodes of the fleet seal with.
    pub secret: String,
    /// Time from the order to stop until the process is killed.
    pub grace: clock::Millis,
}

/// What the adapter of a platform tells the loop.
#[derive(Debug)]
pub enum Event {
    /// The configuration as the platform holds it.
    Config(routing::Config),
    /// Addresses for messages of the balancers that the platform knows.
    Peers(Vec<SocketAddrV4>),
    /// Whether the platform answers.
    Platform(bool),
    /// Somebody asks for the process's state as JSON.
    Dump(oneshot::Sender<String>),
    /// The process is to stop.
    Stop,
}

/// The state that a dump shows.
#[derive(Serialize)]
struct Dump<'a> {
    now: clock::Millis,
    ready: bool,
    hears_platform: bool,
    roster: &'a roster::Roster,
    config: Option<&'a routing::Config>,
    unsent: u64,
}

struct Loop {
    codec: segment::Codec,
    packets: socket::Socket,
    control: socket::Socket,
    port: u16,
    post: transport::Transport,
    seed: u64,
    node: peer_sync::PeerSync,
    tables: routing::Tables,
    tally: telemetry::Telemetry,
    clock: clock::Clock,
}

/// How long a process goes on after the order to stop.
#[must_use]
pub const fn linger(grace: clock::Millis) -> clock::Millis {
    clock::Millis(grace.0 * LINGER_FIFTHS / 5)
}

/// Forwards packets until the process is to stop; `ready` says whether the fabric
/// may send some.
pub async fn run(
    settings: Settings,
    codec: segment::Codec,
    mut events: mpsc::Receiver<Event>,
    ready: Arc<AtomicBool>,
    duty: sync::watch::Sender<platform_sync::Polling>,
    tally: telemetry::Telemetry,
) -> anyhow::Result<()> {
    let mut state = start(&settings, codec, tally)?;
    let mut ticker = time::interval(TICK);
    ticker.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut stop_at = None;
    info!(name = settings.name, packets:% = settings.packets; "balancer runs");
    loop {
        tokio::select! {
            result = state.packets.readable() => {
                result.context("packets")?;
                state.forward();
            }
            result = state.control.readable() => {
                result.context("control")?;
                state.listen();
            }
            event = events.recv() => match event {
                Some(Event::Stop) | None if stop_at.is_none() => {
                    let linger = linger(settings.grace);
                    info!(linger_ms = linger.0; "balancer stops");
                    stop_at = Some(state.clock.now() + linger);
                    state.node.update_self(|me| me.leaving = true);
                }
                Some(event) => state.event(event),
                None => {}
            },
            _ = ticker.tick() => {
                let now = state.clock.now();
                state.node.tick(now);
                platform_sync::set_polling(&duty, state.node.polling(now));
            }
        }
        state.flush();
        ready.store(stop_at.is_none() && state.is_ready(), Ordering::Relaxed);
        if stop_at.is_some_and(|at| state.clock.now() >= at) {
            info!("balancer has stopped");
            return Ok(());
        }
    }
}

fn start(
    settings: &Settings,
    codec: segment::Codec,
    tally: telemetry::Telemetry,
) -> anyhow::Result<Loop> {
    let packets = socket::Socket::bind(settings.packets).context("packets")?;
    let control = socket::Socket::bind(settings.control).context("control")?;
    let post = transport::Transport::new(&settings.secret);
    let clock = clock::Clock::new();
    let (name, domain) = (&settings.name, &settings.domain);
    let me = roster::Entry::starting(name, domain, settings.control, None);
    let seed = me.incarnation.0;
    Ok(Loop {
        codec,
        packets,
        control,
        port: settings.packets.port(),
        seed: post.hash_seed(),
        post,
        node: peer_sync::PeerSync::new(me, settings.seeds.clone(), seed, clock.now()),
        tables: routing::Tables::default(),
        tally,
        clock,
    })
}

impl Loop {
    fn is_ready(&self) -> bool {
        let roster = self.node.roster();
        let agents = roster
            .peers()
            .iter()
            .any(|row| row.entry.upstream.is_some());
        self.node.config().is_some() && agents && !roster.is_isolated(self.clock.now())
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Config(config) => {
                self.node.apply_config(config);
            }
            Event::Peers(addresses) => self.node.set_contacts(addresses),
            Event::Platform(answers) => self.hear(answers),
            Event::Dump(to) => {
                if to.send(self.dump()).is_err() {
                    debug!("nobody waits for the dump any more");
                }
            }
            Event::Stop => {}
        }
    }

    /// Notes whether the platform answers.
    fn hear(&mut self, answers: bool) {
        if self.node.roster().me().deaf == answers {
            info!(answers = answers; "platform");
            self.node.update_self(|me| me.deaf = !answers);
        }
    }

    fn dump(&self) -> String {
        let dump = Dump {
            now: self.clock.now(),
            ready: self.is_ready(),
            hears_platform: self.node.roster().is_platform_reachable(),
            roster: self.node.roster(),
            config: self.node.config(),
            unsent: self.post.unsent(),
        };
        serde_json::to_string_pretty(&dump).unwrap_or_else(|error| error.to_string())
    }

    fn forward(&mut self) {
        let Self {
            codec,
            packets,
            port,
            post,
            seed,
            node,
            tables,
            tally,
            clock,
            ..
        } = self;
        let now = clock.now();
        let hears = node.roster().is_platform_reachable();
        tables.refresh(node.roster());
        packets.receive(|bytes, _from| {
            let segment = match (codec.parse)(bytes) {
                Ok(segment) => segment,
                Err(error) => {
                    tally.count_unreadable();
                    debug!(error:% = error; "packet cannot be read");
                    return;
                }
            };
            match routing::build_header(node.config(), tables, node.roster(), *seed, &segment) {
                Ok(header) => post.send_packet(packets, &header, bytes),
                Err(refusal) => {
                    let flow = segment.inbound();
                    let told = refusal == routing::Refusal::NoRoute && hears && !segment.reset;
                    if told {
                        let reset = (codec.reset)(&flow, segment.ack);
                        post.send_raw(packets, SocketAddrV4::new(*flow.caller.ip(), *port), &reset);
                    }
                    let name = refusal.name();
                    if let Some(left_out) =
                        tally.record_decision(name, telemetry::Severity::Notable, now)
                    {
                        info!(
                            decision = name,
                            flow:% = flow,
                            told = told,
                            config = node.config_version(),
                            roster = node.roster().revision(),
                            left_out = left_out;
                            "flow"
                        );
                    }
                }
            }
        });
    }

    fn listen(&mut self) {
        let Self {
            control,
            post,
            node,
            tally,
            clock,
            ..
        } = self;
        let now = clock.now();
        control.receive(|bytes, from| match post.open(bytes) {
            Ok(transport::Content::Packet(..)) => debug!(from:% = from; "not for balancers"),
            Ok(transport::Content::Message(message)) => {
                node.receive(from, message, now);
            }
            Err(error) => {
                tally.count_unreadable();
                debug!(from:% = from, error:% = error; "datagram dropped");
            }
        });
    }

    fn flush(&mut self) {
        let Self {
            control,
            post,
            node,
            ..
        } = self;
        for (to, message) in node.outgoing() {
            post.send_message(control, to, &message);
        }
    }
}
