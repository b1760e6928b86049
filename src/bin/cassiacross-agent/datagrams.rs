//! The agent's UDP socket: callers' packets forwarded by balancers and other agents, heartbeat
//! acknowledgments, and messages about displaced flows.

use std::{
    net::SocketAddrV4,
    sync::{Arc, Mutex},
};

use cassiacross::{
    clock, displaced, endpoint, exchange, flow, gue, header, mutex, packet, relay, reset, seal,
    stream, upstream,
};
use xxhash_rust::xxh3;

use crate::{
    control,
    shared::{self, Shared},
};

/// Size of the receive buffer in bytes; longer datagrams are truncated and fail authentication.
const MAX_DATAGRAM: usize = 2_048;

/// Receives and processes datagrams until the process ends.
pub(crate) async fn run(shared: Shared) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        match shared.socket.recv_from(&mut buffer).await {
            Ok((len, _from)) => handle_datagram(&shared, &buffer[..len]),
            Err(error) => log::warn!(error:% = error; "cannot receive on the packet socket"),
        }
    }
}

/// Opens a sealed datagram and processes it; invalid datagrams are counted and dropped.
fn handle_datagram(shared: &Shared, datagram: &[u8]) {
    let handled = match shared.sealer.open(datagram) {
        Ok((seal::Kind::Packet, body)) => handle_packet(shared, body),
        Ok((seal::Kind::Ack, body)) => handle_ack(shared, body),
        Ok((seal::Kind::Displaced, body)) => handle_displaced(shared, body),
        Ok(_) | Err(_) => None,
    };
    if handled.is_none() {
        shared.counters.dropped_datagrams.inc();
    }
}

fn handle_ack(shared: &Shared, body: &[u8]) -> Option<()> {
    let ack: exchange::Ack = rmp_serde::from_slice(body).ok()?;
    control::handle_ack(shared, &ack);
    Some(())
}

fn handle_displaced(shared: &Shared, body: &[u8]) -> Option<()> {
    match rmp_serde::from_slice(body).ok()? {
        displaced::Message::Own {
            owner,
            service,
            flows,
        } => {
            let now = shared.now();
            let mut local = mutex::lock(&shared.flows);
            for flow in flows.into_iter().take(displaced::MAX_FLOWS) {
                local.table.register_owner(flow, owner, service, now);
            }
        }
        displaced::Message::Ask { from, flow } => {
            if mutex::lock(&shared.flows).table.owns(&flow) {
                send_statement(shared, from.addr, vec![flow]);
            }
        }
    }
    Some(())
}

/// Sends a statement that this agent owns the flows.
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

/// Seals a message and sends it in one datagram.
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

/// Sends a datagram; a full socket buffer drops it, as a congested network would.
fn transmit(shared: &Shared, datagram: &[u8], to: SocketAddrV4) {
    let _dropped = shared.socket.try_send_to(datagram, to.into());
}

/// Executes the flow table's decision on a caller's packet; returns `None` if the packet cannot be
/// parsed.
fn handle_packet(shared: &Shared, body: &[u8]) -> Option<()> {
    let (header, bytes) = header::decode(body).ok()?;
    let view = packet::parse(bytes).ok()?;
    let local = if view.opening {
        shared.local_state()
    } else {
        shared.identity()
    };
    let now = shared.now();
    let action = mutex::lock(&shared.flows)
        .table
        .decide(&local, &header, &view, now);
    shared.counters.count_packet(&action);
    match action {
        flow::Action::Deliver => deliver(shared, &header, &view, bytes),
        flow::Action::Accept => accept(shared, &header, &view, bytes, now),
        flow::Action::Pass(next) => pass_on(shared, header, next, bytes),
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
        flow::Action::Ask => query_owner(shared, view.flow),
        flow::Action::Refuse | flow::Action::Reset => {
            if let Some(rst) = reset::build_rst(bytes) {
                send_to_fabric(shared, header.fabric, &rst);
            }
        }
        flow::Action::Drop(_) => {}
    }
    Some(())
}

/// Delivers a packet to the endpoint of its flow; replies go to the fabric address that the
/// packet came from.
fn deliver(shared: &Shared, header: &header::Header, view: &packet::View, bytes: &[u8]) {
    let Some(open) = find_open(shared, &view.flow) else {
        return;
    };
    *mutex::lock(&open.fabric) = header.fabric;
    if open.handle.deliver(bytes) == endpoint::Delivery::Processed {
        record_isn(shared, &open);
    }
}

/// Opens an endpoint for a new flow and serves the flow in a task of its own.
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
    let (handle, stream) = stream::new(endpoint, shared.clock, reply_sender(shared, &fabric));
    let open = shared::OpenFlow {
        flow: view.flow,
        handle,
        fabric,
    };
    insert_open(shared, open.clone(), now);
    shared.counters.accepted_flows.inc();
    let _delivery = open.handle.deliver(bytes);
    record_isn(shared, &open);
    tokio::spawn(serve_flow(shared.clone(), open, stream, relay));
}

/// Relays an accepted flow to the upstream until it ends, then removes it.
///
/// A flow that fails is reset, so that the caller does not mistake a truncated response for a
/// complete one.
async fn serve_flow(
    shared: Shared,
    open: shared::OpenFlow,
    mut stream: stream::Stream,
    relay: Arc<upstream::Upstream>,
) {
    let driver = open.handle.clone();
    let driver = tokio::spawn(async move { driver.run().await });
    if stream.established().await.is_ok()
        && let Err(error) = relay::serve(&mut stream, relay).await
    {
        log::debug!(error:% = error; "cannot relay the flow; resetting it");
        shared.counters.aborted_flows.inc();
        open.handle.abort();
    }
    drop(stream);
    let _joined = driver.await;
    remove_open(&shared, &open);
}

/// Returns the seed of an endpoint's initial sequence number: a hash of the flow, the agent's node
/// and its incarnation, seeded from the fleet key.
fn isn_seed(shared: &Shared, flow: &packet::Flow) -> u64 {
    let hop = shared.hop();
    let mut key = [0; 24];
    key[..8].copy_from_slice(&flow.hash(shared.flow_seed).to_le_bytes());
    key[8..16].copy_from_slice(&hop.node.0.to_le_bytes());
    key[16..].copy_from_slice(&hop.incarnation.0.to_le_bytes());
    xxh3::xxh3_64_with_seed(&key, shared.flow_seed)
}

/// Returns the function that sends an endpoint's packets to the caller through the fabric.
fn reply_sender(
    shared: &Shared,
    fabric: &Arc<Mutex<SocketAddrV4>>,
) -> impl Fn(&[u8]) + Send + Sync + 'static {
    let (shared, fabric) = (shared.clone(), Arc::clone(fabric));
    move |packet| {
        let fabric = *mutex::lock(&fabric);
        send_to_fabric(&shared, fabric, packet);
    }
}

/// Encapsulates a packet to a caller and sends it to the fabric.
fn send_to_fabric(shared: &Shared, fabric: SocketAddrV4, packet: &[u8]) {
    let mut datagram = Vec::with_capacity(gue::HEADER_LEN + packet.len());
    gue::encode(packet, &mut datagram);
    transmit(shared, &datagram, fabric);
}

/// Forwards a packet to the next hop of its chain.
fn pass_on(shared: &Shared, mut header: header::Header, next: header::Hop, bytes: &[u8]) {
    header.target = next;
    header.chain.remove(0);
    forward(shared, &header, bytes);
}

/// Seals a packet and sends it to the header's target.
fn forward(shared: &Shared, header: &header::Header, bytes: &[u8]) {
    let mut encoded = Vec::new();
    header::encode(header, &mut encoded);
    let mut datagram = Vec::with_capacity(seal::OVERHEAD + encoded.len() + bytes.len());
    shared
        .sealer
        .seal(seal::Kind::Packet, &[&encoded, bytes], &mut datagram);
    transmit(shared, &datagram, header.target.addr);
}

/// Queries other agents of the service for the owner of a flow.
fn query_owner(shared: &Shared, flow: packet::Flow) {
    let from = shared.hop();
    let hops = mutex::lock(&shared.views).hops();
    let message = displaced::Message::Ask { from, flow };
    let others = hops.iter().filter(|hop| hop.node != from.node);
    for hop in others.take(displaced::MAX_QUERIED_AGENTS) {
        shared.counters.owner_queries.inc();
        send(shared, seal::Kind::Displaced, &message, hop.addr);
    }
}

/// Records the endpoint's initial sequence number in the flow table, once it is chosen.
fn record_isn(shared: &Shared, open: &shared::OpenFlow) {
    let isn = open.handle.inspect(endpoint::Endpoint::local_isn);
    if let Some(isn) = isn {
        mutex::lock(&shared.flows).table.record_isn(&open.flow, isn);
    }
}

fn find_open(shared: &Shared, flow: &packet::Flow) -> Option<shared::OpenFlow> {
    let flows = mutex::lock(&shared.flows);
    let index = flows
        .open
        .binary_search_by(|open| open.flow.cmp(flow))
        .ok()?;
    Some(flows.open[index].clone())
}

fn insert_open(shared: &Shared, open: shared::OpenFlow, now: clock::Millis) {
    let mut flows = mutex::lock(&shared.flows);
    flows.table.accept(open.flow, now);
    match flows
        .open
        .binary_search_by(|other| other.flow.cmp(&open.flow))
    {
        Ok(index) => flows.open[index] = open,
        Err(index) => flows.open.insert(index, open),
    }
}

/// Removes an ended flow, unless a later flow with the same addresses and ports has replaced it.
fn remove_open(shared: &Shared, ended: &shared::OpenFlow) {
    let mut flows = mutex::lock(&shared.flows);
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
