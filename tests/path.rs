//! The whole path with real processes: callers, fabric, balancers, agents, upstreams.

use cassiacross::clock;
use standins::{
    deployment,
    fleet::{self, Fleet},
    history, load, wait,
};

const PERIOD: clock::Millis = clock::Millis(150);
const PATIENCE: clock::Millis = clock::Millis(60_000);
const SILENCE: clock::Millis = clock::Millis(10_000);

async fn start() -> Fleet {
    let options = fleet::Options {
        period: PERIOD,
        ..fleet::Options::default()
    };
    Fleet::start(deployment::small(), options)
        .await
        .expect("the fleet starts")
}

fn settings(fleet: &Fleet) -> load::Settings {
    load::Settings {
        ports: fleet.ports.clone(),
        seed: 1,
        id_prefix: "path".to_owned(),
        timeout: PATIENCE,
        idle_timeout: SILENCE,
    }
}

async fn carried(load: &load::Load, count: u64) {
    let before = load.stats();
    wait::until("answers of each kind", wait::LIMIT, async || {
        let now = load.stats();
        let mut pairs = now.iter().zip(&before);
        pairs.all(|(now, before)| now.open > 0 || now.answered >= before.answered + count)
    })
    .await
    .expect("callers are answered");
}

async fn report(fleet: &Fleet, load: load::Load, recorder: &history::Recorder) -> history::Report {
    load.stop().await;
    let ledger = fleet.ledger().expect("upstreams tell what they ran");
    history::check(&recorder.events(), &ledger)
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_get_their_whole_answers() {
    let fleet = start().await;
    let recorder = history::Recorder::default();
    let plans = fleet.deployment().mix.clone();
    let load =
        load::Load::start(settings(&fleet), &plans, &recorder).expect("each service has a port");
    carried(&load, 10).await;
    let report = report(&fleet, load, &recorder).await;
    assert_eq!(report.violations, [], "{report}");
    assert_eq!(report.requests, report.answered, "{report}");
    fleet.stop().await.expect("all processes stop gracefully");
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_replacement_of_each_balancer() {
    let mut fleet = start().await;
    let recorder = history::Recorder::default();
    let plans = fleet.deployment().mix.clone();
    let load =
        load::Load::start(settings(&fleet), &plans, &recorder).expect("each service has a port");
    carried(&load, 5).await;
    let names: Vec<_> = fleet
        .balancers
        .iter()
        .map(|one| one.process.name().to_owned())
        .collect();
    for name in names {
        fleet
            .replace_balancer(&name)
            .await
            .expect("a balancer takes the other's place");
        carried(&load, 5).await;
    }
    let report = report(&fleet, load, &recorder).await;
    assert_eq!(report.violations, [], "{report}");
    assert_eq!(report.feeds, 8, "{report}");
    fleet.stop().await.expect("all processes stop gracefully");
}
