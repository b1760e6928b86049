//! End-to-end tests with real processes: open flows survive planned changes, and packets reach only
//! the service they are addressed to.

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
/// Time after which a caller gives up on a request.
const REQUEST_TIMEOUT: clock::Millis = clock::Millis(30_000);
/// Time without data after which a caller considers a feed broken.
const FEED_IDLE_TIMEOUT: clock::Millis = clock::Millis(6_000);
const FEED_COUNT: u32 = 8;
/// Time after the start of a drain from which the upstream must get no new requests.
const DRAIN_TIME: clock::Millis = clock::Millis(3_000);
const LOSS: faults::Faults = faults::Faults {
    drop: 0.02,
    delay_ms: 0,
    reorder_ms: 5,
    duplicate: 0.02,
    corrupt: 0.0,
};
const CORRUPTION: faults::Faults = faults::Faults {
    drop: 0.0,
    delay_ms: 0,
    reorder_ms: 5,
    duplicate: 0.2,
    corrupt: 0.05,
};

/// Fleet under load, with proxies between its processes.
struct TestFleet {
    fleet: Fleet,
    proxies: proxy::fleet::Proxies,
    recorder: history::Recorder,
    load: load::Load,
}

impl TestFleet {
    async fn start(balancers: usize) -> Self {
        let plans = [
            deployment::feeds(deployment::stock_feed(), FEED_COUNT),
            deployment::open(deployment::pickup(), 10.0),
            deployment::open(deployment::stock_read(), 10.0),
            deployment::open(deployment::sheet(), 3.0),
        ];
        Self::start_with(balancers, &plans).await
    }

    /// Starts a fleet under load and waits until all feeds are open; the first plan must open
    /// [`FEED_COUNT`] feeds.
    async fn start_with(balancers: usize, plans: &[load::Workload]) -> Self {
        let proxies = proxy::fleet::Proxies::new(11);
        let options = fleet::Options {
            period: PERIOD,
            interposer: Some(proxies.interposer()),
            ..fleet::Options::default()
        };
        let mut deployment = deployment::small();
        deployment.balancers = balancers;
        let fleet = Fleet::start(deployment, options).await;
        let fleet = fleet.expect("the fleet does not start");
        let recorder = history::Recorder::default();
        let settings = load::Settings {
            ports: fleet.ports.clone(),
            seed: 1,
            id_prefix: "flows".to_owned(),
            timeout: REQUEST_TIMEOUT,
            idle_timeout: FEED_IDLE_TIMEOUT,
        };
        let load = load::Load::start(settings, plans, &recorder);
        let test = Self {
            fleet,
            proxies,
            recorder,
            load: load.expect("a service has no port at the fabric"),
        };
        test.wait_for_feeds().await;
        test
    }

    async fn wait_for_feeds(&self) {
        wait::until("all feeds to open", wait::LIMIT, async || {
            self.load.stats()[0].open == u64::from(FEED_COUNT)
        })
        .await
        .expect("not all feeds open");
    }

    /// Waits until each kind of request, except feeds, has been answered three more times.
    async fn wait_for_responses(&self) {
        let before = self.load.stats();
        wait::until(
            "three responses to each kind of request",
            wait::LIMIT,
            async || {
                let now = self.load.stats();
                let mut pairs = now.iter().zip(&before).skip(1);
                pairs.all(|(now, before)| now.answered >= before.answered + 3)
            },
        )
        .await
        .expect("callers get no responses");
    }

    async fn run_tool(&self, args: &[&str]) {
        let result = self.fleet.run_operator(args).await;
        result.expect("the change of the operator is rejected");
        self.wait_for_responses().await;
    }

    async fn add_upstream(&mut self, name: &str, service: &str) {
        let plan = host::UpstreamConfig {
            service: service.to_owned(),
            domain: "valley-a".to_owned(),
            slots: 4,
            connections: 2_000,
            speed: 2.0,
        };
        let result = self
            .fleet
            .add_upstream(name, &plan, host::ListenAddrs::default());
        result.await.expect("the upstream does not start");
        self.wait_for_agent_state(name, "ready").await;
    }

    async fn wait_for_agent_state(&self, name: &str, state: &str) {
        let mut upstreams = self.fleet.upstreams.iter();
        let upstream = upstreams
            .find(|upstream| upstream.name == name)
            .expect("the fleet has no upstream of this name");
        let http = upstream.agent_addr.http.into();
        wait::until(state, wait::LIMIT, async || {
            let dump = self.fleet.client.state(http).await;
            dump.is_ok_and(|dump| dump["member"]["state"] == state)
        })
        .await
        .expect("the agent does not reach the state");
    }

    /// Returns the state of each balancer as JSON text.
    async fn state_dumps(&self) -> Vec<String> {
        let mut dumps = Vec::new();
        for balancer in &self.fleet.balancers {
            let dump = self.fleet.client.state(balancer.addr.http.into()).await;
            dumps.push(
                dump.expect("a balancer does not dump its state")
                    .to_string(),
            );
        }
        dumps
    }

    /// Returns the number of packets that balancers dropped because no service has their
    /// destination address.
    async fn unroutable_packets(&self) -> u64 {
        let mut dropped = 0;
        for balancer in &self.fleet.balancers {
            let metrics = reqwest::get(format!("http://{}/metrics", balancer.addr.http)).await;
            let text = metrics
                .expect("the balancer does not serve metrics")
                .text()
                .await;
            let text = text.expect("the metrics are not text");
            let line = text
                .lines()
                .find(|line| line.contains("reason=\"service\""));
            let count = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
            dropped += count.unwrap_or(0);
        }
        dropped
    }

    /// Returns the number of requests that an upstream has run so far.
    fn execution_count(&self, name: &str) -> usize {
        let ledger = self.fleet.ledger();
        let executions = ledger
            .expect("cannot read the ledgers of the upstreams")
            .executions;
        executions.iter().filter(|run| run.upstream == name).count()
    }

    fn record(&self, name: &str) -> Value {
        let service = self.fleet.deployment().service(name);
        service
            .expect("the deployment has no service of this name")
            .record
            .clone()
    }

    /// Waits for the idle timeout of feeds, so that every broken feed is detected, and checks all
    /// recorded events.
    async fn finish(self) -> history::Report {
        tokio::time::sleep(FEED_IDLE_TIMEOUT.to_duration()).await;
        self.wait_for_responses().await;
        self.load.stop().await;
        let ledger = self.fleet.ledger();
        let ledger = ledger.expect("cannot read the ledgers of the upstreams");
        let report = history::check(&self.recorder.events(), &ledger);
        println!("{report}");
        report
    }
}

fn assert_intact(report: &history::Report) {
    assert_eq!(report.violations, [], "{report}");
    assert_eq!(report.feeds, FEED_COUNT as usize, "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_drains_and_additions_under_loss() {
    let mut test = TestFleet::start(2).await;
    test.proxies.set_faults(LOSS);
    test.run_tool(&["drain", "ledger-1"]).await;
    test.add_upstream("ledger-4", "ledger").await;
    test.run_tool(&["drain", "ledger-2"]).await;
    test.run_tool(&["undrain", "ledger-1"]).await;
    test.run_tool(&["drain", "ledger-3"]).await;
    test.add_upstream("ledger-5", "ledger").await;
    assert_intact(&test.finish().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_drains_while_one_balancer_is_isolated() {
    let test = TestFleet::start(2).await;
    test.proxies.isolate("balancer-1", true);
    test.run_tool(&["drain", "ledger-1"]).await;
    test.run_tool(&["drain", "ledger-2"]).await;
    test.proxies.isolate("balancer-1", false);
    test.run_tool(&["undrain", "ledger-1"]).await;
    assert_intact(&test.finish().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_two_replacements_of_each_balancer() {
    let mut test = TestFleet::start(2).await;
    test.proxies.set_faults(LOSS);
    for index in 1..=4 {
        let name = format!("balancer-{index}");
        let replaced = test.fleet.replace_balancer(&name).await;
        replaced.expect("the balancer is not replaced");
        test.wait_for_responses().await;
    }
    assert_intact(&test.finish().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn packets_of_feeds_arrive_after_the_service_address_changes() {
    let feeds = [deployment::feeds(deployment::stock_feed(), FEED_COUNT)];
    let test = TestFleet::start_with(2, &feeds).await;
    let mut record = test.record("ledger");
    record["address"] = json!("10.9.0.77:80");
    let applied = test.fleet.apply("ledger", &record).await;
    applied.expect("the record is rejected");
    wait::until(
        "the new address in the state of each balancer",
        wait::LIMIT,
        async || {
            let dumps = test.state_dumps().await;
            dumps.iter().all(|dump| dump.contains("10.9.0.77:80"))
        },
    )
    .await
    .expect("not all balancers apply the new address");
    // Without acknowledgements the agents retransmit for a minute, so callers would not notice a
    // broken feed yet. The drop counters show it at once.
    let before = test.unroutable_packets().await;
    tokio::time::sleep(FEED_IDLE_TIMEOUT.to_duration()).await;
    assert_eq!(
        test.unroutable_packets().await,
        before,
        "balancers dropped packets of open feeds"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn packets_reach_no_other_service_when_an_agent_address_is_reused() {
    let mut test = TestFleet::start(2).await;
    test.proxies.set_faults(CORRUPTION);
    let intake = test.fleet.upstreams[0].agent_addr.packets.into();
    test.proxies.redirect("ledger-1", intake);
    test.wait_for_responses().await;
    test.wait_for_responses().await;
    let stopped = test.fleet.stop_upstream("intake-2").await;
    stopped.expect("the upstream does not stop gracefully");
    test.load.stop().await;
    let ledger = test
        .fleet
        .ledger()
        .expect("cannot read the ledgers of the upstreams");
    let report = history::check(&test.recorder.events(), &ledger);
    println!("{report}");
    assert_eq!(report.wrong_service(), 0, "{report}");
    let client = &test.fleet.client;
    let dump = client
        .state(test.fleet.upstreams[0].agent_addr.http.into())
        .await;
    let flows = dump.expect("the agent does not dump its state")["flows"]["owned"].clone();
    let is_foreign = |flow: &Value| flow["flow"]["service"] == "10.9.0.1:80";
    let owned = flows.as_array().expect("the owned flows are not a list");
    assert!(!owned.iter().any(is_foreign), "{owned:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_stops_of_balancers_and_agents_fail_no_request() {
    let mut test = TestFleet::start(3).await;
    let signal = |fleet: &mut Fleet, name: &str| {
        let sent = fleet.signal(name, Signal::Term);
        sent.expect("the fleet has no process of this name");
    };
    signal(&mut test.fleet, "balancer-1");
    signal(&mut test.fleet, "agent-ledger-1");
    test.wait_for_agent_state("ledger-1", "draining").await;
    test.wait_for_responses().await;
    signal(&mut test.fleet, "balancer-2");
    signal(&mut test.fleet, "agent-ledger-2");
    test.wait_for_agent_state("ledger-2", "draining").await;
    test.wait_for_responses().await;
    let report = test.finish().await;
    assert_intact(&report);
    assert_eq!(report.requests, report.answered, "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_upstream_gets_no_requests_with_isolated_balancer_and_platform_down() {
    let mut test = TestFleet::start(2).await;
    let down = json!({"down": true});
    let response = test
        .fleet
        .client
        .post(test.fleet.platform, "/faults", &down);
    response
        .await
        .expect("the platform does not accept the faults");
    test.proxies.isolate("balancer-1", true);
    let sent = test.fleet.signal("agent-ledger-1", Signal::Term);
    sent.expect("the fleet has no process of this name");
    tokio::time::sleep(DRAIN_TIME.to_duration()).await;
    let before = test.execution_count("ledger-1");
    for _ in 0..5 {
        test.wait_for_responses().await;
    }
    assert_eq!(
        test.execution_count("ledger-1"),
        before,
        "the draining upstream got new requests"
    );
    let report = test.finish().await;
    assert_intact(&report);
}
