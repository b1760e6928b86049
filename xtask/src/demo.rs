//! Demo: runs a complete fleet under normal load, replaces a balancer and drains an upstream
//! during the run, and checks the recorded requests at the end.

use std::time::Duration;

use cassiacross::clock;
use serde_json::{Value, json};
use standins::{
    deployment,
    fleet::{self, Fleet},
    history::{self, Violation},
    load,
};
use tokio::time;

/// Default duration of the load in seconds.
const DEFAULT_SECONDS: u64 = 20;
/// Default duration of the load with `--small`, in seconds.
const SMALL_SECONDS: u64 = 9;
/// Time after which a caller gives up on a request.
const REQUEST_TIMEOUT: clock::Millis = clock::Millis(30_000);
/// Time without data after which a caller considers a feed broken.
const FEED_IDLE_TIMEOUT: clock::Millis = clock::Millis(5_000);
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
const MAX_PRINTED_VIOLATIONS: usize = 10;

/// Options of the demo.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Whether to start fewer processes and send fewer requests.
    pub small: bool,
    /// Whether to print a JSON object as the last line.
    pub json: bool,
    /// Whether to keep the fleet running until interrupted, without load.
    pub hold: bool,
    /// Seed of the request arrivals and the fabric.
    pub seed: u64,
    /// Duration of the load in seconds; the default depends on `small`.
    pub seconds: Option<u64>,
}

/// Runs the demo; returns false if a check failed.
pub async fn run(options: Options) -> anyhow::Result<bool> {
    let deployment = if options.small {
        deployment::small()
    } else {
        deployment::coop()
    };
    println!("starting the fleet of deployment {}", deployment.name);
    let fleet_options = fleet::Options {
        seed: options.seed,
        ..fleet::Options::default()
    };
    let mut fleet = Fleet::start(deployment, fleet_options).await?;
    print_addresses(&fleet);
    if options.hold {
        println!("the fleet runs until this command is interrupted");
        std::future::pending::<()>().await;
    }
    let clock = clock::Clock::new();
    let recorder = history::Recorder::default();
    let plans = fleet.deployment().mix.clone();
    let load = load::Load::start(load_settings(&fleet, options.seed), &plans, &recorder)?;
    run_with_changes(&mut fleet, &load, duration_seconds(options)).await?;
    let figures = load.stop().await;
    let report = history::check(&recorder.events(), &fleet.ledger()?);
    let elapsed = clock.now();
    fleet.stop().await?;
    print_summary(&figures, &report);
    let passed = passed(&report);
    if options.json {
        println!("{}", summary(options, &figures, &report, elapsed, passed));
    }
    Ok(passed)
}

/// Reports the load every second, replaces a balancer after a third of the time and drains an
/// upstream after two thirds.
async fn run_with_changes(
    fleet: &mut Fleet,
    load: &load::Load,
    seconds: u64,
) -> anyhow::Result<()> {
    let mut ticks = time::interval(REPORT_INTERVAL);
    ticks.tick().await;
    for second in 1..=seconds {
        ticks.tick().await;
        print_progress(second, &load.stats());
        if second == seconds / 3 {
            replace_balancer(fleet).await?;
        }
        if second == seconds * 2 / 3 {
            drain_upstream(fleet).await?;
        }
    }
    Ok(())
}

async fn replace_balancer(fleet: &mut Fleet) -> anyhow::Result<()> {
    let old = fleet.balancers[0].process.name().to_owned();
    let new = fleet.replace_balancer(&old).await?;
    println!("      {old} stopped and replaced by {new}");
    Ok(())
}

async fn drain_upstream(fleet: &Fleet) -> anyhow::Result<()> {
    let upstream = &fleet.upstreams[fleet.upstreams.len() - 1];
    fleet.run_operator(&["drain", &upstream.name]).await?;
    println!("      draining {}", upstream.name);
    Ok(())
}

fn load_settings(fleet: &Fleet, seed: u64) -> load::Settings {
    load::Settings {
        ports: fleet.ports.clone(),
        seed,
        id_prefix: format!("demo-{seed}"),
        timeout: REQUEST_TIMEOUT,
        idle_timeout: FEED_IDLE_TIMEOUT,
    }
}

fn duration_seconds(options: Options) -> u64 {
    let default = if options.small {
        SMALL_SECONDS
    } else {
        DEFAULT_SECONDS
    };
    options.seconds.unwrap_or(default)
}

fn passed(report: &history::Report) -> bool {
    report.violations.is_empty() && report.answered > 0 && report.feeds > 0
}

fn print_addresses(fleet: &Fleet) {
    println!("platform  http://{}", fleet.platform);
    println!("fabric    http://{}", fleet.fabric);
    for balancer in &fleet.balancers {
        let name = balancer.process.name();
        println!("{name}  http://{}/state", balancer.addr.http);
    }
    for upstream in &fleet.upstreams {
        let http = upstream.agent_addr.http;
        println!("agent of {}  http://{http}/state", upstream.name);
    }
    for (service, port) in &fleet.ports {
        println!("service {service}  http://{port}/");
    }
    let addresses: Vec<_> = fleet
        .balancers
        .iter()
        .map(|balancer| balancer.addr.http.to_string())
        .collect();
    println!("export CASSIACROSS_BALANCERS={}", addresses.join(","));
    println!("export CASSIACROSS_TOKEN='{}'", fleet::OPERATOR_TOKEN);
}

fn print_progress(second: u64, figures: &[load::Stats]) {
    let parts: Vec<_> = figures.iter().map(progress).collect();
    println!("{second:>3} s  {}", parts.join("; "));
}

fn progress(figures: &load::Stats) -> String {
    if figures.open > 0 || figures.broken > 0 {
        return format!(
            "{} {} open, {} broken",
            figures.kind, figures.open, figures.broken
        );
    }
    format!(
        "{} {} answered, {} refused, {} unknown, p99 {} ms",
        figures.kind,
        figures.answered,
        figures.refused,
        figures.unknown,
        figures.latency.value_at_quantile(0.99) / 1_000,
    )
}

fn print_summary(figures: &[load::Stats], report: &history::Report) {
    println!();
    println!(
        "{:<14}{:>8}{:>10}{:>9}{:>9}{:>7}{:>10}{:>10}",
        "kind", "sent", "answered", "refused", "unknown", "late", "p50 ms", "p99 ms"
    );
    for row in figures {
        println!(
            "{:<14}{:>8}{:>10}{:>9}{:>9}{:>7}{:>10}{:>10}",
            row.kind,
            row.sent,
            row.answered,
            row.refused,
            row.unknown,
            row.late,
            row.latency.value_at_quantile(0.5) / 1_000,
            row.latency.value_at_quantile(0.99) / 1_000,
        );
    }
    println!("{report}");
    for violation in report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  {violation:?}");
    }
}

fn summary(
    options: Options,
    figures: &[load::Stats],
    report: &history::Report,
    elapsed: clock::Millis,
    passed: bool,
) -> Value {
    let unaccounted = report.count(|violation| matches!(violation, Violation::Unaccounted(_)));
    let kinds: Vec<_> = figures.iter().map(kind_summary).collect();
    json!({
        "requests": report.requests,
        "answered": report.answered,
        "refused": report.refused,
        "unknown": report.unknown,
        "wrong_service": report.wrong_service(),
        "doubled": report.doubled(),
        "feeds": report.feeds,
        "broken_feeds": report.broken_feeds(),
        "unaccounted": unaccounted,
        "violations": report.violations.len(),
        "seconds": elapsed.to_duration().as_secs_f64(),
        "seed": options.seed,
        "kinds": kinds,
        "passed": passed,
    })
}

fn kind_summary(figures: &load::Stats) -> Value {
    json!({
        "kind": figures.kind,
        "sent": figures.sent,
        "answered": figures.answered,
        "late": figures.late,
        "p50_us": figures.latency.value_at_quantile(0.5),
        "p99_us": figures.latency.value_at_quantile(0.99),
    })
}
