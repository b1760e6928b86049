//! Time until a record is in force everywhere, and until a drained upstream gets nothing new.

use std::{net::SocketAddr, time::Duration};

use serde_json::{Value, json};
use standins::{fleet::Fleet, load, wait};
use tokio::time;

use super::Finding;

const IN_FORCE_S: f64 = 3.0;
const DRAINED_S: f64 = 3.0;
const RATE: f64 = 60.0;
const WORK_MS: u64 = 100;
const REST: Duration = Duration::from_secs(6);
const POLL: Duration = Duration::from_millis(20);

/// Applies a record and drains an upstream in both deployments.
pub(super) async fn run(seed: u64) -> anyhow::Result<Finding> {
    let mut figures = Vec::new();
    let mut met = true;
    for site in super::sites() {
        let fleet = site.start(seed, &json!({})).await?;
        let in_force = in_force(&fleet).await?;
        let plans = [super::plan(&site.urgent, WORK_MS, RATE)];
        let drained = drained(&fleet, seed, &plans).await?;
        fleet.stop().await?;
        met &= in_force <= IN_FORCE_S && drained <= DRAINED_S;
        let found = json!({
            "deployment": site.deployment.name, "in_force_s": in_force,
            "last_new_work_s": drained, "machine_load": super::machine_load(),
        });
        println!("{found}");
        figures.push(found);
    }
    Ok(Finding {
        figures: Value::from(figures),
        target: json!({"in_force_s": IN_FORCE_S, "last_new_work_s": DRAINED_S}),
        met,
    })
}

/// Seconds from the operator's word until all balancers and the service's agents state the record.
async fn in_force(fleet: &Fleet) -> anyhow::Result<f64> {
    let service = &fleet.deployment().services[0];
    let balancer = fleet.balancers[0].addr.http.into();
    let old = balancer_version(fleet, balancer, service.name).await;
    let mut record = service.record.clone();
    record["deadline_ms"] = json!(9_000);
    let start = time::Instant::now();
    fleet.apply(service.name, &record).await?;
    let all = "the record in force on each process";
    let holds = async || is_in_force(fleet, service.name, old).await;
    wait::until(all, wait::LIMIT, holds).await?;
    Ok(start.elapsed().as_secs_f64())
}

async fn is_in_force(fleet: &Fleet, service: &str, old: u64) -> bool {
    for balancer in &fleet.balancers {
        if balancer_version(fleet, balancer.addr.http.into(), service).await <= old {
            return false;
        }
    }
    let agents = fleet.upstreams.iter();
    for agent in agents.filter(|one| one.config.service == service) {
        if agent_version(fleet, agent.agent_addr.http.into()).await <= old {
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

/// Seconds from the operator's word to the start of the last execution, as polls see it.
async fn drained(fleet: &Fleet, seed: u64, plans: &[load::Workload]) -> anyhow::Result<f64> {
    let service = plans[0].kind.service;
    let mut upstreams = fleet.upstreams.iter();
    let upstream = upstreams.rfind(|one| one.config.service == service);
    let upstream = upstream.ok_or_else(|| anyhow::anyhow!("service is not deployed"))?;
    let control = upstream.upstream_addr.control;
    let watch = async {
        time::sleep(REST).await;
        let start = time::Instant::now();
        let args = ["drain", upstream.name.as_str()];
        let (asked, last) =
            tokio::join!(fleet.run_operator(&args), last_new(fleet, control, start));
        asked?;
        last
    };
    let observed = super::observe(fleet, seed, "drain", plans, REST / 2, 2 * REST);
    let (drained, observed) = tokio::join!(watch, observed);
    observed?;
    drained
}

/// Seconds from `start` until the ledger last grew; at least one request must have run before.
async fn last_new(fleet: &Fleet, control: SocketAddr, start: time::Instant) -> anyhow::Result<f64> {
    let mut known = runs(fleet, control).await?;
    anyhow::ensure!(known > 0, "the upstream had no work before");
    let mut last = 0.0;
    while start.elapsed() < REST {
        time::sleep(POLL).await;
        let len = runs(fleet, control).await?;
        if len > known {
            last = start.elapsed().as_secs_f64();
        }
        known = len;
    }
    Ok(last)
}

async fn runs(fleet: &Fleet, control: SocketAddr) -> anyhow::Result<usize> {
    let ledger = fleet.client.get(control, "/ledger").await?;
    Ok(ledger.as_array().map_or(0, Vec::len))
}
