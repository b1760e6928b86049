//! Measures failed requests and retries while one upstream responds to each request with an
//! immediate error and after another one is killed, with and without retry budget and failover from
//! unhealthy upstreams.

use std::time::Duration;

use serde_json::{Value, json};
use standins::{fleet::Fleet, history, load};
use tokio::time;

use super::{Measurement, Scenario};

/// Target for the number of retries, as a share of the requests.
const MAX_RETRY_SHARE: f64 = 0.10;
/// Target for the time from the end of the fault to the last failed request, in seconds.
const MAX_RECOVERY_S: f64 = 3.0;
/// Request rate as a share of the capacity.
const LOAD: f64 = 0.2;
/// Processing time of a request, in milliseconds.
const WORK_MS: u64 = 200;
const WARM_UP: Duration = Duration::from_secs(8);
/// Time for which the faulty upstream returns errors.
const FAULT_TIME: Duration = Duration::from_secs(5);
/// Observation time after the end of the fault, and after the kill.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Requests and failures of one phase; `last_failure` is the time since its start.
struct Phase {
    sent: u64,
    failed: u64,
    last_failure: Duration,
}

/// Measures both deployments of [`super::scenarios`], each first without retry budget and failover
/// from unhealthy upstreams.
pub(super) async fn run(seed: u64) -> anyhow::Result<Measurement> {
    let mut figures = Vec::new();
    let mut met = true;
    for scenario in super::scenarios() {
        for rules in [false, true] {
            let (met_limits, figure) = measure(&scenario, seed, rules).await?;
            println!("{figure}");
            met &= !rules || met_limits;
            figures.push(figure);
        }
    }
    Ok(Measurement {
        figures: Value::from(figures),
        target: json!({"retries_of_requests": MAX_RETRY_SHARE, "normal_after_s": MAX_RECOVERY_S}),
        met,
    })
}

async fn measure(scenario: &Scenario, seed: u64, rules: bool) -> anyhow::Result<(bool, Value)> {
    let mut fleet = scenario
        .start(seed, &json!({"budget": rules, "health": rules}))
        .await?;
    let load = start_load(scenario, &fleet, seed)?;
    time::sleep(WARM_UP).await;
    let service = scenario.urgent.kind.service;
    let names = fleet
        .upstreams
        .iter()
        .filter(|upstream| upstream.config.service == service);
    let names: Vec<_> = names.map(|upstream| upstream.name.clone()).collect();
    let (faulty, killed) = (&names[names.len() - 1], &names[names.len() - 2]);
    set_wrong_fast(&fleet, faulty, true).await?;
    let during = observe_phase(&load, FAULT_TIME).await;
    set_wrong_fast(&fleet, faulty, false).await?;
    let after = observe_phase(&load, RECOVERY_TIME).await;
    let retries = retry_count(&fleet).await?;
    fleet.kill_upstream(killed)?;
    let before = totals(&load.stats());
    time::sleep(RECOVERY_TIME).await;
    let (sent, failed) = totals(&load.stop().await);
    let killed_share = ratio(failed - before.1, sent - before.0);
    fleet.stop().await?;
    let retry_share = ratio(retries, sent);
    let recovery_s = after.last_failure.as_secs_f64();
    let figure = json!({
        "deployment": scenario.deployment.name, "rules": rules,
        "wrong_fast_share": ratio(during.failed, during.sent),
        "wrong_fast_normal_after_s": after.last_failure.as_secs_f64(),
        "killed_share": killed_share,
        "retries_of_requests": retry_share, "machine_load": super::machine_load(),
    });
    Ok((
        retry_share <= MAX_RETRY_SHARE && recovery_s <= MAX_RECOVERY_S,
        figure,
    ))
}

fn start_load(scenario: &Scenario, fleet: &Fleet, seed: u64) -> anyhow::Result<load::Load> {
    let mut plans = Vec::new();
    for kind in [&scenario.urgent, &scenario.normal] {
        let plan = super::with_rate(kind, WORK_MS, 0.0);
        let rate = LOAD * scenario.capacity(&plan)? / 2.0;
        plans.push(super::with_rate(&plan, WORK_MS, rate));
    }
    let settings = load::Settings {
        ports: fleet.ports.clone(),
        seed,
        id_prefix: format!("recovery-{seed}"),
        timeout: super::REQUEST_TIMEOUT,
        idle_timeout: super::FEED_IDLE_TIMEOUT,
    };
    Ok(load::Load::start(
        settings,
        &plans,
        &history::Recorder::default(),
    )?)
}

/// Switches the fault of an upstream that fails each request at once with status 500.
async fn set_wrong_fast(fleet: &Fleet, name: &str, wrong_fast: bool) -> anyhow::Result<()> {
    let mut upstreams = fleet.upstreams.iter();
    let upstream = upstreams.find(|upstream| upstream.name == name);
    let upstream = upstream.ok_or_else(|| anyhow::anyhow!("unknown upstream {name}"))?;
    let faults = json!({"wrong_fast": wrong_fast});
    let control = upstream.upstream_addr.control;
    Ok(fleet.client.post(control, "/faults", &faults).await?)
}

/// Counts sent and failed requests for a period.
async fn observe_phase(load: &load::Load, span: Duration) -> Phase {
    let start = time::Instant::now();
    let first = totals(&load.stats());
    let mut previous = first;
    let mut last_failure = Duration::ZERO;
    while start.elapsed() < span {
        time::sleep(POLL_INTERVAL).await;
        let now = totals(&load.stats());
        if now.1 > previous.1 {
            last_failure = start.elapsed();
        }
        previous = now;
    }
    Phase {
        sent: previous.0 - first.0,
        failed: previous.1 - first.1,
        last_failure,
    }
}

/// Returns the numbers of sent and of failed requests; a request of unknown outcome counts as
/// failed.
fn totals(figures: &[load::Stats]) -> (u64, u64) {
    let sent = figures.iter().map(|plan| plan.sent).sum();
    let failed = figures.iter().map(|plan| plan.unknown + plan.refused).sum();
    (sent, failed)
}

/// Returns the sum of the retry counters of all agents.
async fn retry_count(fleet: &Fleet) -> anyhow::Result<u64> {
    let mut sum = 0;
    for upstream in &fleet.upstreams {
        let url = format!("http://{}/metrics", upstream.agent_addr.http);
        let text = reqwest::get(url).await?.text().await?;
        let lines = text.lines().filter(|line| line.contains("retries_total "));
        let counts = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
        sum += counts.sum::<u64>();
    }
    Ok(sum)
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
