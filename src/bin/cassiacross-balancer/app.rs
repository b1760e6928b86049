//! Startup and shutdown of the balancer daemon.

use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use anyhow::Context;
use cassiacross::{
    admin, balancer, change, clock, daemon, gossip, ident, member, membership, platform, settings,
    udp,
};
use serde::Serialize;
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix,
    time,
};

use crate::{configuration, control, forwarder, http, peers, shared};

/// Shortest time for which the balancer keeps forwarding after `/ready` has changed to 503.
const MIN_DRAIN: Duration = Duration::from_secs(1);
/// Shortest time for which the balancer keeps forwarding after `/ready` has changed to 503, in
/// heartbeat periods; the longer of the two minimums applies.
const MIN_DRAIN_PERIODS: u32 = 3;
/// Heartbeat periods after the minimum at which the daemon exits even if packets still arrive.
const MAX_DRAIN_PERIODS: u32 = 30;

/// The addresses that the daemon's sockets are bound to, printed as one line of JSON.
#[derive(Serialize)]
struct BoundAddrs<'a> {
    name: &'a str,
    packets: SocketAddr,
    control: SocketAddr,
    http: SocketAddr,
}

/// Runs the daemon, or validates its settings.
pub(crate) fn run(command: daemon::Command) -> anyhow::Result<()> {
    daemon::run(command, settings::parse_balancer, |settings| {
        serve(&settings)
    })
}

fn serve(settings: &settings::Balancer) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("cannot start the async runtime")?;
    let result = runtime.block_on(serve_async(settings));
    runtime.shutdown_background();
    result
}

async fn serve_async(settings: &settings::Balancer) -> anyhow::Result<()> {
    let common = &settings.common;
    let packets = udp::bind(settings.packets).context("cannot bind the packet socket")?;
    packets.set_nonblocking(false)?;
    let control = UdpSocket::bind(settings.control)
        .await
        .context("cannot bind the control socket")?;
    let http = TcpListener::bind(common.http)
        .await
        .context("cannot bind the HTTP listener")?;
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let bound = BoundAddrs {
        name: &common.name,
        packets: packets.local_addr()?,
        control: control.local_addr()?,
        http: http.local_addr()?,
    };
    let shared = new_shared(settings, &bound)?;
    let seeds = other_seeds(settings, &bound);
    let peers = peers::Peers::new(shared.sealer().bearer_token())?;
    let period = common.period.to_duration();

    let stop = Arc::new(AtomicBool::new(false));
    let forwarder = spawn_forwarder(packets, &shared, &stop)?;
    let rounds_per_period = u32::try_from(gossip::ROUNDS_PER_PERIOD)?;
    tokio::spawn(control::run(
        control,
        shared.clone(),
        peers.clone(),
        period / rounds_per_period,
    ));
    let client = platform::Client::new(&settings.platform, change::CALL_TIMEOUT.to_duration())?;
    let admin = configuration::new_admin(&shared, settings, client.clone());
    tokio::spawn(serve_http(http, shared.clone(), admin));
    let own = shared.balancer().tables().own().clone();
    let (state, platform) = (shared.clone(), client.clone());
    tokio::spawn(async move { peers.join(&state, &seeds, &platform, period).await });
    let registration = tokio::spawn(configuration::register(client.clone(), own, period));
    tokio::spawn(configuration::follow_records(
        shared.clone(),
        client.clone(),
        period,
    ));
    println!("{}", serde_json::to_string(&bound)?);
    log::info!(name = common.name; "balancer started");

    terminate.recv().await;
    registration.abort();
    configuration::unregister(&client, &common.name).await;
    drain(&shared, period).await;
    stop.store(true, Ordering::Relaxed);
    forwarder
        .join()
        .map_err(|_panic| anyhow::anyhow!("the packet thread panicked"))?;
    log::info!(name = common.name; "balancer stopped");
    Ok(())
}

fn new_shared(
    settings: &settings::Balancer,
    bound: &BoundAddrs<'_>,
) -> anyhow::Result<shared::Shared> {
    let common = &settings.common;
    let own = member::Balancer {
        node: ident::NodeId::of(&common.name),
        incarnation: ident::Incarnation::start(),
        name: common.name.clone(),
        domain: common.domain.clone(),
        control: udp::advertised_addr(bound.control, settings.advertise_control)?,
        http: udp::advertised_addr(bound.http, common.advertise_http)?,
        leaving: false,
    };
    let clock = clock::Clock::new();
    let timing = membership::Timing::new(common.period);
    let balancer = balancer::Balancer::new(own, timing, rand::random(), clock.now());
    Ok(shared::Shared::new(balancer, clock, settings.clone()))
}

/// Returns the configured seeds without this balancer's own address.
fn other_seeds(settings: &settings::Balancer, bound: &BoundAddrs<'_>) -> Vec<SocketAddrV4> {
    let common = &settings.common;
    common
        .seeds
        .iter()
        .copied()
        .filter(|seed| SocketAddr::V4(*seed) != bound.http && Some(*seed) != common.advertise_http)
        .collect()
}

/// Starts the thread that forwards packets until `stop` is set.
fn spawn_forwarder(
    socket: std::net::UdpSocket,
    shared: &shared::Shared,
    stop: &Arc<AtomicBool>,
) -> anyhow::Result<thread::JoinHandle<()>> {
    let (shared, stop) = (shared.clone(), Arc::clone(stop));
    thread::Builder::new()
        .name("packets".to_owned())
        .spawn(move || forwarder::run(&socket, &shared, &stop))
        .context("cannot start the packet thread")
}

async fn serve_http(listener: TcpListener, shared: shared::Shared, admin: admin::Admin) {
    let router = http::router(shared, admin);
    gotham::bind_server(listener, router, |stream| std::future::ready(Ok(stream))).await;
}

/// Marks the balancer as leaving and waits for the minimum drain time, then until no packet has
/// been forwarded for one heartbeat period, at most [`MAX_DRAIN_PERIODS`]. The packet thread keeps
/// forwarding meanwhile.
async fn drain(shared: &shared::Shared, period: Duration) {
    log::info!("SIGTERM received; balancer is draining");
    shared.leave();
    time::sleep(MIN_DRAIN.max(period * MIN_DRAIN_PERIODS)).await;
    let forwarded = || shared.metrics().forwarded_packets.get();
    let mut last = forwarded();
    for _ in 0..MAX_DRAIN_PERIODS {
        time::sleep(period).await;
        let current = forwarded();
        if current == last {
            return;
        }
        last = current;
    }
}
