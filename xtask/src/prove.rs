//! Proof runs: a small fleet under work, with a seeded mix of faults, and a
//! count of violations for each point that must always hold.

mod configuration;
mod faults;
mod judge;

use std::time::Duration;

use cassiacross::clock;
use serde_json::{Value, json};
use standins::{
    deployment,
    fleet::{self, Fleet},
    history, load,
};
use tokio::time;

/// Seconds of load where none are asked for.
pub const SECONDS: u64 = 60;

const PATIENCE: clock::Millis = clock::Millis(30_000);
const SILENCE: clock::Millis = clock::Millis(8_000);
const WARM_UP: Duration = Duration::from_secs(1);
const SHOWN: usize = 20;

/// What a proof run is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// A JSON object as the last line.
    pub json: bool,
    /// Seed of faults, arrivals and fabric.
    pub seed: u64,
    /// Seconds of load.
    pub seconds: u64,
}

/// Runs the mix; false if a rule was broken or a kind of fault was not injected.
pub async fn run(options: Options) -> anyhow::Result<bool> {
    let started = clock::Clock::new();
    let fleet_options = fleet::Options {
        seed: options.seed,
        ..fleet::Options::default()
    };
    let mut fleet = Fleet::start(deployment(), fleet_options).await?;
    println!("the fleet is up after {} ms", started.now().0);
    let recorder = history::Recorder::default();
    let observer = configuration::Observer::start(&fleet, &recorder);
    let mut writer = configuration::Writer::new(&fleet, recorder.clone()).await?;
    let plans = fleet.deployment().mix.clone();
    let load = load::Load::start(settings(&fleet, options.seed), &plans, &recorder)?;
    time::sleep(WARM_UP).await;
    let mut run = faults::Run::new(&mut fleet, &recorder, &observer, &mut writer, options);
    run.inject_all().await?;
    let log = run.finish();
    let figures = load.stop().await;
    let seen = observer.stop();
    let ledger = fleet.ledger()?;
    let report = history::check(&recorder.events(), &ledger);
    let verdict = judge::judge(&recorder.events(), &ledger, &report, &log);
    let configuration = configuration::check(writer.calls(), &seen, &log.excuses);
    println!("{report}");
    for line in verdict.notes.iter().chain(&configuration.notes).take(SHOWN) {
        println!("  {line}");
    }
    let violations = json!({
        "feeds_broken": verdict.feeds_broken,
        "wrong_service": report.wrong_service(),
        "foreign_answers": verdict.foreign_answers,
        "not_run_but_run": verdict.not_run_but_run,
        "doubled": report.doubled(),
        "leaving_got_work": verdict.leaving_got_work,
        "planned_stop_cuts": verdict.planned_stop_cuts,
        "config_reverted": configuration.reverted,
        "config_late": configuration.late,
        "unaccounted": verdict.unaccounted,
    });
    let is_clean = count(&violations) == 0;
    let passed = is_clean && log.is_complete() && report.answered > 0 && report.feeds > 0;
    let skipped: u64 = figures.iter().map(|one| one.skipped).sum();
    let summary = json!({
        "violations": violations,
        "faults": log.counts(),
        "requests": report.requests,
        "answered": report.answered,
        "refused": report.refused,
        "unknown": report.unknown,
        "skipped": skipped,
        "feeds": report.feeds,
        "feeds_lost_with_host": verdict.feeds_lost,
        "writes": writer.calls().len(),
        "observations": seen.len(),
        "seed": options.seed,
        "seconds": started.now().to_duration().as_secs_f64(),
        "passed": passed,
    });
    if options.json {
        println!("{summary}");
    }
    Ok(passed)
}

fn count(violations: &Value) -> u64 {
    let counts = violations.as_object().into_iter().flatten();
    counts.filter_map(|(_, count)| count.as_u64()).sum()
}

fn deployment() -> deployment::Deployment {
    let mut small = deployment::small();
    small.balancers = 3;
    for service in &mut small.services {
        if service.name == "ledger" {
            service.speeds = deployment::even_speeds(4);
        }
    }
    small
}

fn settings(fleet: &Fleet, seed: u64) -> load::Settings {
    load::Settings {
        ports: fleet.ports.clone(),
        seed,
        id_prefix: format!("prove-{seed}"),
        timeout: PATIENCE,
        idle_timeout: SILENCE,
    }
}
