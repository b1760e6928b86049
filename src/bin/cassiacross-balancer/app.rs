//! Puts the daemon together and takes it down.

use std::{
    fs,
    net::{SocketAddr, SocketAddrV4},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use anyhow::Context;
use cassiacross::{
    admin, balancer, change, clock, gossip, ident, member, membership, platform, settings, udp,
};
use serde::Serialize;
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix,
    time,
};

use crate::{cli, configuration, control, forwarder, http, peers, shared};

/// Shortest time of forwarding after `/ready` has turned to 503.
const MIN_DRAIN: Duration = Duration::from_secs(1);
/// Periods of forwarding after `/ready` has turned to 503, at least.
const DRAIN_PERIODS: u32 = 3;
/// Periods after which the daemon exits even if packets still come.
const MAX_DRAIN_PERIODS: u32 = 30;

#[derive(Serialize)]
struct Bound<'a> {
    name: &'a str,
    packets: SocketAddr,
    control: SocketAddr,
    http: SocketAddr,
}

/// Runs a command.
pub(crate) fn run(command: cli::Command) -> anyhow::Result<()> {
    match command {
        cli::Command::CheckSettings(path) => {
            read(&path)?;
            println!("settings are whole");
            Ok(())
        }
        cli::Command::Run(path) => serve(&read(&path)?),
    }
}

fn read(path: &Path) -> anyhow::Result<settings::Balancer> {
    let text =
        fs::read_to_string(path).with_context(|| format!("{} cannot be read", path.display()))?;
    Ok(settings::parse_balancer(&text)?)
}

fn serve(settings: &settings::Balancer) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("runtime cannot be made")?;
    let result = runtime.block_on(serve_async(settings));
    runtime.shutdown_background();
    result
}

async fn serve_async(settings: &settings::Balancer) -> anyhow::Result<()> {
    let common = &settings.common;
    let packets = udp::bind(settings.packets).context("packets")?;
    packets.set_nonblocking(false)?;
    let control = UdpSocket::bind(settings.control).await.context("control")?;
    let http = TcpListener::bind(common.http).await.context("http")?;
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let bound = Bound {
        name: &common.name,
        packets: packets.local_addr()?,
        control: control.local_addr()?,
        http: http.local_addr()?,
    };
    let shared = shared(settings, &bound)?;
    let seeds = seeds(settings, &bound);
    let peers = peers::Peers::new(shared.sealer().bearer_token())?;
    let period = common.period.to_duration();

    let stop = Arc::new(AtomicBool::new(false));
    let forwarder = spawn_forwarder(packets, &shared, &stop)?;
    let rounds = u32::try_from(gossip::ROUNDS_PER_PERIOD)?;
    tokio::spawn(control::run(
        control,
        shared.clone(),
        peers.clone(),
        period / rounds,
    ));
    let client = platform::Client::new(&settings.platform, change::CALL_TIMEOUT.to_duration())?;
    let admin = configuration::admin(&shared, settings, client.clone());
    tokio::spawn(serve_http(http, shared.clone(), admin));
    let me = shared.balancer().tables().own().clone();
    let (joining, registry) = (shared.clone(), client.clone());
    tokio::spawn(async move { peers.join(&joining, &seeds, &registry, period).await });
    tokio::spawn(configuration::register(client.clone(), me, period));
    tokio::spawn(configuration::follow_records(
        shared.clone(),
        client.clone(),
        period,
    ));
    println!("{}", serde_json::to_string(&bound)?);
    log::info!(name = common.name; "balancer runs");

    terminate.recv().await;
    configuration::unregister(&client, &common.name).await;
    drain(&shared, period).await;
    stop.store(true, Ordering::Relaxed);
    forwarder
        .join()
        .map_err(|_panic| anyhow::anyhow!("the packet thread has panicked"))?;
    log::info!(name = common.name; "balancer stops");
    Ok(())
}

fn shared(settings: &settings::Balancer, bound: &Bound<'_>) -> anyhow::Result<shared::Shared> {
    let common = &settings.common;
    let me = member::Balancer {
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
    let balancer = balancer::Balancer::new(me, timing, rand::random(), clock.now());
    Ok(shared::Shared::new(balancer, clock, settings.clone()))
}

fn seeds(settings: &settings::Balancer, bound: &Bound<'_>) -> Vec<SocketAddrV4> {
    let common = &settings.common;
    common
        .seeds
        .iter()
        .copied()
        .filter(|seed| SocketAddr::V4(*seed) != bound.http && Some(*seed) != common.advertise_http)
        .collect()
}

fn spawn_forwarder(
    socket: std::net::UdpSocket,
    shared: &shared::Shared,
    stop: &Arc<AtomicBool>,
) -> anyhow::Result<thread::JoinHandle<()>> {
    let (shared, stop) = (shared.clone(), Arc::clone(stop));
    thread::Builder::new()
        .name("packets".to_owned())
        .spawn(move || forwarder::run(&socket, &shared, &stop))
        .context("the packet thread cannot be started")
}

async fn serve_http(listener: TcpListener, shared: shared::Shared, admin: admin::Admin) {
    let router = http::router(shared, admin);
    gotham::bind_server(listener, router, |stream| std::future::ready(Ok(stream))).await;
}

/// Goes on forwarding until the fabric has stopped sending.
async fn drain(shared: &shared::Shared, period: Duration) {
    log::info!("balancer is leaving");
    shared.leave();
    time::sleep(MIN_DRAIN.max(period * DRAIN_PERIODS)).await;
    let seen = || shared.metrics().forwarded_packets.get();
    let mut last = seen();
    for _ in 0..MAX_DRAIN_PERIODS {
        time::sleep(period).await;
        let now = seen();
        if now == last {
            return;
        }
        last = now;
    }
}
