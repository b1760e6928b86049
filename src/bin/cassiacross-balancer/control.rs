//! The task that takes sealed datagrams and runs the rounds.

use std::{net::SocketAddr, time::Duration};

use cassiacross::{balancer, exchange, seal};
use tokio::{net::UdpSocket, time};

use crate::{peers, shared};

/// One byte more than any datagram, so that a longer one is noticed.
const BUFFER_LEN: usize = exchange::MAX_DATAGRAM + 1;

/// Takes datagrams and runs rounds for ever.
pub(crate) async fn run(
    socket: UdpSocket,
    shared: shared::Shared,
    peers: peers::Peers,
    round: Duration,
) {
    let mut rounds = time::interval(round);
    rounds.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; BUFFER_LEN];
    loop {
        tokio::select! {
            _ = rounds.tick() => {
                let actions = tick(&shared);
                carry_out(&socket, &shared, &peers, actions).await;
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((len, from)) => answer(&socket, &shared, &peers, &buffer[..len], from).await,
                Err(error) => log::debug!(error:% = error; "control socket failed"),
            },
        }
    }
}

fn tick(shared: &shared::Shared) -> Vec<exchange::Action> {
    let mut balancer = shared.balancer();
    let actions = balancer.tick(shared.now());
    shared.publish_routes(balancer.routes());
    actions
}

async fn answer(
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
                    carry_out(socket, shared, peers, actions).await;
                }
            }
        }
        Err(error) => shared.metrics().count_rejected(&error),
    }
}

async fn carry_out(
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
            pull => peers.spawn_action(shared, pull),
        }
    }
}

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
            log::debug!(to:% = to, error:% = error; "datagram was not sent");
        }
    }
}
