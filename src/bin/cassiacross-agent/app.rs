//! Startup and shutdown of the agent daemon.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use anyhow::Context;
use cassiacross::{clock, daemon, ident, member, seal, settings, udp};
use gotham::router::Router;
use prometheus_client::registry::Registry;
use serde::Serialize;
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix,
};

use crate::{balancer_client, control, counters, datagrams, drain, http, shared};

/// The addresses that the daemon's sockets are bound to, printed as one line of JSON.
#[derive(Serialize)]
struct BoundAddrs<'a> {
    name: &'a str,
    packets: SocketAddr,
    http: SocketAddr,
    local: SocketAddr,
}

/// Runs the daemon, or validates its settings.
pub(crate) fn run(command: daemon::Command) -> anyhow::Result<()> {
    daemon::run(command, settings::parse_agent, serve)
}

fn serve(settings: settings::Agent) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .context("cannot start the async runtime")?;
    let result = runtime.block_on(serve_async(settings));
    runtime.shutdown_background();
    result
}

async fn serve_async(settings: settings::Agent) -> anyhow::Result<()> {
    let name = settings.common.name.clone();
    let socket = udp::bind(settings.packets).context("cannot bind the packet socket")?;
    let socket = UdpSocket::from_std(socket)?;
    socket.writable().await?;
    let http = TcpListener::bind(settings.common.http)
        .await
        .context("cannot bind the HTTP listener")?;
    let local = TcpListener::bind(settings.local)
        .await
        .context("cannot bind the local listener")?;
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let bound = BoundAddrs {
        name: &name,
        packets: socket.local_addr()?,
        http: http.local_addr()?,
        local: local.local_addr()?,
    };
    let member = own_member(&settings, &bound)?;
    let shared = new_shared(settings, socket, member);
    tokio::spawn(datagrams::run(shared.clone()));
    tokio::spawn(control::run_heartbeats(shared.clone()));
    tokio::spawn(control::run_view_sync(
        shared.clone(),
        balancer_client::new()?,
    ));
    tokio::spawn(serve_http(http, http::router(shared.clone())));
    tokio::spawn(serve_http(local, http::local_router(shared.clone())));
    println!("{}", serde_json::to_string(&bound)?);
    log::info!(name = name; "agent started");
    terminate.recv().await;
    drain::run(&shared, &mut terminate).await;
    log::info!(name = name; "agent stopped");
    Ok(())
}

/// Creates the agent's own membership entry, before an upstream has announced itself.
fn own_member(
    settings: &settings::Agent,
    bound: &BoundAddrs<'_>,
) -> anyhow::Result<member::Member> {
    let common = &settings.common;
    Ok(member::Member {
        node: ident::NodeId::of(&common.name),
        incarnation: ident::Incarnation::start(),
        change: 0,
        name: common.name.clone(),
        service: String::new(),
        domain: common.domain.clone(),
        packets: udp::advertised_addr(bound.packets, settings.advertise_packets)?,
        http: udp::advertised_addr(bound.http, common.advertise_http)?,
        state: member::State::Starting,
        step: 0,
        watchers: Vec::new(),
    })
}

fn new_shared(
    settings: settings::Agent,
    socket: UdpSocket,
    member: member::Member,
) -> shared::Shared {
    let sealer = seal::Sealer::new(&settings.common.fleet_key);
    let counters = counters::Counters::default();
    let mut registry = Registry::with_prefix("cassiacross_agent");
    counters.register(&mut registry);
    shared::Shared(Arc::new(shared::Inner {
        settings,
        clock: clock::Clock::new(),
        flow_seed: sealer.flow_seed(),
        sealer,
        socket,
        flows: Mutex::default(),
        views: Mutex::default(),
        member: Mutex::new(member),
        upstream: Mutex::default(),
        pull_source: Mutex::default(),
        counters,
        registry: Mutex::new(registry),
    }))
}

async fn serve_http(listener: TcpListener, router: Router) {
    gotham::bind_server(listener, router, |stream| std::future::ready(Ok(stream))).await;
}
