//! Busiest upstream over the mean by real capacity, with and without hunting.

use std::time::Duration;

use serde_json::{Value, json};

use super::{Measurement, Scenario, UpstreamUsage};

const TARGET: f64 = 1.10;
const LOAD: f64 = 0.7;
const WORK_MS: u64 = 400;
const WARM: Duration = Duration::from_secs(15);
const SPAN: Duration = Duration::from_secs(15);

/// Runs both deployments, first with hash only.
pub(super) async fn run(seed: u64) -> anyhow::Result<Measurement> {
    let mut figures = Vec::new();
    let mut met = true;
    for scenario in super::scenarios() {
        for hunting in [false, true] {
            let (imbalance, found) = measure(&scenario, seed, hunting).await?;
            println!("{found}");
            met &= !hunting || imbalance <= TARGET;
            figures.push(found);
        }
    }
    Ok(Measurement {
        figures: Value::from(figures),
        target: json!({"busiest_over_mean": TARGET}),
        met,
    })
}

async fn measure(scenario: &Scenario, seed: u64, hunting: bool) -> anyhow::Result<(f64, Value)> {
    let urgent = super::plan(&scenario.urgent, WORK_MS, 0.0);
    let rate = LOAD * scenario.capacity(&urgent)?;
    let plans = [super::plan(&urgent, WORK_MS, rate)];
    let fleet = scenario.start(seed, &json!({"hunting": hunting})).await?;
    let (figures, busy) = super::run_load(&fleet, seed, "imbalance", &plans, WARM, SPAN).await?;
    fleet.stop().await?;
    let service = urgent.kind.service;
    let busy: Vec<_> = busy
        .into_iter()
        .filter(|one| one.service == service)
        .collect();
    let imbalance = imbalance(&busy);
    let found = json!({
        "deployment": scenario.deployment.name, "hunting": hunting, "offered_per_s": rate,
        "busiest_over_mean": imbalance, "upstreams": busy,
        "work": super::summary(&figures[0], SPAN), "machine_load": super::machine_load(),
    });
    Ok((imbalance, found))
}

#[expect(clippy::cast_precision_loss, reason = "fleets are small")]
fn imbalance(busy: &[UpstreamUsage]) -> f64 {
    let sum: f64 = busy.iter().map(|one| one.utilisation).sum();
    let most = busy.iter().map(|one| one.utilisation).fold(0.0, f64::max);
    most * busy.len() as f64 / sum
}
