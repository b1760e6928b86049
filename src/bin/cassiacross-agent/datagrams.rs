//! Datagrams of callers' packets and of displaced flows.

use std::{
    net::SocketAddrV4,
    sync::{Arc, Mutex},
};

use cassiacross::{
    clock, displaced, endpoint, exchange, flow, gue, header, packet, relay, reset, seal, stream,
};
use xxhash_rust::xxh3;

use crate::{
    control,
    shared::{self, Shared, lock},
};

const MAX_DATAGRAM: usize = 2_048;

/// Takes datagrams until the process ends.
pub(crate) async fn run(shared: Shared) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        match shared.socket.recv_from(&mut buffer).await {
            Ok((len, _from)) => take(&shared, &buffer[..len]),
            Err(error) => log::warn!(error:% = error; "datagram cannot be received"),
        }
    }
}

fn take(shared: &Shared, datagram: &[u8]) {
    let taken = match shared.sealer.open(datagram) {
        Ok((seal::Kind::Packet, body)) => caller_packet(shared, body),
        Ok((seal::Kind::Ack, body)) => ack(shared, body),
        Ok((seal::Kind::Displaced, body)) => displaced_flows(shared, body),
        Ok(_) | Err(_) => None,
    };
    if taken.is_none() {
        shared.counters.dropped_datagrams.inc();
    }
}

fn ack(shared: &Shared, body: &[u8]) -> Option<()> {
    let ack: exchange::Ack = rmp_serde::from_slice(body).ok()?;
    control::handle_ack(shared, &ack);
    Some(())
}

fn displaced_flows(shared: &Shared, body: &[u8]) -> Option<()> {
    match rmp_serde::from_slice(body).ok()? {
        displaced::Message::Own {
            owner,
            service,
            flows,
        } => {
            let now = shared.now();
            let mut known = lock(&shared.flows);
            for flow in flows.into_iter().take(displaced::MAX_FLOWS) {
                known.table.register_owner(flow, owner, service, now);
            }
        }
        displaced::Message::Ask { from, flow } => {
            if lock(&shared.flows).table.owns(&flow) {
                send_statement(shared, from.addr, vec![flow]);
            }
        }
    }
    Some(())
}

/// States flows of this agent to another one.
pub(crate) fn send_statement(shared: &Shared, to: SocketAddrV4, flows: Vec<packet::Flow>) {
    let identity = shared.identity();
    let message = displaced::Message::Own {
        owner: identity.hop,
        service: identity.service,
        flows,
    };
    shared.counters.statements.inc();
    send(shared, seal::Kind::Displaced, &message, to);
}

/// Seals and sends a message.
pub(crate) fn send<M: serde::Serialize>(
    shared: &Shared,
    kind: seal::Kind,
    message: &M,
    to: SocketAddrV4,
) {
    let body = exchange::encode(message);
    let mut datagram = Vec::with_capacity(body.len() + seal::OVERHEAD);
    shared.sealer.seal(kind, &[&body], &mut datagram);
    transmit(shared, &datagram, to);
}

/// A full socket buffer loses the datagram, as a network would.
fn transmit(shared: &Shared, datagram: &[u8], to: SocketAddrV4) {
    let _lost = shared.socket.try_send_to(datagram, to.into());
}

fn caller_packet(shared: &Shared, body: &[u8]) -> Option<()> {
    let (header, bytes) = header::decode(body).ok()?;
    let view = packet::parse(bytes).ok()?;
    let local = if view.opening {
        shared.local_state()
    } else {
        shared.identity()
    };
    let now = shared.now();
    let action = lock(&shared.flows)
        .table
        .decide(&local, &header, &view, now);
    shared.counters.count_packet(&action);
    match action {
        flow::Action::Deliver => deliver(shared, &header, &view, bytes),
        flow::Action::Accept => accept(shared, &header, &view, bytes, now),
        flow::Action::Pass(next) => pass(shared, header, next, bytes),
        flow::Action::Forward { owner, service } => {
            let header = header::Header {
                service,
                target: owner,
                chain: Vec::new(),
                forwarded: true,
                ..header
            };
            forward(shared, &header, bytes);
        }
        flow::Action::Ask => ask(shared, view.flow),
        flow::Action::Refuse | flow::Action::Reset => {
            if let Some(answer) = reset::build_rst(bytes) {
                answer_to(shared, header.fabric, &answer);
            }
        }
        flow::Action::Drop(_) => {}
    }
    Some(())
}

fn deliver(shared: &Shared, header: &header::Header, view: &packet::View, bytes: &[u8]) {
    let Some(open) = find(shared, &view.flow) else {
        return;
    };
    *lock(&open.fabric) = header.fabric;
    if open.handle.deliver(bytes) == endpoint::Delivery::Processed {
        note_answer(shared, &open);
    }
}

fn accept(
    shared: &Shared,
    header: &header::Header,
    view: &packet::View,
    bytes: &[u8],
    now: clock::Millis,
) {
    let Some(relay) = shared.relay() else { return };
    let fabric = Arc::new(Mutex::new(header.fabric));
    let seed = isn_seed(shared, &view.flow);
    let endpoint = endpoint::Endpoint::accept(view.flow, endpoint::Options::default(), seed, now);
    let (handle, stream) = stream::new(endpoint, shared.clock, answers(shared, &fabric));
    let open = shared::OpenFlow {
        flow: view.flow,
        handle,
        fabric,
    };
    insert(shared, open.clone(), now);
    shared.counters.accepted_flows.inc();
    let _delivery = open.handle.deliver(bytes);
    note_answer(shared, &open);
    tokio::spawn(serve(shared.clone(), open, stream, relay));
}

async fn serve(
    shared: Shared,
    open: shared::OpenFlow,
    mut stream: stream::Stream,
    relay: Arc<relay::Upstream>,
) {
    let driver = open.handle.clone();
    let driver = tokio::spawn(async move { driver.run().await });
    if stream.established().await.is_ok()
        && let Err(error) = relay::serve(&mut stream, relay).await
    {
        log::debug!(error:% = error; "flow broke off");
        shared.counters.aborted_flows.inc();
        open.handle.abort();
    }
    drop(stream);
    let _ended = driver.await;
    remove(&shared, &open);
}

/// The initial sequence number's seed: a hash of flow and agent under the fleet's key.
fn isn_seed(shared: &Shared, flow: &packet::Flow) -> u64 {
    let hop = shared.hop();
    let mut key = [0; 24];
    key[..8].copy_from_slice(&flow.hash(shared.flow_seed).to_le_bytes());
    key[8..16].copy_from_slice(&hop.node.0.to_le_bytes());
    key[16..].copy_from_slice(&hop.incarnation.0.to_le_bytes());
    xxh3::xxh3_64_with_seed(&key, shared.flow_seed)
}

fn answers(
    shared: &Shared,
    fabric: &Arc<Mutex<SocketAddrV4>>,
) -> impl Fn(&[u8]) + Send + Sync + 'static {
    let (shared, fabric) = (shared.clone(), Arc::clone(fabric));
    move |packet| {
        let fabric = *lock(&fabric);
        answer_to(&shared, fabric, packet);
    }
}

fn answer_to(shared: &Shared, fabric: SocketAddrV4, packet: &[u8]) {
    let mut datagram = Vec::with_capacity(gue::HEADER_LEN + packet.len());
    gue::encode(packet, &mut datagram);
    transmit(shared, &datagram, fabric);
}

fn pass(shared: &Shared, mut header: header::Header, next: header::Hop, bytes: &[u8]) {
    header.target = next;
    header.chain.remove(0);
    forward(shared, &header, bytes);
}

fn forward(shared: &Shared, header: &header::Header, bytes: &[u8]) {
    let mut head = Vec::new();
    header::encode(header, &mut head);
    let mut datagram = Vec::with_capacity(seal::OVERHEAD + head.len() + bytes.len());
    shared
        .sealer
        .seal(seal::Kind::Packet, &[&head, bytes], &mut datagram);
    transmit(shared, &datagram, header.target.addr);
}

fn ask(shared: &Shared, flow: packet::Flow) {
    let me = shared.hop();
    let hops = lock(&shared.views).hops();
    let message = displaced::Message::Ask { from: me, flow };
    let others = hops.iter().filter(|hop| hop.node != me.node);
    for hop in others.take(displaced::MAX_QUERIED_AGENTS) {
        shared.counters.owner_queries.inc();
        send(shared, seal::Kind::Displaced, &message, hop.addr);
    }
}

fn note_answer(shared: &Shared, open: &shared::OpenFlow) {
    let isn = open.handle.inspect(endpoint::Endpoint::local_isn);
    if let Some(isn) = isn {
        lock(&shared.flows).table.record_isn(&open.flow, isn);
    }
}

fn find(shared: &Shared, flow: &packet::Flow) -> Option<shared::OpenFlow> {
    let flows = lock(&shared.flows);
    let index = flows
        .open
        .binary_search_by(|open| open.flow.cmp(flow))
        .ok()?;
    Some(flows.open[index].clone())
}

fn insert(shared: &Shared, open: shared::OpenFlow, now: clock::Millis) {
    let mut flows = lock(&shared.flows);
    flows.table.accept(open.flow, now);
    match flows
        .open
        .binary_search_by(|other| other.flow.cmp(&open.flow))
    {
        Ok(index) => flows.open[index] = open,
        Err(index) => flows.open.insert(index, open),
    }
}

/// Removes an ended flow, unless its ends have been taken by a later one.
fn remove(shared: &Shared, ended: &shared::OpenFlow) {
    let mut flows = lock(&shared.flows);
    let index = flows
        .open
        .binary_search_by(|open| open.flow.cmp(&ended.flow));
    if let Ok(index) = index
        && Arc::ptr_eq(&flows.open[index].fabric, &ended.fabric)
    {
        flows.open.remove(index);
        flows.table.remove_owned(&ended.flow);
    }
}
