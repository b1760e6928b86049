//! Measures how long it takes until a changed record is in force in all processes, and until a
//! drained upstream starts its last request.

use std::{net::SocketAddr, time::Duration};

use serde_json::{Value, json};
use standins::{fleet::Fleet, load, wait};
use tokio::time;

use super::Measurement;

/// Target for the time until a changed record is in force, in seconds.
const MAX_ACTIVATION_S: f64 = 3.0;
/// Target for the time until a drained upstream starts its last request, in seconds.
const MAX_DRAIN_S: f64 = 3.0;
const REQUESTS_PER_SECOND: f64 = 60.0;
/// Processing time of a request, in milliseconds.
const WORK_MS: u64 = 100;
/// Time for which new requests at the drained upstream are observed.
const OBSERVATION_TIME: Duration = Duration::from_secs(6);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Changes a record and drains an upstream in both deployments of [`super::scenarios`].
pub(super) async fn run(seed: u64) -> anyhow::Result<Measurement> {
    let mut figures = Vec::new();
    let mut met = true;
    for scenario in super::scenarios() {
        let fleet = scenario.start(seed, &json!({})).await?;
        let in_force = activation_seconds(&fleet).await?;
        let plans = [super::with_rate(
            &scenario.urgent,
            WORK_MS,
            REQUESTS_PER_SECOND,
        )];
        let drained = drain_seconds(&fleet, seed, &plans).await?;
        fleet.stop().await?;
        met &= in_force <= MAX_ACTIVATION_S && drained <= MAX_DRAIN_S;
        let figure = json!({
            "deployment": scenario.deployment.name, "in_force_s": in_force,
            "last_new_work_s": drained, "machine_load": super::machine_load(),
        });
        println!("{figure}");
        figures.push(figure);
    }
    Ok(Measurement {
        figures: Value::from(figures),
        target: json!({"in_force_s": MAX_ACTIVATION_S, "last_new_work_s": MAX_DRAIN_S}),
        met,
    })
}

/// Returns the seconds from the operator's call until all balancers and the service's agents report
/// the new version of the record.
async fn activation_seconds(fleet: &Fleet) -> anyhow::Result<f64> {
    let service = &fleet.deployment().services[0];
    let balancer = fleet.balancers[0].addr.http.into();
    let old_version = balancer_version(fleet, balancer, service.name).await;
    let mut record = service.record.clone();
    record["deadline_ms"] = json!(9_000);
    let start = time::Instant::now();
    fleet.apply(service.name, &record).await?;
    let condition = "the changed record in force on each process";
    let holds = async || is_in_force(fleet, service.name, old_version).await;
    wait::until(condition, wait::LIMIT, holds).await?;
    Ok(start.elapsed().as_secs_f64())
}

async fn is_in_force(fleet: &Fleet, service: &str, old_version: u64) -> bool {
    for balancer in &fleet.balancers {
        if balancer_version(fleet, balancer.addr.http.into(), service).await <= old_version {
            return false;
        }
    }
    let agents = fleet.upstreams.iter();
    for agent in agents.filter(|upstream| upstream.config.service == service) {
        if agent_version(fleet, agent.agent_addr.http.into()).await <= old_version {
            return false;
        }
    }
    true
}

async fn agent_version(fleet: &Fleet, http: SocketAddr) -> u64 {
    let state = fleet.client.state(http).await.unwrap_or_default();
    state["version"].as_u64().unwrap_or_default()
}

async fn balancer_version(fleet: &Fleet, http: SocketAddr, service: &str) -> u64 {
    let state = fleet.client.state(http).await.unwrap_or_default();
    let records = state["services"].as_array().map(Vec::as_slice);
    let mut records = records.unwrap_or_default().iter();
    let record = records.find(|record| record["name"] == service);
    record
        .and_then(|record| record["version"].as_u64())
        .unwrap_or_default()
}

/// Returns the seconds from the start of the drain to the last new request at the upstream.
///
/// The ledger of the upstream is polled, so the result is too high by up to [`POLL_INTERVAL`].
async fn drain_seconds(fleet: &Fleet, seed: u64, plans: &[load::Workload]) -> anyhow::Result<f64> {
    let service = plans[0].kind.service;
    let mut upstreams = fleet.upstreams.iter();
    let upstream = upstreams.rfind(|upstream| upstream.config.service == service);
    let upstream = upstream
        .ok_or_else(|| anyhow::anyhow!("the service of the request plan is not deployed"))?;
    let control = upstream.upstream_addr.control;
    let drain = async {
        time::sleep(OBSERVATION_TIME).await;
        let start = time::Instant::now();
        let args = ["drain", upstream.name.as_str()];
        let (result, last_seconds) = tokio::join!(
            fleet.run_operator(&args),
            last_execution_seconds(fleet, control, start)
        );
        result?;
        last_seconds
    };
    let observed = super::run_load(
        fleet,
        seed,
        "drain",
        plans,
        OBSERVATION_TIME / 2,
        2 * OBSERVATION_TIME,
    );
    let (drained, observed) = tokio::join!(drain, observed);
    observed?;
    drained
}

/// Returns the seconds from `start` until the ledger last grew.
///
/// Fails if the upstream has run no request before, because the result would then mean nothing.
async fn last_execution_seconds(
    fleet: &Fleet,
    control: SocketAddr,
    start: time::Instant,
) -> anyhow::Result<f64> {
    let mut known_count = execution_count(fleet, control).await?;
    anyhow::ensure!(
        known_count > 0,
        "the upstream ran no request before the drain"
    );
    let mut last = 0.0;
    while start.elapsed() < OBSERVATION_TIME {
        time::sleep(POLL_INTERVAL).await;
        let len = execution_count(fleet, control).await?;
        if len > known_count {
            last = start.elapsed().as_secs_f64();
        }
        known_count = len;
    }
    Ok(last)
}

async fn execution_count(fleet: &Fleet, control: SocketAddr) -> anyhow::Result<usize> {
    let ledger = fleet.client.get(control, "/ledger").await?;
    Ok(ledger.as_array().map_or(0, Vec::len))
}
