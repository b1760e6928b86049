//! Proofs with real processes that flows outlive planned changes and reach their own service.

use cassiacross::clock;
use serde_json::{Value, json};
use standins::{
    deployment, faults,
    fleet::{self, Fleet},
    history, host, load,
    process::Signal,
    proxy, wait,
};

const PERIOD: clock::Millis = clock::Millis(150);
const PATIENCE: clock::Millis = clock::Millis(30_000);
const SILENCE: clock::Millis = clock::Millis(6_000);
const FEEDS: u32 = 8;
/// Time after which a leaving upstream gets nothing new.
const LEAVING: clock::Millis = clock::Millis(3_000);
const LOSS: faults::Faults = faults::Faults {
    drop: 0.02,
    delay_ms: 0,
    reorder_ms: 5,
    duplicate: 0.02,
    corrupt: 0.0,
};
const NOISE: faults::Faults = faults::Faults {
    drop: 0.0,
    delay_ms: 0,
    reorder_ms: 5,
    duplicate: 0.2,
    corrupt: 0.05,
};

/// A fleet behind proxies, under load.
struct Bench {
    fleet: Fleet,
    proxies: proxy::fleet::Proxies,
    recorder: history::Recorder,
    load: load::Load,
}

impl Bench {
    async fn start(balancers: usize) -> Self {
        let plans = [
            deployment::feeds(deployment::stock_feed(), FEEDS),
            deployment::open(deployment::pickup(), 10.0),
            deployment::open(deployment::stock_read(), 10.0),
            deployment::open(deployment::sheet(), 3.0),
        ];
        Self::with(balancers, &plans).await
    }

    /// A fleet under load of which the first plan is one of feeds.
    async fn with(balancers: usize, plans: &[load::Workload]) -> Self {
        let proxies = proxy::fleet::Proxies::new(11);
        let options = fleet::Options {
            period: PERIOD,
            interposer: Some(proxies.interposer()),
            ..fleet::Options::default()
        };
        let mut deployment = deployment::small();
        deployment.balancers = balancers;
        let fleet = Fleet::start(deployment, options).await;
        let fleet = fleet.expect("the fleet starts");
        let recorder = history::Recorder::default();
        let settings = load::Settings {
            ports: fleet.ports.clone(),
            seed: 1,
            id_prefix: "flows".to_owned(),
            timeout: PATIENCE,
            idle_timeout: SILENCE,
        };
        let load = load::Load::start(settings, plans, &recorder);
        let bench = Self {
            fleet,
            proxies,
            recorder,
            load: load.expect("each service has a port"),
        };
        bench.opened().await;
        bench
    }

    async fn opened(&self) {
        wait::until("all feeds", wait::LIMIT, async || {
            self.load.stats()[0].open == u64::from(FEEDS)
        })
        .await
        .expect("all feeds open");
    }

    /// Waits until each kind of request has been carried again.
    async fn carried(&self) {
        let before = self.load.stats();
        wait::until("answers of each kind", wait::LIMIT, async || {
            let now = self.load.stats();
            let mut pairs = now.iter().zip(&before).skip(1);
            pairs.all(|(now, before)| now.answered >= before.answered + 3)
        })
        .await
        .expect("callers are answered");
    }

    async fn operator(&self, args: &[&str]) {
        let done = self.fleet.run_operator(args).await;
        done.expect("the operator's change is accepted");
        self.carried().await;
    }

    async fn add_upstream(&mut self, name: &str, service: &str) {
        let plan = host::UpstreamConfig {
            service: service.to_owned(),
            domain: "valley-a".to_owned(),
            slots: 4,
            connections: 2_000,
            speed: 2.0,
        };
        let added = self
            .fleet
            .add_upstream(name, &plan, host::ListenAddrs::default());
        added.await.expect("an upstream starts");
        self.agent_is(name, "ready").await;
    }

    async fn agent_is(&self, name: &str, state: &str) {
        let mut upstreams = self.fleet.upstreams.iter();
        let upstream = upstreams
            .find(|one| one.name == name)
            .expect("a known upstream");
        let http = upstream.agent_addr.http.into();
        wait::until(state, wait::LIMIT, async || {
            let dump = self.fleet.client.state(http).await;
            dump.is_ok_and(|dump| dump["member"]["state"] == state)
        })
        .await
        .expect("the agent's state changes");
    }

    async fn dumps(&self) -> Vec<String> {
        let mut dumps = Vec::new();
        for balancer in &self.fleet.balancers {
            let dump = self.fleet.client.state(balancer.addr.http.into()).await;
            dumps.push(dump.expect("a balancer dumps its state").to_string());
        }
        dumps
    }

    /// Packets that balancers dropped because no service has their destination.
    async fn lost(&self) -> u64 {
        let mut lost = 0;
        for balancer in &self.fleet.balancers {
            let metrics = reqwest::get(format!("http://{}/metrics", balancer.addr.http)).await;
            let text = metrics.expect("metrics are told").text().await;
            let text = text.expect("metrics are text");
            let line = text
                .lines()
                .find(|line| line.contains("reason=\"service\""));
            let count = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
            lost += count.unwrap_or(0);
        }
        lost
    }

    /// What an upstream has run so far.
    fn runs(&self, name: &str) -> usize {
        let ledger = self.fleet.ledger();
        let runs = ledger.expect("upstreams tell what they ran").executions;
        runs.iter().filter(|run| run.upstream == name).count()
    }

    fn record(&self, name: &str) -> Value {
        let service = self.fleet.deployment().service(name);
        service.expect("a known service").record.clone()
    }

    /// Lets feeds run for longer than a caller bears silence, and judges what was seen.
    async fn judge(self) -> history::Report {
        tokio::time::sleep(SILENCE.to_duration()).await;
        self.carried().await;
        self.load.stop().await;
        let ledger = self.fleet.ledger();
        let ledger = ledger.expect("upstreams tell what they ran");
        let report = history::check(&self.recorder.events(), &ledger);
        println!("{report}");
        report
    }
}

fn assert_whole(report: &history::Report) {
    assert_eq!(report.violations, [], "{report}");
    assert_eq!(report.feeds, FEEDS as usize, "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_drains_and_additions_under_loss() {
    let mut bench = Bench::start(2).await;
    bench.proxies.set_faults(LOSS);
    bench.operator(&["drain", "ledger-1"]).await;
    bench.add_upstream("ledger-4", "ledger").await;
    bench.operator(&["drain", "ledger-2"]).await;
    bench.operator(&["undrain", "ledger-1"]).await;
    bench.operator(&["drain", "ledger-3"]).await;
    bench.add_upstream("ledger-5", "ledger").await;
    assert_whole(&bench.judge().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_a_drain_that_one_balancer_does_not_hear_of() {
    let bench = Bench::start(2).await;
    bench.proxies.isolate("balancer-1", true);
    bench.operator(&["drain", "ledger-1"]).await;
    bench.operator(&["drain", "ledger-2"]).await;
    bench.proxies.isolate("balancer-1", false);
    bench.operator(&["undrain", "ledger-1"]).await;
    assert_whole(&bench.judge().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_replacement_of_each_balancer_twice_over() {
    let mut bench = Bench::start(2).await;
    bench.proxies.set_faults(LOSS);
    for index in 1..=4 {
        let name = format!("balancer-{index}");
        let replaced = bench.fleet.replace_balancer(&name).await;
        replaced.expect("a balancer takes the other's place");
        bench.carried().await;
    }
    assert_whole(&bench.judge().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn packets_of_feeds_arrive_after_a_move_of_their_address() {
    let feeds = [deployment::feeds(deployment::stock_feed(), FEEDS)];
    let bench = Bench::with(2, &feeds).await;
    let mut record = bench.record("ledger");
    record["address"] = json!("10.9.0.77:80");
    let applied = bench.fleet.apply("ledger", &record).await;
    applied.expect("the record is accepted");
    wait::until("the move", wait::LIMIT, async || {
        let dumps = bench.dumps().await;
        dumps.iter().all(|dump| dump.contains("10.9.0.77:80"))
    })
    .await
    .expect("balancers hear of the move");
    // The agents go on sending for a minute without acknowledgements, so that the callers see no break yet.
    let before = bench.lost().await;
    tokio::time::sleep(SILENCE.to_duration()).await;
    assert_eq!(bench.lost().await, before, "packets of live feeds are lost");
}

#[tokio::test(flavor = "multi_thread")]
async fn packets_stay_with_their_service_when_an_agents_address_is_taken_over() {
    let mut bench = Bench::start(2).await;
    bench.proxies.set_faults(NOISE);
    let intake = bench.fleet.upstreams[0].agent_addr.packets.into();
    bench.proxies.redirect("ledger-1", intake);
    bench.carried().await;
    bench.carried().await;
    let stopped = bench.fleet.stop_upstream("intake-2").await;
    stopped.expect("an upstream stops gracefully");
    bench.load.stop().await;
    let ledger = bench.fleet.ledger().expect("upstreams tell what they ran");
    let report = history::check(&bench.recorder.events(), &ledger);
    println!("{report}");
    assert_eq!(report.wrong_service(), 0, "{report}");
    let client = &bench.fleet.client;
    let dump = client
        .state(bench.fleet.upstreams[0].agent_addr.http.into())
        .await;
    let flows = dump.expect("an agent dumps its state")["flows"]["owned"].clone();
    let foreign = |flow: &Value| flow["flow"]["service"] == "10.9.0.1:80";
    let owned = flows.as_array().expect("a list of flows");
    assert!(!owned.iter().any(foreign), "{owned:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stops_of_two_processes_cut_no_request() {
    let mut bench = Bench::start(3).await;
    let signal = |fleet: &mut Fleet, name: &str| {
        let sent = fleet.signal(name, Signal::Term);
        sent.expect("a known process");
    };
    signal(&mut bench.fleet, "balancer-1");
    signal(&mut bench.fleet, "agent-ledger-1");
    bench.agent_is("ledger-1", "draining").await;
    bench.carried().await;
    signal(&mut bench.fleet, "balancer-2");
    signal(&mut bench.fleet, "agent-ledger-2");
    bench.agent_is("ledger-2", "draining").await;
    bench.carried().await;
    let report = bench.judge().await;
    assert_whole(&report);
    assert_eq!(report.requests, report.answered, "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_upstream_gets_no_new_work_with_a_balancer_cut_off_and_the_platform_down() {
    let mut bench = Bench::start(2).await;
    let down = json!({"down": true});
    let told = bench
        .fleet
        .client
        .post(bench.fleet.platform, "/faults", &down);
    told.await.expect("the platform takes faults");
    bench.proxies.isolate("balancer-1", true);
    let sent = bench.fleet.signal("agent-ledger-1", Signal::Term);
    sent.expect("a known process");
    tokio::time::sleep(LEAVING.to_duration()).await;
    let before = bench.runs("ledger-1");
    for _ in 0..5 {
        bench.carried().await;
    }
    assert_eq!(bench.runs("ledger-1"), before, "new work came");
    let report = bench.judge().await;
    assert_whole(&report);
}
