//! What work keeps of goodput and latency while a class floods.

use std::time::Duration;

use serde_json::{Value, json};

use super::{Finding, Site};

const FLOOD: f64 = 10.0;
const BULK_KEPT: f64 = 0.99;
const BULK_P99: f64 = 2.0;
const URGENT_KEPT: f64 = 0.90;
const URGENT_WORK_MS: u64 = 400;
const FLOOD_WORK_MS: u64 = 1_000;
const NORMAL_WORK_MS: u64 = 400;
const BULK_WORK_MS: u64 = 4_000;
const ORDINARY_LOAD: f64 = 0.25;
const WARM: Duration = Duration::from_secs(12);
const SPAN: Duration = Duration::from_secs(12);

/// Uploads flood their own service and the one of the urgent work.
pub(super) async fn bulk(seed: u64) -> anyhow::Result<Finding> {
    let mut figures = Vec::new();
    let mut met = true;
    for site in super::sites() {
        for rules in [false, true] {
            let (kept, slower, found) = flooded_by_bulk(&site, seed, rules).await?;
            println!("{found}");
            met &= !rules || (kept >= BULK_KEPT && slower <= BULK_P99);
            figures.push(found);
        }
    }
    Ok(Finding {
        figures: Value::from(figures),
        target: json!({"urgent_goodput_kept": BULK_KEPT, "urgent_p99_over_calm": BULK_P99}),
        met,
    })
}

async fn flooded_by_bulk(site: &Site, seed: u64, rules: bool) -> anyhow::Result<(f64, f64, Value)> {
    let urgent = super::plan(&site.urgent, URGENT_WORK_MS, 0.0);
    let rate = ORDINARY_LOAD * site.capacity(&urgent)?;
    let urgent = super::plan(&urgent, URGENT_WORK_MS, rate);
    let own = super::plan(&site.bulk, BULK_WORK_MS, 0.0);
    let own = super::plan(&own, BULK_WORK_MS, FLOOD * site.capacity(&own)?);
    let mut other = own.clone();
    other.kind.service = urgent.kind.service;
    other.kind.path = "/sheets";
    let other = super::plan(&other, BULK_WORK_MS, FLOOD * site.capacity(&other)?);
    let fleet = site.start(seed, &policy(rules)).await?;
    let calm_plans = [urgent.clone()];
    let (calm, _) = super::observe(&fleet, seed, "calm", &calm_plans, WARM, SPAN).await?;
    let plans = [urgent, own, other];
    let (flood, busy) = super::observe(&fleet, seed, "flood", &plans, WARM, SPAN).await?;
    fleet.stop().await?;
    let kept = share(&flood[0]) / share(&calm[0]);
    let slower = super::latency_ms(&flood[0], 0.99) / super::latency_ms(&calm[0], 0.99);
    let found = json!({
        "deployment": site.deployment.name, "rules": rules,
        "urgent_goodput_kept": kept, "urgent_p99_over_calm": slower,
        "calm": super::summary(&calm[0], SPAN),
        "flood": flood.iter().map(|one| super::summary(one, SPAN)).collect::<Vec<_>>(),
        "upstreams": busy, "machine_load": super::machine_load(),
    });
    Ok((kept, slower, found))
}

/// The urgent class floods its own service.
pub(super) async fn urgent(seed: u64) -> anyhow::Result<Finding> {
    let mut figures = Vec::new();
    let mut met = true;
    for site in super::sites() {
        for rules in [false, true] {
            let (part, found) = flooded_by_urgent(&site, seed, rules).await?;
            println!("{found}");
            met &= !rules || part >= URGENT_KEPT;
            figures.push(found);
        }
    }
    Ok(Finding {
        figures: Value::from(figures),
        target: json!({"goodput_of_capacity": URGENT_KEPT}),
        met,
    })
}

async fn flooded_by_urgent(site: &Site, seed: u64, rules: bool) -> anyhow::Result<(f64, Value)> {
    let urgent = super::plan(&site.urgent, FLOOD_WORK_MS, 0.0);
    let capacity = site.capacity(&urgent)?;
    let urgent = super::plan(&urgent, FLOOD_WORK_MS, FLOOD * capacity);
    let normal = super::plan(&site.normal, NORMAL_WORK_MS, 0.0);
    let normal_capacity = site.capacity(&normal)?;
    let normal_rate = normal_capacity / 10.0;
    let normal = super::plan(&normal, NORMAL_WORK_MS, normal_rate);
    let fleet = site.start(seed, &policy(rules)).await?;
    let plans = [urgent, normal];
    let (figures, busy) = super::observe(&fleet, seed, "urgent", &plans, WARM, SPAN).await?;
    fleet.stop().await?;
    let part = super::goodput(&figures[0], SPAN) / capacity
        + super::goodput(&figures[1], SPAN) / normal_capacity;
    let found = json!({
        "deployment": site.deployment.name, "rules": rules, "goodput_of_capacity": part,
        "urgent_late_of_answered": late(&figures[0]), "normal_kept": share(&figures[1]),
        "flood": figures.iter().map(|one| super::summary(one, SPAN)).collect::<Vec<_>>(),
        "upstreams": busy, "machine_load": super::machine_load(),
    });
    Ok((part, found))
}

/// All rules of admission, or one line in order of arrival.
fn policy(rules: bool) -> Value {
    json!({"classes": rules, "shares": rules, "deadlines": rules, "reserve": rules})
}

/// The part of the requests that were answered in time.
#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn share(figures: &standins::load::Stats) -> f64 {
    figures.answered.saturating_sub(figures.late) as f64 / figures.sent.max(1) as f64
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn late(figures: &standins::load::Stats) -> f64 {
    figures.late as f64 / figures.answered.max(1) as f64
}
