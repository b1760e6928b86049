//! The balancer's link to the platform: follows the configuration records, connects the
//! administration API to the daemon's state, and registers the balancer so that others can
//! discover it.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use cassiacross::{admin, change, member, platform, record_table, settings, store_watch};
use serde_json::json;
use tokio::time;

use crate::shared;

/// Longest wait for changed records before the balancer checks again whether it still has to watch
/// the platform store.
const WATCH_TIMEOUT: Duration = Duration::from_secs(6);

/// Heartbeat periods over which balancers that start at the same time spread their registrations.
const REGISTER_SPREAD_PERIODS: f64 = 2.0;

/// Applies the platform's records while this balancer is a watcher or has no records yet.
///
/// The other balancers receive changed records by gossip.
pub(crate) async fn follow_records(
    shared: shared::Shared,
    client: platform::Client,
    period: Duration,
) {
    let mut watcher = store_watch::Watcher::new(
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
        if let Ok(objects) = time::timeout(WATCH_TIMEOUT, watcher.next()).await {
            let records: Vec<_> = objects.iter().map(versioned_record).collect();
            shared.apply_records(&records);
        }
        if watcher.has_listed() {
            shared.set_configured();
        }
    }
}

/// Returns whether this balancer is one of those elected in its failure domain to watch the
/// platform store.
///
/// The balancer counts itself as live even if its own entry is not.
fn is_watcher(shared: &shared::Shared) -> bool {
    let now = shared.now();
    let balancer = shared.balancer();
    let tables = balancer.tables();
    let mut live: Vec<_> = tables.live_balancers(now).cloned().collect();
    let own = tables.own();
    if !live.iter().any(|other| other.node == own.node) {
        live.push(own.clone());
    }
    store_watch::is_watcher(&live, own.node)
}

fn versioned_record(object: &platform::Object) -> record_table::VersionedRecord {
    record_table::VersionedRecord {
        name: object.name.clone(),
        version: change::version(object),
        document: change::record(&object.value).clone(),
    }
}

/// Creates the administration API with access to this balancer's state.
pub(crate) fn new_admin(
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
        apply: Box::new(move |object| apply.apply_records(&[versioned_record(object)])),
        peers: Box::new(move || live_peers(&peers)),
        agents: Box::new(move || watched_agents(&agents)),
        service_of: Box::new(move |upstream| service_of(&members, upstream)),
    })
}

/// Returns the live balancers other than this one.
fn live_peers(shared: &shared::Shared) -> Vec<admin::Peer> {
    let now = shared.now();
    let balancer = shared.balancer();
    let tables = balancer.tables();
    let own = tables.own().node;
    let others = tables.live_balancers(now).filter(|other| other.node != own);
    others
        .map(|other| admin::Peer {
            name: other.name.clone(),
            domain: other.domain.clone(),
            digest: None,
        })
        .collect()
}

/// Returns the agents whose heartbeats reach this balancer, with their active record versions.
fn watched_agents(shared: &shared::Shared) -> Vec<admin::Agent> {
    let now = shared.now();
    let balancer = shared.balancer();
    let heartbeating = balancer.tables().heartbeating_members(now);
    heartbeating
        .map(|row| admin::Agent {
            name: row.member.name.clone(),
            service: row.member.service.clone(),
            version: row.heartbeat.map_or(0, |heartbeat| heartbeat.version),
        })
        .collect()
}

/// Returns the name of the service that an upstream serves, if its agent is known.
fn service_of(shared: &shared::Shared, upstream: &str) -> Option<String> {
    let balancer = shared.balancer();
    let rows = balancer.tables().members().iter();
    let mut members = rows.map(|row| &row.member);
    members
        .find(|member| member.name == upstream)
        .map(|member| member.service.clone())
}

/// Returns the HTTP addresses of the balancers registered with the platform; empty if the platform
/// cannot list them.
pub(crate) async fn registered_balancers(client: &platform::Client) -> Vec<SocketAddrV4> {
    let listing = client.list(member::BALANCER_KIND, platform::Consistency::Strong);
    let listing = match listing.await {
        Ok(listing) => listing,
        Err(error) => {
            log::warn!(error:% = error; "cannot list the balancers registered with the platform; joining through seeds only");
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

/// Registers this balancer with the platform, and again whenever the platform was restored from a
/// backup, which may lack the registration.
///
/// The first attempt is delayed by a random part of [`REGISTER_SPREAD_PERIODS`], so that the
/// balancers of a fleet that starts at once do not all write at the same moment.
pub(crate) async fn register(client: platform::Client, own: member::Balancer, period: Duration) {
    time::sleep(period.mul_f64(rand::random::<f64>() * REGISTER_SPREAD_PERIODS)).await;
    let mut era = client.era();
    loop {
        era.mark_unchanged();
        register_once(&client, &own, period).await;
        if era.changed().await.is_err() {
            return;
        }
    }
}

/// Registers this balancer with the platform, retrying until it succeeds.
async fn register_once(client: &platform::Client, own: &member::Balancer, period: Duration) {
    while let Err(error) = write_registration(client, own).await {
        log::warn!(error:% = error; "cannot register this balancer with the platform; retrying");
        time::sleep(period).await;
    }
}

/// Registers this balancer with the platform once, replacing a registration of an earlier run.
async fn write_registration(
    client: &platform::Client,
    own: &member::Balancer,
) -> Result<(), platform::Error> {
    let old = client.get(member::BALANCER_KIND, &own.name).await?;
    let precondition = platform::Object::precondition(old.as_ref());
    let value = json!({ "http": own.http.to_string(), "domain": own.domain });
    client
        .put(member::BALANCER_KIND, &own.name, precondition, &value)
        .await?;
    Ok(())
}

/// Removes this balancer's registration from the platform.
///
/// If that fails, other balancers may still try this address when they join, without an answer.
pub(crate) async fn unregister(client: &platform::Client, name: &str) {
    if let Ok(Some(object)) = client.get(member::BALANCER_KIND, name).await
        && let Err(error) = client
            .delete(member::BALANCER_KIND, name, object.version)
            .await
    {
        log::warn!(error:% = error; "cannot remove this balancer's registration from the platform; it stays listed");
    }
}

/// Returns why `/ready` answers 503, or `None` if the balancer is ready.
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

/// Returns the records with these names, for calls from other processes of the fleet.
pub(crate) fn select_records(
    shared: &shared::Shared,
    names: &[String],
) -> Vec<record_table::VersionedRecord> {
    let records = shared.records();
    let wanted = records
        .records()
        .filter(|record| names.contains(&record.name));
    wanted.cloned().collect()
}
