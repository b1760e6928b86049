//! Time until a record is in force everywhere, and until a drained upstream gets nothing new.

use std::time::Duration;

use serde_json::{Value, json};
use standins::{fleet::Fleet, wait};
use tokio::time;

use super::Finding;

const IN_FORCE_S: f64 = 3.0;
const DRAINED_S: f64 = 3.0;
const RATE: f64 = 60.0;
const WORK_MS: u64 = 100;
const REST: Duration = Duration::from_secs(6);

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

async fn in_force(fleet: &Fleet) -> anyhow::Result<f64> {
    let service = &fleet.deployment().services[0];
    let agent = fleet
        .upstreams
        .iter()
        .position(|one| one.plan.service == service.name);
    let agent = &fleet.upstreams[agent.unwrap_or_default()];
    let old = version(fleet, agent).await;
    let mut record = service.record.clone();
    record["deadline_ms"] = json!(9_000);
    let start = time::Instant::now();
    fleet.apply(service.name, &record).await?;
    let agents: Vec<_> = fleet
        .upstreams
        .iter()
        .filter(|one| one.plan.service == service.name)
        .collect();
    wait::until(
        "the record in force on each agent",
        wait::LIMIT,
        async || {
            for agent in &agents {
                if version(fleet, agent).await <= old {
                    return false;
                }
            }
            true
        },
    )
    .await?;
    Ok(start.elapsed().as_secs_f64())
}

async fn version(fleet: &Fleet, agent: &standins::host::Upstream) -> u64 {
    let state = fleet.client.state(agent.addr.http.into()).await;
    state.map_or(0, |state| state["version"].as_u64().unwrap_or_default())
}

/// Seconds from the operator's word to the start of the last execution.
async fn drained(fleet: &Fleet, seed: u64, plans: &[standins::load::Plan]) -> anyhow::Result<f64> {
    let service = plans[0].kind.service;
    let upstream = fleet
        .upstreams
        .iter()
        .rfind(|one| one.plan.service == service);
    let upstream = upstream.ok_or_else(|| anyhow::anyhow!("service is not deployed"))?;
    let index = fleet
        .upstreams
        .iter()
        .position(|one| one.name == upstream.name);
    let index = index.unwrap_or_default();
    let drain = async {
        time::sleep(REST / 2).await;
        let start = time::Instant::now();
        fleet.operator(&["drain", &upstream.name]).await?;
        let mut known = super::executions(fleet).await?[index].len();
        let mut last = 0.0;
        while start.elapsed() < REST {
            time::sleep(Duration::from_millis(50)).await;
            let control = upstream.upstream.control;
            let now = fleet.client.get(control, "/ledger").await?;
            let len = now.as_array().map_or(0, Vec::len);
            if len > known {
                last = start.elapsed().as_secs_f64();
            }
            known = len;
        }
        anyhow::Ok(last)
    };
    let observed = super::observe(fleet, seed, "drain", plans, REST, REST);
    let (drained, observed) = tokio::join!(drain, observed);
    observed?;
    drained
}
