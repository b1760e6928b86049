//! End-to-end tests over real processes: callers, network fabric, balancers, agents and upstreams.

use cassiacross::clock;
use standins::{
    deployment,
    fleet::{self, Fleet},
    history, load, wait,
};

/// Heartbeat period of the fleet.
const PERIOD: clock::Millis = clock::Millis(150);
/// Timeout after which a caller gives up on an answer.
const ANSWER_TIMEOUT: clock::Millis = clock::Millis(60_000);
/// Time without a line after which a feed counts as broken.
const FEED_TIMEOUT: clock::Millis = clock::Millis(10_000);

async fn start_fleet() -> Fleet {
    let options = fleet::Options {
        period: PERIOD,
        ..fleet::Options::default()
    };
    Fleet::start(deployment::small(), options)
        .await
        .expect("the fleet starts")
}

fn load_settings(fleet: &Fleet) -> load::Settings {
    load::Settings {
        ports: fleet.ports.clone(),
        seed: 1,
        id_prefix: "path".to_owned(),
        timeout: ANSWER_TIMEOUT,
        idle_timeout: FEED_TIMEOUT,
    }
}

/// Waits until each kind of request has an open feed or `count` more answers.
async fn wait_for_answers(load: &load::Load, count: u64) {
    let before = load.stats();
    wait::until("answers to each kind of request", wait::LIMIT, async || {
        let now = load.stats();
        let mut pairs = now.iter().zip(&before);
        pairs.all(|(now, before)| now.open > 0 || now.answered >= before.answered + count)
    })
    .await
    .expect("callers get answers");
}

/// Stops the load and checks the recorded history against the upstreams' ledgers.
async fn stop_and_check(
    fleet: &Fleet,
    load: load::Load,
    recorder: &history::Recorder,
) -> history::Report {
    load.stop().await;
    let ledger = fleet.ledger().expect("upstreams return their ledgers");
    history::check(&recorder.events(), &ledger)
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_get_complete_answers() {
    let fleet = start_fleet().await;
    let recorder = history::Recorder::default();
    let plans = fleet.deployment().mix.clone();
    let load = load::Load::start(load_settings(&fleet), &plans, &recorder)
        .expect("each service has a port");
    wait_for_answers(&load, 10).await;
    let report = stop_and_check(&fleet, load, &recorder).await;
    assert_eq!(report.violations, [], "{report}");
    assert_eq!(report.requests, report.answered, "{report}");
    fleet.stop().await.expect("all processes stop gracefully");
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_the_replacement_of_each_balancer() {
    let mut fleet = start_fleet().await;
    let recorder = history::Recorder::default();
    let plans = fleet.deployment().mix.clone();
    let load = load::Load::start(load_settings(&fleet), &plans, &recorder)
        .expect("each service has a port");
    wait_for_answers(&load, 5).await;
    let names: Vec<_> = fleet
        .balancers
        .iter()
        .map(|balancer| balancer.process.name().to_owned())
        .collect();
    for name in names {
        fleet
            .replace_balancer(&name)
            .await
            .expect("the balancer is replaced");
        wait_for_answers(&load, 5).await;
    }
    let report = stop_and_check(&fleet, load, &recorder).await;
    assert_eq!(report.violations, [], "{report}");
    assert_eq!(report.feeds, 8, "{report}");
    fleet.stop().await.expect("all processes stop gracefully");
}
