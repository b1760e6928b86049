//! Measurements of whole fleets, each rule against its absence.

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

const PATIENCE: clock::Millis = clock::Millis(20_000);
const SILENCE: clock::Millis = clock::Millis(10_000);
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// What a measurement is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// A JSON object as the last line.
    pub json: bool,
    /// Seed of arrivals and fabric.
    pub seed: u64,
}

/// What a measurement found.
#[derive(Debug)]
pub struct Finding {
    /// Figures of all runs.
    pub figures: Value,
    /// What the figures are held against.
    pub target: Value,
    /// Whether they meet it.
    pub met: bool,
}

/// Runs the measurement of a name; false if its target was missed.
pub async fn run(name: &str, options: Options) -> anyhow::Result<bool> {
    let seed = options.seed;
    let finding = match name {
        "exchange" => return exchange::run(seed, options.json),
        "packets" => return packets::run(seed, options.json),
        "imbalance" => imbalance::run(seed).await?,
        "flood-bulk" => flood::bulk(seed).await?,
        "flood-urgent" => flood::urgent(seed).await?,
        "recovery" => recovery::run(seed).await?,
        "change" => change::run(seed).await?,
        _ => anyhow::bail!("no measurement is named {name}"),
    };
    if options.json {
        let summary = json!({
            "measurement": name, "seed": seed, "machine_load": machine_load(),
            "figures": finding.figures, "target": finding.target, "met": finding.met,
        });
        println!("{summary}");
    }
    Ok(finding.met)
}

/// A deployment's main service and what its callers send.
struct Site {
    deployment: Deployment,
    urgent: load::Workload,
    normal: load::Workload,
    bulk: load::Workload,
}

fn sites() -> [Site; 2] {
    let plan = |kind| deployment::open(kind, 0.0);
    [
        Site {
            deployment: deployment::coop(),
            urgent: plan(deployment::pickup()),
            normal: plan(deployment::stock_read()),
            bulk: plan(deployment::sheet()),
        },
        Site {
            deployment: deployment::terrarium(),
            urgent: plan(deployment::reading()),
            normal: plan(deployment::schedule_read()),
            bulk: plan(deployment::photograph()),
        },
    ]
}

impl Site {
    /// Requests a second that the service of a plan can run.
    fn capacity(&self, plan: &load::Workload) -> anyhow::Result<f64> {
        let service = self.deployment.service(plan.kind.service);
        let service = service.ok_or_else(|| anyhow::anyhow!("service is not deployed"))?;
        Ok(service.capacity(&plan.kind))
    }

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

/// The same kind of request with other work, at a rate.
fn plan(plan: &load::Workload, work: u64, per_second: f64) -> load::Workload {
    let mut plan = plan.clone();
    plan.kind.work = clock::Millis(work);
    plan.arrival = load::Arrival::Open { per_second };
    plan
}

/// Runs plans for a while and gives their figures, and what each upstream was busy with.
async fn observe(
    fleet: &Fleet,
    seed: u64,
    label: &str,
    plans: &[load::Workload],
    warm: Duration,
    span: Duration,
) -> anyhow::Result<(Vec<load::Stats>, Vec<Busy>)> {
    let settings = load::Settings {
        ports: fleet.ports.clone(),
        seed,
        id_prefix: format!("{label}-{seed}"),
        timeout: PATIENCE,
        idle_timeout: SILENCE,
    };
    let recorder = history::Recorder::default();
    let warming = load::Load::start(settings.clone(), plans, &recorder)?;
    time::sleep(warm).await;
    let before = executions(fleet).await?;
    let measured = load::Settings {
        id_prefix: format!("{label}-measured-{seed}"),
        seed: seed ^ 1 << 40,
        ..settings
    };
    let load = load::Load::start(measured, plans, &recorder)?;
    let end = time::Instant::now() + span;
    let _warmed = tokio::join!(warming.stop(), time::sleep_until(end));
    let after = executions(fleet).await?;
    let figures = load.stop().await;
    let busy = fleet
        .upstreams
        .iter()
        .zip(before.iter().zip(&after))
        .map(|(upstream, (before, after))| Busy {
            name: upstream.name.clone(),
            service: upstream.config.service.clone(),
            utilisation: busy_ms(&after[before.len()..])
                / (f64::from(upstream.config.slots) * span.as_secs_f64() * MILLIS_PER_SECOND),
            runs: after.len() - before.len(),
        })
        .collect();
    Ok((figures, busy))
}

/// How busy an upstream was.
#[derive(Clone, Debug, serde::Serialize)]
struct Busy {
    name: String,
    #[serde(skip)]
    service: String,
    utilisation: f64,
    runs: usize,
}

async fn executions(fleet: &Fleet) -> anyhow::Result<Vec<Vec<upstream::Execution>>> {
    let mut all = Vec::new();
    for one in &fleet.upstreams {
        let listed = fleet
            .client
            .get(one.upstream_addr.control, "/ledger")
            .await?;
        all.push(Vec::deserialize(listed)?);
    }
    Ok(all)
}

/// Slot time of executions; those that still run stand for those that ran before.
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

/// Answers a second that came in time.
#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn goodput(figures: &load::Stats, span: Duration) -> f64 {
    figures.answered.saturating_sub(figures.late) as f64 / span.as_secs_f64()
}

/// The machine's load average over a minute, to judge a figure by.
fn machine_load() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|text| text.parse().ok()).unwrap_or(f64::NAN)
}
