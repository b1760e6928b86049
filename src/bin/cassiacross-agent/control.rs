//! Control-plane tasks of the agent: sends heartbeats to the balancers that watch it, probes a
//! silent upstream, pulls views from balancers, and sends ownership statements for displaced flows.

use std::net::SocketAddrV4;

use cassiacross::{displaced, exchange, ident, member, membership, mutex, packet, seal};
use rand::seq::IndexedRandom;
use tokio::{net::TcpStream, time};

use crate::{balancer_client, datagrams, shared::Shared};

/// Heartbeat periods without an announcement after which the agent probes its upstream.
const ANNOUNCEMENT_TIMEOUT_PERIODS: u64 = 5;

/// Sends heartbeats and expires half-open flows until the process ends.
///
/// Nothing here waits for another process, so a slow balancer or upstream delays no heartbeat.
pub(crate) async fn run_heartbeats(shared: Shared) {
    let mut ticker = new_ticker(&shared);
    let mut seq = 0;
    loop {
        ticker.tick().await;
        seq += 1;
        update_capacity(&shared);
        update_watchers(&shared);
        send_heartbeats(&shared, seq);
        expire_flows(&shared);
    }
}

/// Probes a silent upstream, refreshes the agent's views and sends ownership statements for
/// displaced flows until the process ends.
pub(crate) async fn run_view_sync(shared: Shared, client: reqwest::Client) {
    let mut ticker = new_ticker(&shared);
    let mut last_statements = shared.now();
    loop {
        ticker.tick().await;
        probe_upstream(&shared).await;
        let due = shared.now().since(last_statements) >= displaced::STATEMENT_INTERVAL;
        if refresh_view(&shared, &client).await || due {
            pull_successors(&shared, &client).await;
            send_statements(&shared);
            last_statements = shared.now();
        }
    }
}

/// Creates a ticker with the heartbeat period.
fn new_ticker(shared: &Shared) -> time::Interval {
    let mut ticker = time::interval(shared.settings.common.period.to_duration());
    ticker.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    ticker
}

/// Processes a balancer's acknowledgment of a heartbeat.
///
/// If the balancer's digest differs from that of the local view, the next view refresh pulls from
/// this balancer, provided that the local view lists it.
pub(crate) fn handle_ack(shared: &Shared, ack: &exchange::Ack) {
    if let Some(tombstone) = &ack.refused {
        supersede(&mut mutex::lock(&shared.member), tombstone);
    }
    let views = mutex::lock(&shared.views);
    if views.digest() == ack.digest {
        return;
    }
    let known = views
        .balancers()
        .iter()
        .find(|other| other.node == ack.balancer);
    *mutex::lock(&shared.pull_source) = known.map(|balancer| balancer.http);
}

/// Makes the agent's entry newer than a tombstone for which a balancer refused it.
fn supersede(member: &mut member::Member, tombstone: &membership::Tombstone) {
    if tombstone.incarnation > member.incarnation {
        member.incarnation = ident::Incarnation(tombstone.incarnation.0 + 1);
    }
    if tombstone.incarnation == member.incarnation {
        member.change = member.change.max(tombstone.change + 1);
    }
}

/// Pulls the view of the agent's service from a balancer whose view differs; returns whether a
/// view was applied.
async fn refresh_view(shared: &Shared, client: &reqwest::Client) -> bool {
    let (node, service) = {
        let member = mutex::lock(&shared.member);
        (member.node, member.service.clone())
    };
    if service.is_empty() {
        return false;
    }
    let Some(balancer) = pull_source(shared) else {
        return false;
    };
    let request = exchange::ViewRequest::Agent { service, node };
    match balancer_client::pull_view(shared, client, balancer, &request).await {
        Ok(view) => {
            apply_view(shared, view);
            true
        }
        Err(error) => {
            log::warn!(balancer:% = balancer, error:% = error; "cannot pull the view from the balancer; keeping the current view");
            false
        }
    }
}

/// Returns the HTTP address of the balancer to pull from: one whose view differs, or a random
/// seed while no balancer is known.
fn pull_source(shared: &Shared) -> Option<SocketAddrV4> {
    let differing = mutex::lock(&shared.pull_source).take();
    let isolated = mutex::lock(&shared.views).balancers().is_empty();
    if !isolated {
        return differing;
    }
    differing.or_else(|| {
        shared
            .settings
            .common
            .seeds
            .choose(&mut rand::rng())
            .copied()
    })
}

/// Applies a pulled view: rebuilds the candidate table, drops redirects to agents that are gone,
/// and updates the relay.
fn apply_view(shared: &Shared, view: exchange::View) {
    let member = mutex::lock(&shared.member).clone();
    let hops = {
        let mut views = mutex::lock(&shared.views);
        if views.apply_view(view) {
            log::info!(version = views.version(); "new version of the service record is active");
        }
        views.rebuild(&member);
        views.hops()
    };
    let service = ident::ServiceId::of(&member.service);
    mutex::lock(&shared.flows)
        .table
        .update_agents(service, &hops);
    let announcement = mutex::lock(&shared.upstream).announcement.clone();
    if let Some(announcement) = announcement {
        shared.configure_relay(&announcement);
    }
}

/// Probes an upstream whose announcements have stopped.
///
/// One that accepts a TCP connection keeps its announced state; one that refuses is set to
/// starting, unless it is draining.
async fn probe_upstream(shared: &Shared) {
    let (announcement, announced_at) = {
        let upstream = mutex::lock(&shared.upstream);
        (upstream.announcement.clone(), upstream.announced_at)
    };
    let Some(announcement) = announcement else {
        return;
    };
    let timeout = shared.settings.common.period.0 * ANNOUNCEMENT_TIMEOUT_PERIODS;
    if shared.now().since(announced_at).0 < timeout {
        return;
    }
    let state = match TcpStream::connect(announcement.address).await {
        Ok(_) => announcement.state,
        Err(_) if announcement.state == member::State::Draining => member::State::Draining,
        Err(_) => member::State::Starting,
    };
    // An announcement that arrived during the probe is newer than the probe's result.
    if mutex::lock(&shared.upstream).announced_at == announced_at {
        shared.set_state(state);
    }
}

/// Copies the relay's measured capacity into the agent's entry.
fn update_capacity(shared: &Shared) {
    let Some(relay) = shared.relay() else { return };
    let step = relay.capacity_step();
    let mut member = mutex::lock(&shared.member);
    if member.step != step {
        log::info!(step = step; "measured capacity changed");
        member.step = step;
        member.change += 1;
    }
}

/// Selects the balancers that watch this agent; keeps the current ones while no balancer is known.
fn update_watchers(shared: &Shared) {
    let views = mutex::lock(&shared.views);
    let mut member = mutex::lock(&shared.member);
    let selected = membership::select_watchers(member.node, views.balancers());
    if !selected.is_empty() && member.watchers != selected {
        member.watchers = selected;
        member.change += 1;
    }
}

/// Sends one heartbeat to each watcher.
fn send_heartbeats(shared: &Shared, seq: u64) {
    let member = mutex::lock(&shared.member).clone();
    if member.service.is_empty() {
        return;
    }
    let (watchers, version, digest) = {
        let views = mutex::lock(&shared.views);
        let watching = views
            .balancers()
            .iter()
            .filter(|other| member.watchers.contains(&other.node));
        let watchers: Vec<_> = watching.map(|balancer| balancer.control).collect();
        (watchers, views.version(), views.digest())
    };
    let heartbeat = exchange::Heartbeat {
        member,
        seq,
        version,
        digest,
    };
    for addr in watchers {
        datagrams::send(shared, seal::Kind::Heartbeat, &heartbeat, addr);
    }
}

/// Pulls the views of the services that now have the former addresses of this agent's flows.
async fn pull_successors(shared: &Shared, client: &reqwest::Client) {
    let Some(balancer) = any_balancer(shared) else {
        return;
    };
    for address in former_addresses(shared) {
        let request = exchange::ViewRequest::Address(address);
        if let Ok(view) = balancer_client::pull_view(shared, client, balancer, &request).await {
            mutex::lock(&shared.views).set_successor(address, &view);
        }
    }
}

/// Returns the HTTP address of a random known balancer.
fn any_balancer(shared: &Shared) -> Option<SocketAddrV4> {
    let views = mutex::lock(&shared.views);
    views
        .balancers()
        .choose(&mut rand::rng())
        .map(|balancer| balancer.http)
}

/// Returns the service addresses that open flows still use but the service no longer has.
fn former_addresses(shared: &Shared) -> Vec<SocketAddrV4> {
    let current = mutex::lock(&shared.views).address();
    let flows = mutex::lock(&shared.flows);
    let used = flows.table.owned().iter().map(|entry| entry.flow.service);
    let mut addresses: Vec<_> = used.filter(|address| Some(*address) != current).collect();
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}

/// Sends ownership statements for this agent's displaced flows to the candidates of their buckets.
///
/// A flow is displaced once its owner is no longer among the candidates of the flow's hash bucket,
/// so that its packets reach other agents.
fn send_statements(shared: &Shared) {
    let owner = shared.hop();
    let statements = {
        let views = mutex::lock(&shared.views);
        let flows = mutex::lock(&shared.flows);
        let table = |flow: &packet::Flow| views.table(flow.service);
        displaced::statements(&owner, flows.table.owned(), shared.flow_seed, table)
    };
    for statement in statements {
        datagrams::send_statement(shared, statement.to.addr, statement.flows);
    }
}

/// Removes half-open flows that their callers did not confirm in time, without sending a reset.
fn expire_flows(shared: &Shared) {
    let mut flows = mutex::lock(&shared.flows);
    for flow in flows.table.tick(shared.now()) {
        shared.counters.expired_flows.inc();
        if let Ok(index) = flows.open.binary_search_by(|open| open.flow.cmp(&flow)) {
            flows.open[index].handle.discard();
        }
    }
}
