//! Measures how far goodput and latency hold while one traffic class sends ten times the capacity,
//! with and without admission control.

use std::time::Duration;

use serde_json::{Value, json};

use super::{Measurement, Scenario};

/// Rate of the overloading requests as a multiple of the capacity.
const OVERLOAD_FACTOR: f64 = 10.0;
/// Minimum urgent goodput under bulk overload, as a share of that without overload.
const MIN_URGENT_GOODPUT: f64 = 0.99;
/// Maximum urgent 99th percentile latency under bulk overload, as a multiple of that without
/// overload.
const MAX_URGENT_P99: f64 = 2.0;
/// Minimum goodput under urgent overload, as a share of the capacity.
const MIN_GOODPUT: f64 = 0.90;
/// Processing time of an urgent request under bulk overload, in milliseconds.
const URGENT_WORK_MS: u64 = 400;
/// Processing time of an urgent request under urgent overload, in milliseconds.
const OVERLOAD_WORK_MS: u64 = 1_000;
const NORMAL_WORK_MS: u64 = 400;
const BULK_WORK_MS: u64 = 4_000;
/// Rate of urgent requests under bulk overload, as a share of the capacity.
const URGENT_LOAD: f64 = 0.25;
const WARM_UP: Duration = Duration::from_secs(12);
const MEASUREMENT_TIME: Duration = Duration::from_secs(12);

/// Overloads the service of the bulk requests and that of the urgent requests with bulk requests.
///
/// The urgent goodput and 99th percentile latency are compared with those of a run without the
/// overload.
pub(super) async fn bulk(seed: u64) -> anyhow::Result<Measurement> {
    let mut figures = Vec::new();
    let mut met = true;
    for scenario in super::scenarios() {
        for rules in [false, true] {
            let (goodput_share, p99_ratio, figure) = measure_bulk(&scenario, seed, rules).await?;
            println!("{figure}");
            met &= !rules || (goodput_share >= MIN_URGENT_GOODPUT && p99_ratio <= MAX_URGENT_P99);
            figures.push(figure);
        }
    }
    Ok(Measurement {
        figures: Value::from(figures),
        target: json!({"urgent_goodput_kept": MIN_URGENT_GOODPUT,
            "urgent_p99_over_calm": MAX_URGENT_P99}),
        met,
    })
}

async fn measure_bulk(
    scenario: &Scenario,
    seed: u64,
    rules: bool,
) -> anyhow::Result<(f64, f64, Value)> {
    let urgent = super::with_rate(&scenario.urgent, URGENT_WORK_MS, 0.0);
    let rate = URGENT_LOAD * scenario.capacity(&urgent)?;
    let urgent = super::with_rate(&urgent, URGENT_WORK_MS, rate);
    let bulk = super::with_rate(&scenario.bulk, BULK_WORK_MS, 0.0);
    let bulk = super::with_rate(
        &bulk,
        BULK_WORK_MS,
        OVERLOAD_FACTOR * scenario.capacity(&bulk)?,
    );
    let mut misdirected = bulk.clone();
    misdirected.kind.service = urgent.kind.service;
    misdirected.kind.path = "/sheets";
    let misdirected = super::with_rate(
        &misdirected,
        BULK_WORK_MS,
        OVERLOAD_FACTOR * scenario.capacity(&misdirected)?,
    );
    let fleet = scenario.start(seed, &policy(rules)).await?;
    let calm_plans = [urgent.clone()];
    let (calm, _) =
        super::run_load(&fleet, seed, "calm", &calm_plans, WARM_UP, MEASUREMENT_TIME).await?;
    let plans = [urgent, bulk, misdirected];
    let (flood, usage) =
        super::run_load(&fleet, seed, "flood", &plans, WARM_UP, MEASUREMENT_TIME).await?;
    fleet.stop().await?;
    let goodput_share = timely_share(&flood[0]) / timely_share(&calm[0]);
    let p99_ratio = super::latency_ms(&flood[0], 0.99) / super::latency_ms(&calm[0], 0.99);
    let figure = json!({
        "deployment": scenario.deployment.name, "rules": rules,
        "urgent_goodput_kept": goodput_share, "urgent_p99_over_calm": p99_ratio,
        "calm": super::summary(&calm[0], MEASUREMENT_TIME),
        "flood": flood.iter().map(|figures| super::summary(figures, MEASUREMENT_TIME)).collect::<Vec<_>>(),
        "upstreams": usage, "machine_load": super::machine_load(),
    });
    Ok((goodput_share, p99_ratio, figure))
}

/// Overloads the service of the urgent requests with urgent requests.
///
/// The goodput of urgent and normal requests is compared with the capacity.
pub(super) async fn urgent(seed: u64) -> anyhow::Result<Measurement> {
    let mut figures = Vec::new();
    let mut met = true;
    for scenario in super::scenarios() {
        for rules in [false, true] {
            let (goodput_share, figure) = measure_urgent(&scenario, seed, rules).await?;
            println!("{figure}");
            met &= !rules || goodput_share >= MIN_GOODPUT;
            figures.push(figure);
        }
    }
    Ok(Measurement {
        figures: Value::from(figures),
        target: json!({"goodput_of_capacity": MIN_GOODPUT}),
        met,
    })
}

async fn measure_urgent(
    scenario: &Scenario,
    seed: u64,
    rules: bool,
) -> anyhow::Result<(f64, Value)> {
    let urgent = super::with_rate(&scenario.urgent, OVERLOAD_WORK_MS, 0.0);
    let capacity = scenario.capacity(&urgent)?;
    let urgent = super::with_rate(&urgent, OVERLOAD_WORK_MS, OVERLOAD_FACTOR * capacity);
    let normal = super::with_rate(&scenario.normal, NORMAL_WORK_MS, 0.0);
    let normal_capacity = scenario.capacity(&normal)?;
    let normal_rate = normal_capacity / 10.0;
    let normal = super::with_rate(&normal, NORMAL_WORK_MS, normal_rate);
    let fleet = scenario.start(seed, &policy(rules)).await?;
    let plans = [urgent, normal];
    let (figures, usage) =
        super::run_load(&fleet, seed, "urgent", &plans, WARM_UP, MEASUREMENT_TIME).await?;
    fleet.stop().await?;
    let goodput_share = super::goodput(&figures[0], MEASUREMENT_TIME) / capacity
        + super::goodput(&figures[1], MEASUREMENT_TIME) / normal_capacity;
    let figure = json!({
        "deployment": scenario.deployment.name, "rules": rules,
        "goodput_of_capacity": goodput_share,
        "urgent_late_of_answered": late_share(&figures[0]),
        "normal_kept": timely_share(&figures[1]),
        "flood": figures.iter().map(|figures| super::summary(figures, MEASUREMENT_TIME)).collect::<Vec<_>>(),
        "upstreams": usage, "machine_load": super::machine_load(),
    });
    Ok((goodput_share, figure))
}

/// Returns the settings that enable all admission policies, or disable all, which leaves one
/// first-in first-out queue.
fn policy(enabled: bool) -> Value {
    json!({"classes": enabled, "shares": enabled, "deadlines": enabled, "reserve": enabled})
}

/// Returns the share of the requests that were answered within their deadline.
#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn timely_share(figures: &standins::load::Stats) -> f64 {
    figures.answered.saturating_sub(figures.late) as f64 / figures.sent.max(1) as f64
}

/// Returns the share of the answered requests that were answered after their deadline.
#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn late_share(figures: &standins::load::Stats) -> f64 {
    figures.late as f64 / figures.answered.max(1) as f64
}
