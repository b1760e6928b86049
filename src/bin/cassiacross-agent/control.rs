//! Heartbeats to the agent's watchers, and views pulled from them.

use std::net::SocketAddrV4;

use cassiacross::{displaced, exchange, ident, member, membership, packet, seal};
use rand::seq::IndexedRandom;
use tokio::{net::TcpStream, time};

use crate::{
    balancer_client, datagrams,
    shared::{Shared, lock},
};

/// Periods without an announcement after which the upstream is tried.
const SILENT_PERIODS: u64 = 5;

/// Sends heartbeats and lets flows lapse until the process ends.
///
/// Nothing here waits for another process, so that a slow one costs no heartbeat.
pub(crate) async fn run_heartbeats(shared: Shared) {
    let mut ticks = ticks(&shared);
    let mut seq = 0;
    loop {
        ticks.tick().await;
        seq += 1;
        measure(&shared);
        watchers(&shared);
        beat(&shared, seq);
        lapse(&shared);
    }
}

/// Keeps the agent's views and states displaced flows until the process ends.
pub(crate) async fn run_view_sync(shared: Shared, client: reqwest::Client) {
    let mut ticks = ticks(&shared);
    let mut stated = shared.now();
    loop {
        ticks.tick().await;
        watch_upstream(&shared).await;
        let due = shared.now().since(stated) >= displaced::STATEMENT_INTERVAL;
        if pull_if_due(&shared, &client).await || due {
            succeed(&shared, &client).await;
            state(&shared);
            stated = shared.now();
        }
    }
}

fn ticks(shared: &Shared) -> time::Interval {
    let mut ticks = time::interval(shared.settings.common.period.to_duration());
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    ticks
}

/// Notes a balancer's answer; a digest that differs asks for a pull.
pub(crate) fn handle_ack(shared: &Shared, ack: &exchange::Ack) {
    if let Some(known) = &ack.refused {
        exceed(&mut lock(&shared.member), known);
    }
    let views = lock(&shared.views);
    if views.digest() == ack.digest {
        return;
    }
    let known = views
        .balancers()
        .iter()
        .find(|other| other.node == ack.balancer);
    *lock(&shared.pull_source) = known.map(|balancer| balancer.http);
}

/// Makes an entry later than one that balancers know from before.
fn exceed(me: &mut member::Member, known: &membership::Tombstone) {
    if known.incarnation > me.incarnation {
        me.incarnation = ident::Incarnation(known.incarnation.0 + 1);
    }
    if known.incarnation == me.incarnation {
        me.change = me.change.max(known.change + 1);
    }
}

/// Pulls the agent's view where a watcher's differs; returns whether one was taken.
async fn pull_if_due(shared: &Shared, client: &reqwest::Client) -> bool {
    let (node, service) = {
        let me = lock(&shared.member);
        (me.node, me.service.clone())
    };
    if service.is_empty() {
        return false;
    }
    let Some(balancer) = source(shared) else {
        return false;
    };
    let request = exchange::ViewRequest::Agent { service, node };
    match balancer_client::pull_view(shared, client, balancer, &request).await {
        Ok(view) => {
            take(shared, view);
            true
        }
        Err(error) => {
            log::warn!(balancer:% = balancer, error:% = error; "view cannot be pulled");
            false
        }
    }
}

/// The balancer to pull from: one that differs, or any seed before the first view.
fn source(shared: &Shared) -> Option<SocketAddrV4> {
    let asked = lock(&shared.pull_source).take();
    let lost = lock(&shared.views).balancers().is_empty();
    if !lost {
        return asked;
    }
    asked.or_else(|| {
        shared
            .settings
            .common
            .seeds
            .choose(&mut rand::rng())
            .copied()
    })
}

fn take(shared: &Shared, view: exchange::View) {
    let me = lock(&shared.member).clone();
    let hops = {
        let mut views = lock(&shared.views);
        if views.apply_view(view) {
            log::info!(version = views.version(); "record is in force");
        }
        views.rebuild(&me);
        views.hops()
    };
    let service = ident::ServiceId::of(&me.service);
    lock(&shared.flows).table.retain_owners(service, &hops);
    let announcement = lock(&shared.upstream).announcement.clone();
    if let Some(announcement) = announcement {
        shared.configure_relay(&announcement);
    }
}

/// An upstream that neither announces itself nor takes connections is not ready.
async fn watch_upstream(shared: &Shared) {
    let (announcement, announced) = {
        let local = lock(&shared.upstream);
        (local.announcement.clone(), local.announced_at)
    };
    let Some(announcement) = announcement else {
        return;
    };
    let limit = shared.settings.common.period.0 * SILENT_PERIODS;
    if shared.now().since(announced).0 < limit {
        return;
    }
    let state = match TcpStream::connect(announcement.address).await {
        Ok(_) => announcement.state,
        Err(_) if announcement.state == member::State::Draining => member::State::Draining,
        Err(_) => member::State::Starting,
    };
    // An announcement that came meanwhile says more than the one that was looked at.
    if lock(&shared.upstream).announced_at == announced {
        shared.set_state(state);
    }
}

fn measure(shared: &Shared) {
    let Some(relay) = shared.relay() else { return };
    let step = relay.capacity_step();
    let mut me = lock(&shared.member);
    if me.step != step {
        log::info!(step = step; "measured capacity changes");
        me.step = step;
        me.change += 1;
    }
}

fn watchers(shared: &Shared) {
    let views = lock(&shared.views);
    let mut me = lock(&shared.member);
    let chosen = membership::select_watchers(me.node, views.balancers());
    if !chosen.is_empty() && me.watchers != chosen {
        me.watchers = chosen;
        me.change += 1;
    }
}

fn beat(shared: &Shared, seq: u64) {
    let member = lock(&shared.member).clone();
    if member.service.is_empty() {
        return;
    }
    let (to, version, digest) = {
        let views = lock(&shared.views);
        let chosen = views
            .balancers()
            .iter()
            .filter(|other| member.watchers.contains(&other.node));
        let to: Vec<_> = chosen.map(|balancer| balancer.control).collect();
        (to, views.version(), views.digest())
    };
    let heartbeat = exchange::Heartbeat {
        member,
        seq,
        version,
        digest,
    };
    for addr in to {
        datagrams::send(shared, seal::Kind::Heartbeat, &heartbeat, addr);
    }
}

/// Pulls who serves the former addresses of this agent's flows now.
async fn succeed(shared: &Shared, client: &reqwest::Client) {
    let Some(balancer) = any_balancer(shared) else {
        return;
    };
    for address in former_addresses(shared) {
        let request = exchange::ViewRequest::Address(address);
        if let Ok(view) = balancer_client::pull_view(shared, client, balancer, &request).await {
            lock(&shared.views).set_successor(address, &view);
        }
    }
}

fn any_balancer(shared: &Shared) -> Option<SocketAddrV4> {
    let views = lock(&shared.views);
    views
        .balancers()
        .choose(&mut rand::rng())
        .map(|balancer| balancer.http)
}

fn former_addresses(shared: &Shared) -> Vec<SocketAddrV4> {
    let current = lock(&shared.views).address();
    let flows = lock(&shared.flows);
    let services = flows.table.owned().iter().map(|entry| entry.flow.service);
    let mut addresses: Vec<_> = services
        .filter(|address| Some(*address) != current)
        .collect();
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}

/// States the displaced flows of this agent to the candidates of their buckets.
fn state(shared: &Shared) {
    let me = shared.hop();
    let statements = {
        let views = lock(&shared.views);
        let flows = lock(&shared.flows);
        let table = |flow: &packet::Flow| views.table(flow.service);
        displaced::statements(&me, flows.table.owned(), shared.flow_seed, table)
    };
    for statement in statements {
        datagrams::send_statement(shared, statement.to.addr, statement.flows);
    }
}

fn lapse(shared: &Shared) {
    let mut flows = lock(&shared.flows);
    for flow in flows.table.tick(shared.now()) {
        shared.counters.expired_flows.inc();
        if let Ok(index) = flows.open.binary_search_by(|open| open.flow.cmp(&flow)) {
            flows.open[index].handle.discard();
        }
    }
}
