//! Fault injection runs: a small fleet under load, a seeded schedule of faults and planned changes,
//! and the number of violations of each invariant.

mod configuration;
mod faults;
mod violations;

use std::time::Duration;

use cassiacross::clock;
use serde_json::{Value, json};
use standins::{
    deployment,
    fleet::{self, Fleet},
    history, load,
};
use tokio::time;

/// Default duration of the load in seconds.
pub const DEFAULT_SECONDS: u64 = 60;

/// Time after which a caller gives up on a request.
const REQUEST_TIMEOUT: clock::Millis = clock::Millis(30_000);
/// Time without data after which a caller considers a feed broken.
const FEED_IDLE_TIMEOUT: clock::Millis = clock::Millis(8_000);
/// Time under load before the first fault.
const WARM_UP: Duration = Duration::from_secs(1);
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// Options of a fault injection run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Whether to print a JSON object as the last line.
    pub json: bool,
    /// Seed of the faults, the request arrivals and the fabric.
    pub seed: u64,
    /// Minimum duration of the load in seconds; each kind of fault is injected in any case.
    pub seconds: u64,
}

/// Runs the fleet under load and faults.
///
/// Returns false if an invariant was violated, a kind of fault was not injected, no request was
/// answered, or no feed was opened.
pub async fn run(options: Options) -> anyhow::Result<bool> {
    let started = clock::Clock::new();
    let fleet_options = fleet::Options {
        seed: options.seed,
        ..fleet::Options::default()
    };
    let mut fleet = Fleet::start(deployment(), fleet_options).await?;
    println!("the fleet is ready after {} ms", started.now().0);
    let recorder = history::Recorder::default();
    let observer = configuration::Observer::start(&fleet, &recorder);
    let mut writer = configuration::Writer::new(&fleet, recorder.clone()).await?;
    let plans = fleet.deployment().mix.clone();
    let load = load::Load::start(load_settings(&fleet, options.seed), &plans, &recorder)?;
    time::sleep(WARM_UP).await;
    let mut injector =
        faults::Injector::new(&mut fleet, &recorder, &observer, &mut writer, options);
    injector.inject_all().await?;
    let log = injector.into_log();
    let figures = load.stop().await;
    let observations = observer.stop();
    let ledger = fleet.ledger()?;
    let report = history::check(&recorder.events(), &ledger);
    let counts = violations::count(&recorder.events(), &ledger, &report, &log);
    let configuration = configuration::check(writer.calls(), &observations, &log.allowances);
    println!("{report}");
    for note in counts
        .notes
        .iter()
        .chain(&configuration.notes)
        .take(MAX_PRINTED_VIOLATIONS)
    {
        println!("  {note}");
    }
    let violations = json!({
        "feeds_broken": counts.feeds_broken,
        "wrong_service": report.wrong_service(),
        "foreign_answers": counts.foreign_answers,
        "not_run_but_run": counts.not_run_but_run,
        "doubled": report.doubled(),
        "leaving_got_work": counts.leaving_got_work,
        "planned_stop_cuts": counts.planned_stop_cuts,
        "config_reverted": configuration.reverted,
        "config_late": configuration.late,
        "unaccounted": counts.unaccounted,
    });
    let is_clean = total(&violations) == 0;
    let passed = is_clean && log.is_complete() && report.answered > 0 && report.feeds > 0;
    let skipped: u64 = figures.iter().map(|plan| plan.skipped).sum();
    let summary = json!({
        "violations": violations,
        "faults": log.counts(),
        "requests": report.requests,
        "answered": report.answered,
        "refused": report.refused,
        "unknown": report.unknown,
        "skipped": skipped,
        "feeds": report.feeds,
        "feeds_lost_with_host": counts.feeds_lost,
        "writes": writer.calls().len(),
        "observations": observations.len(),
        "seed": options.seed,
        "seconds": started.now().to_duration().as_secs_f64(),
        "passed": passed,
    });
    if options.json {
        println!("{summary}");
    }
    Ok(passed)
}

/// Returns the sum of all counts in a JSON object.
fn total(violations: &Value) -> u64 {
    let counts = violations.as_object().into_iter().flatten();
    counts.filter_map(|(_, count)| count.as_u64()).sum()
}

/// Returns the small deployment with three balancers and four upstreams of the record's service.
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

fn load_settings(fleet: &Fleet, seed: u64) -> load::Settings {
    load::Settings {
        ports: fleet.ports.clone(),
        seed,
        id_prefix: format!("prove-{seed}"),
        timeout: REQUEST_TIMEOUT,
        idle_timeout: FEED_IDLE_TIMEOUT,
    }
}
