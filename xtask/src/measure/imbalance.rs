//! Measures the utilisation of the busiest upstream relative to the mean, with and without hunting:
//! forwarding a new flow to the next candidate of its chain if no slot is free. The utilisation is
//! relative to the real capacity of each upstream.

use std::time::Duration;

use serde_json::{Value, json};

use super::{Measurement, Scenario, UpstreamUsage};

/// Target for the utilisation of the busiest upstream divided by the mean.
const MAX_IMBALANCE: f64 = 1.10;
/// Request rate as a share of the capacity.
const LOAD: f64 = 0.7;
/// Processing time of a request, in milliseconds.
const WORK_MS: u64 = 400;
const WARM_UP: Duration = Duration::from_secs(15);
const MEASUREMENT_TIME: Duration = Duration::from_secs(15);

/// Measures both deployments of [`super::scenarios`], each first without hunting, so that the hash
/// alone selects the upstream.
pub(super) async fn run(seed: u64) -> anyhow::Result<Measurement> {
    let mut figures = Vec::new();
    let mut met = true;
    for scenario in super::scenarios() {
        for hunting in [false, true] {
            let (imbalance, figure) = measure(&scenario, seed, hunting).await?;
            println!("{figure}");
            met &= !hunting || imbalance <= MAX_IMBALANCE;
            figures.push(figure);
        }
    }
    Ok(Measurement {
        figures: Value::from(figures),
        target: json!({"busiest_over_mean": MAX_IMBALANCE}),
        met,
    })
}

async fn measure(scenario: &Scenario, seed: u64, hunting: bool) -> anyhow::Result<(f64, Value)> {
    let urgent = super::with_rate(&scenario.urgent, WORK_MS, 0.0);
    let rate = LOAD * scenario.capacity(&urgent)?;
    let plans = [super::with_rate(&urgent, WORK_MS, rate)];
    let fleet = scenario.start(seed, &json!({"hunting": hunting})).await?;
    let (figures, usage) =
        super::run_load(&fleet, seed, "imbalance", &plans, WARM_UP, MEASUREMENT_TIME).await?;
    fleet.stop().await?;
    let service = urgent.kind.service;
    let usage: Vec<_> = usage
        .into_iter()
        .filter(|upstream| upstream.service == service)
        .collect();
    let imbalance = imbalance(&usage);
    let figure = json!({
        "deployment": scenario.deployment.name, "hunting": hunting, "offered_per_s": rate,
        "busiest_over_mean": imbalance, "upstreams": usage,
        "work": super::summary(&figures[0], MEASUREMENT_TIME), "machine_load": super::machine_load(),
    });
    Ok((imbalance, figure))
}

#[expect(clippy::cast_precision_loss, reason = "fleets are small")]
/// Returns the utilisation of the busiest upstream divided by the mean of all.
fn imbalance(usage: &[UpstreamUsage]) -> f64 {
    let sum: f64 = usage.iter().map(|upstream| upstream.utilisation).sum();
    let highest = usage
        .iter()
        .map(|upstream| upstream.utilisation)
        .fold(0.0, f64::max);
    highest * usage.len() as f64 / sum
}
