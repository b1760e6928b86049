//! Measurements of load balancing, admission control, recovery, configuration changes and control
//! traffic. Most run a complete fleet, with a mechanism switched off and on.

use std::time::Duration;

use cassiacross::clock;
use serde::Deserialize;
use serde_json::{Value, json};
use standins::{
    deployment::{self, Deployment},
    fleet::{self, Fleet},
    history, load, upstream,
};
use tokio::time;

mod change;
mod exchange;
mod flood;
mod imbalance;
mod packets;
mod recovery;

/// Time after which a caller gives up on a request.
const REQUEST_TIMEOUT: clock::Millis = clock::Millis(20_000);
/// Time without data after which a caller considers a feed broken.
const FEED_IDLE_TIMEOUT: clock::Millis = clock::Millis(10_000);
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Options of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Whether to print a JSON object as the last line.
    pub json: bool,
    /// Seed of the request arrivals and the fabric.
    pub seed: u64,
}

/// Result of a measurement.
#[derive(Debug)]
pub struct Measurement {
    /// Figures of all runs.
    pub figures: Value,
    /// Limits that the figures must keep.
    pub target: Value,
    /// Whether the figures meet the target.
    pub met: bool,
}

/// Runs the named measurement; returns false if its target was missed.
pub async fn run(name: &str, options: Options) -> anyhow::Result<bool> {
    let seed = options.seed;
    let measurement = match name {
        "exchange" => return exchange::run(seed, options.json),
        "packets" => return packets::run(seed, options.json),
        "imbalance" => imbalance::run(seed).await?,
        "flood-bulk" => flood::bulk(seed).await?,
        "flood-urgent" => flood::urgent(seed).await?,
        "recovery" => recovery::run(seed).await?,
        "change" => change::run(seed).await?,
        _ => anyhow::bail!("unknown measurement {name}"),
    };
    if options.json {
        let summary = json!({
            "measurement": name, "seed": seed, "machine_load": machine_load(),
            "figures": measurement.figures, "target": measurement.target, "met": measurement.met,
        });
        println!("{summary}");
    }
    Ok(measurement.met)
}

/// Deployment with one kind of request of each traffic class.
struct Scenario {
    deployment: Deployment,
    urgent: load::Workload,
    normal: load::Workload,
    bulk: load::Workload,
}

/// Returns the two deployments that most measurements run on.
fn scenarios() -> [Scenario; 2] {
    let plan = |kind| deployment::open(kind, 0.0);
    [
        Scenario {
            deployment: deployment::coop(),
            urgent: plan(deployment::pickup()),
            normal: plan(deployment::stock_read()),
            bulk: plan(deployment::sheet()),
        },
        Scenario {
            deployment: deployment::terrarium(),
            urgent: plan(deployment::reading()),
            normal: plan(deployment::schedule_read()),
            bulk: plan(deployment::photograph()),
        },
    ]
}

impl Scenario {
    /// Returns the number of requests per second that the service of a plan can process.
    fn capacity(&self, plan: &load::Workload) -> anyhow::Result<f64> {
        let service = self.deployment.service(plan.kind.service);
        let service = service
            .ok_or_else(|| anyhow::anyhow!("the service of the request plan is not deployed"))?;
        Ok(service.capacity(&plan.kind))
    }

    /// Starts a fleet whose agents use the given policy settings.
    async fn start(&self, seed: u64, policy: &Value) -> anyhow::Result<Fleet> {
        let options = fleet::Options {
            seed,
            log_filter: "warn".to_owned(),
            policy: policy.clone(),
            ..fleet::Options::default()
        };
        Ok(Fleet::start(self.deployment.clone(), options).await?)
    }
}

/// Returns a copy of the plan with the given processing time and mean request rate.
fn with_rate(plan: &load::Workload, work_ms: u64, per_second: f64) -> load::Workload {
    let mut plan = plan.clone();
    plan.kind.work = clock::Millis(work_ms);
    plan.arrival = load::Arrival::Open { per_second };
    plan
}

/// Sends requests for a warm-up and then for `span`; returns the figures of `span` only, and the
/// utilisation of each upstream during it.
async fn run_load(
    fleet: &Fleet,
    seed: u64,
    label: &str,
    plans: &[load::Workload],
    warm_up: Duration,
    span: Duration,
) -> anyhow::Result<(Vec<load::Stats>, Vec<UpstreamUsage>)> {
    let settings = load::Settings {
        ports: fleet.ports.clone(),
        seed,
        id_prefix: format!("{label}-{seed}"),
        timeout: REQUEST_TIMEOUT,
        idle_timeout: FEED_IDLE_TIMEOUT,
    };
    let recorder = history::Recorder::default();
    let warm_up_load = load::Load::start(settings.clone(), plans, &recorder)?;
    time::sleep(warm_up).await;
    let before = executions(fleet).await?;
    let measured_settings = load::Settings {
        id_prefix: format!("{label}-measured-{seed}"),
        seed: seed ^ 1 << 40,
        ..settings
    };
    let load = load::Load::start(measured_settings, plans, &recorder)?;
    let end = time::Instant::now() + span;
    let _figures = tokio::join!(warm_up_load.stop(), time::sleep_until(end));
    let after = executions(fleet).await?;
    let figures = load.stop().await;
    let usage = fleet
        .upstreams
        .iter()
        .zip(before.iter().zip(&after))
        .map(|(upstream, (before, after))| UpstreamUsage {
            name: upstream.name.clone(),
            service: upstream.config.service.clone(),
            utilisation: busy_ms(&after[before.len()..])
                / (f64::from(upstream.config.slots) * span.as_secs_f64() * MILLIS_PER_SECOND),
            runs: after.len() - before.len(),
        })
        .collect();
    Ok((figures, usage))
}

/// Load of one upstream; `utilisation` is the used share of its slot time.
#[derive(Clone, Debug, serde::Serialize)]
struct UpstreamUsage {
    name: String,
    #[serde(skip)]
    service: String,
    utilisation: f64,
    runs: usize,
}

/// Returns the execution ledger of each upstream, in the order of the fleet.
async fn executions(fleet: &Fleet) -> anyhow::Result<Vec<Vec<upstream::Execution>>> {
    let mut all = Vec::new();
    for upstream in &fleet.upstreams {
        let listed = fleet
            .client
            .get(upstream.upstream_addr.control, "/ledger")
            .await?;
        all.push(Vec::deserialize(listed)?);
    }
    Ok(all)
}

/// Returns the total processing time of completed executions, in milliseconds.
///
/// Executions that still run at the end are left out. They compensate for the part of the first
/// executions that lies before the measurement.
#[expect(clippy::cast_precision_loss, reason = "spans are small")]
fn busy_ms(executions: &[upstream::Execution]) -> f64 {
    let spans = executions
        .iter()
        .filter_map(|run| Some(run.ended_ms? - run.started_ms));
    spans.map(|span| span as f64).sum()
}

fn latency_ms(figures: &load::Stats, quantile: f64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "latencies are small")]
    let us = figures.latency.value_at_quantile(quantile) as f64;
    us / MILLIS_PER_SECOND
}

fn summary(figures: &load::Stats, span: Duration) -> Value {
    json!({
        "kind": figures.kind, "sent": figures.sent, "answered": figures.answered,
        "late": figures.late, "refused": figures.refused, "unknown": figures.unknown,
        "skipped": figures.skipped, "goodput_per_s": goodput(figures, span),
        "p50_ms": latency_ms(figures, 0.5), "p99_ms": latency_ms(figures, 0.99),
    })
}

/// Returns the number of requests per second that were answered within their deadline.
#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn goodput(figures: &load::Stats, span: Duration) -> f64 {
    figures.answered.saturating_sub(figures.late) as f64 / span.as_secs_f64()
}

/// Returns the machine's load average over one minute; figures of a busy machine are less reliable.
fn machine_load() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|text| text.parse().ok()).unwrap_or(f64::NAN)
}
