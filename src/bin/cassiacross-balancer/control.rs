//! The control task: receives heartbeats and gossip on the control socket and runs the periodic
//! gossip rounds.

use std::{net::SocketAddr, time::Duration};

use cassiacross::{balancer, exchange, seal};
use tokio::{net::UdpSocket, time};

use crate::{peers, shared};

/// Size of the receive buffer: one byte more than the longest valid datagram, so that a longer one
/// is detected instead of truncated.
const BUFFER_LEN: usize = exchange::MAX_DATAGRAM + 1;

/// Receives datagrams and runs gossip rounds until the process ends.
pub(crate) async fn run(
    socket: UdpSocket,
    shared: shared::Shared,
    peers: peers::Peers,
    round_interval: Duration,
) {
    let mut ticker = time::interval(round_interval);
    ticker.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; BUFFER_LEN];
    loop {
        tokio::select! {
            _ = ticker.tick() => {
                let actions = tick(&shared);
                execute(&socket, &shared, &peers, actions).await;
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((len, from)) => handle_datagram(&socket, &shared, &peers, &buffer[..len], from).await,
                Err(error) => log::debug!(error:% = error; "cannot receive on the control socket"),
            },
        }
    }
}

/// Runs one gossip round and publishes the routes that result from it.
fn tick(shared: &shared::Shared) -> Vec<exchange::Action> {
    let mut balancer = shared.balancer();
    let actions = balancer.tick(shared.now());
    shared.publish_routes(balancer.routes());
    actions
}

/// Processes a received datagram: acknowledges a heartbeat, or executes the actions that gossip
/// calls for; an invalid datagram is counted and dropped.
async fn handle_datagram(
    socket: &UdpSocket,
    shared: &shared::Shared,
    peers: &peers::Peers,
    datagram: &[u8],
    from: SocketAddr,
) {
    let now = shared.now();
    let reply = shared
        .balancer()
        .handle_datagram(shared.sealer(), datagram, now);
    match reply {
        Ok(reply) => {
            shared.metrics().datagrams.inc();
            match reply {
                balancer::Reply::Ack(ack) => {
                    let body = exchange::encode(&ack);
                    send(socket, shared, seal::Kind::Ack, &body, from).await;
                }
                balancer::Reply::Actions(actions) => {
                    execute(socket, shared, peers, actions).await;
                }
            }
        }
        Err(error) => shared.metrics().count_rejected(&error),
    }
}

/// Sends the datagrams among the actions; each other action runs in its own task.
async fn execute(
    socket: &UdpSocket,
    shared: &shared::Shared,
    peers: &peers::Peers,
    actions: Vec<exchange::Action>,
) {
    for action in actions {
        match action {
            exchange::Action::Send { to, body } => {
                send(socket, shared, seal::Kind::Exchange, &body, to.into()).await;
            }
            call => peers.spawn_action(shared, call),
        }
    }
}

/// Seals a message and sends it from the control socket.
async fn send(
    socket: &UdpSocket,
    shared: &shared::Shared,
    kind: seal::Kind,
    body: &[u8],
    to: SocketAddr,
) {
    let mut datagram = Vec::with_capacity(seal::OVERHEAD + body.len());
    shared.sealer().seal(kind, &[body], &mut datagram);
    match socket.send_to(&datagram, to).await {
        Ok(len) => {
            let len = u64::try_from(len).unwrap_or(u64::MAX);
            shared.metrics().control_bytes.inc_by(len);
        }
        Err(error) => {
            shared.metrics().unsent_datagrams.inc();
            log::debug!(to:% = to, error:% = error; "cannot send on the control socket; datagram dropped");
        }
    }
}
