//! Records from the platform, the administration API's view of them, and the
//! platform's objects through which balancers find each other.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use cassiacross::{admin, change, member, platform, record_table, settings, store_watch};
use serde_json::json;
use tokio::time;

use crate::shared;

/// How long a watch may hold before the balancer asks itself whether it still should.
const TURN: Duration = Duration::from_secs(6);

/// Periods over which the balancers of a fleet that starts at once register.
const SPREAD_PERIODS: f64 = 2.0;

/// Follows the platform's records for as long as this balancer is a watcher.
pub(crate) async fn follow_records(
    shared: shared::Shared,
    client: platform::Client,
    period: Duration,
) {
    let mut watch = store_watch::Watcher::new(
        client,
        change::RECORD_KIND,
        store_watch::RELIST_INTERVAL,
        rand::random(),
    );
    loop {
        if shared.is_configured() && !is_watcher(&shared) {
            time::sleep(period).await;
            continue;
        }
        if let Ok(objects) = time::timeout(TURN, watch.next()).await {
            let documents: Vec<_> = objects.iter().map(document).collect();
            shared.apply_records(&documents);
        }
        if watch.has_listed() {
            shared.set_configured();
        }
    }
}

fn is_watcher(shared: &shared::Shared) -> bool {
    let now = shared.now();
    let balancer = shared.balancer();
    let tables = balancer.tables();
    let mut live: Vec<_> = tables.live_balancers(now).cloned().collect();
    let me = tables.own();
    if !live.iter().any(|other| other.node == me.node) {
        live.push(me.clone());
    }
    store_watch::is_watcher(&live, me.node)
}

fn document(object: &platform::Object) -> record_table::VersionedRecord {
    record_table::VersionedRecord {
        name: object.name.clone(),
        version: object.version,
        document: change::record(&object.value).clone(),
    }
}

/// The administration API over this balancer's state.
pub(crate) fn admin(
    shared: &shared::Shared,
    settings: &settings::Balancer,
    client: platform::Client,
) -> admin::Admin {
    let common = &settings.common;
    let (table, apply, peers, agents, members) = (
        shared.clone(),
        shared.clone(),
        shared.clone(),
        shared.clone(),
        shared.clone(),
    );
    admin::Admin::new(admin::Dependencies {
        name: common.name.clone(),
        domain: common.domain.clone(),
        token: common.operator_token.clone(),
        client,
        table: Box::new(move || Arc::new(table.records().clone())),
        apply: Box::new(move |object| apply.apply_records(&[document(object)])),
        peers: Box::new(move || known_peers(&peers)),
        agents: Box::new(move || watched_agents(&agents)),
        service_of: Box::new(move |upstream| service_of(&members, upstream)),
    })
}

fn known_peers(shared: &shared::Shared) -> Vec<admin::Peer> {
    let now = shared.now();
    let balancer = shared.balancer();
    let tables = balancer.tables();
    let me = tables.own().node;
    let others = tables.live_balancers(now).filter(|other| other.node != me);
    others
        .map(|other| admin::Peer {
            name: other.name.clone(),
            domain: other.domain.clone(),
            digest: None,
        })
        .collect()
}

fn watched_agents(shared: &shared::Shared) -> Vec<admin::Agent> {
    let now = shared.now();
    let balancer = shared.balancer();
    let heard = balancer.tables().heartbeating_members(now);
    heard
        .map(|row| admin::Agent {
            name: row.member.name.clone(),
            service: row.member.service.clone(),
            version: row.heartbeat.map_or(0, |beat| beat.version),
        })
        .collect()
}

fn service_of(shared: &shared::Shared, upstream: &str) -> Option<String> {
    let balancer = shared.balancer();
    let rows = balancer.tables().members().iter();
    let mut members = rows.map(|row| &row.member);
    members
        .find(|member| member.name == upstream)
        .map(|member| member.service.clone())
}

/// Addresses of balancers that the platform knows of; empty while it is down.
pub(crate) async fn registered_balancers(client: &platform::Client) -> Vec<SocketAddrV4> {
    let listing = client.list(member::BALANCER_KIND, platform::Consistency::Strong);
    let listing = match listing.await {
        Ok(listing) => listing,
        Err(error) => {
            log::warn!(error:% = error; "the platform's balancers cannot be read");
            return Vec::new();
        }
    };
    let addresses = listing
        .items
        .iter()
        .filter_map(|object| object.value.get("http"));
    addresses
        .filter_map(|address| address.as_str()?.parse().ok())
        .collect()
}

/// Keeps this balancer's object in the platform, trying again while it is down.
///
/// The first try waits for a random part of [`SPREAD_PERIODS`], so that a whole fleet
/// that starts at once does not write at one moment.
pub(crate) async fn register(client: platform::Client, me: member::Balancer, period: Duration) {
    time::sleep(period.mul_f64(rand::random::<f64>() * SPREAD_PERIODS)).await;
    while let Err(error) = put(&client, &me).await {
        log::warn!(error:% = error; "this balancer cannot be registered with the platform");
        time::sleep(period).await;
    }
}

async fn put(client: &platform::Client, me: &member::Balancer) -> Result<(), platform::Error> {
    let old = client.get(member::BALANCER_KIND, &me.name).await?;
    let guard = platform::Object::precondition(old.as_ref());
    let value = json!({ "http": me.http.to_string(), "domain": me.domain });
    client
        .put(member::BALANCER_KIND, &me.name, guard, &value)
        .await?;
    Ok(())
}

/// Removes this balancer's object; a failure leaves one address that does not answer.
pub(crate) async fn unregister(client: &platform::Client, name: &str) {
    if let Ok(Some(object)) = client.get(member::BALANCER_KIND, name).await
        && let Err(error) = client
            .delete(member::BALANCER_KIND, name, object.version)
            .await
    {
        log::warn!(error:% = error; "this balancer stays registered with the platform");
    }
}

/// What `/ready` waits for, if anything.
pub(crate) fn unready_reason(shared: &shared::Shared) -> Option<&'static str> {
    if !shared.is_joined() {
        return Some("a peer or the end of the tries for one");
    }
    if !shared.is_configured() {
        return Some("records: the platform does not answer and no peer has any");
    }
    shared
        .is_leaving()
        .then_some("nothing: this balancer is leaving")
}

/// The records as fleet calls give them.
pub(crate) fn select_records(
    shared: &shared::Shared,
    names: &[String],
) -> Vec<record_table::VersionedRecord> {
    let records = shared.records();
    let wanted = records
        .records()
        .filter(|document| names.contains(&document.name));
    wanted.cloned().collect()
}
