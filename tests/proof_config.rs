//! Accepted configuration is in force everywhere and never reverts: real
//! balancers and agents, with faults of the platform and of the processes.

use std::{
    fs,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use cassiacross::{admin, backoff, change, clock, member, platform};
use serde_json::{Value, json};
use standins::{
    deployment::{self, Deployment},
    fleet::{self, Fleet},
    process::{self, Signal},
    register, wait,
};
use yare::parameterized;

const PERIOD: clock::Millis = clock::Millis(60);
/// Ten minutes at heartbeats of 3 s.
const OUTAGE_PERIODS: u32 = 200;
/// Longer than any timeout of a balancer's peers for it.
const PAUSE_PERIODS: u32 = 40;
/// Shorter than [`cassiacross::store_watch::RELIST_INTERVAL`], which would hide a missing repair.
const REPAIRED: clock::Millis = clock::Millis(30_000);
const CALL_LIMIT: Duration = Duration::from_millis(500);
const POLL: Duration = Duration::from_millis(30);
const RECORD: &str = "ledger";

const DONE: i32 = 0;
const CONFLICT: i32 = 3;
const UNDECIDED: i32 = 4;
const UNAVAILABLE: i32 = 5;

type Targets = Arc<Mutex<Vec<(String, SocketAddr)>>>;

/// A fleet, the calls that were made, and what its balancers had in force.
struct Trial {
    fleet: Fleet,
    clock: clock::Clock,
    calls: Vec<register::Call>,
    targets: Targets,
    seen: Arc<Mutex<Vec<register::Observation>>>,
    observer: tokio::task::JoinHandle<()>,
}

/// What the operator tool did.
struct Told {
    code: i32,
    answer: Value,
    invoked: clock::Millis,
    completed: clock::Millis,
}

/// Balancers in one failure domain: two watch the platform, the others hear of it.
fn balancers(count: usize) -> Deployment {
    Deployment {
        domains: vec!["valley-a"],
        balancers: count,
        services: Vec::new(),
        mix: Vec::new(),
        ..deployment::small()
    }
}

fn with_agents(count: usize) -> Deployment {
    let small = deployment::small();
    let ledger = small.service(RECORD).expect("service").clone();
    Deployment {
        services: vec![ledger],
        ..balancers(count)
    }
}

fn version(number: u64) -> register::Version {
    register::Version {
        number,
        change: number.to_string(),
    }
}

async fn status(client: &reqwest::Client, addr: SocketAddr) -> Option<admin::Status> {
    let call = client.get(format!("http://{addr}/v1/status"));
    let call = call.bearer_auth(fleet::OPERATOR_TOKEN).timeout(CALL_LIMIT);
    call.send().await.ok()?.json().await.ok()
}

fn in_force(status: &admin::Status) -> u64 {
    let mut records = status.records.iter();
    records
        .find(|record| record.name == RECORD)
        .map_or(0, |record| record.in_force)
}

async fn observe(
    targets: Targets,
    seen: Arc<Mutex<Vec<register::Observation>>>,
    clock: clock::Clock,
) {
    let client = reqwest::Client::builder().no_proxy().build();
    let client = client.expect("client");
    loop {
        let now = targets.lock().expect("targets").clone();
        for (process, addr) in now {
            if let Some(status) = status(&client, addr).await {
                seen.lock().expect("seen").push(register::Observation {
                    process,
                    at: clock.now(),
                    version: version(in_force(&status)),
                });
            }
        }
        tokio::time::sleep(POLL).await;
    }
}

impl Trial {
    async fn start(deployment: Deployment) -> Self {
        let count = deployment.balancers;
        let options = fleet::Options {
            period: PERIOD,
            ..fleet::Options::default()
        };
        let fleet = Fleet::start(deployment, options)
            .await
            .expect("fleet starts");
        let clock = clock::Clock::new();
        let (targets, seen) = (Targets::default(), Arc::default());
        let observer = tokio::spawn(observe(Arc::clone(&targets), Arc::clone(&seen), clock));
        let trial = Self {
            fleet,
            clock,
            calls: Vec::new(),
            targets,
            seen,
            observer,
        };
        trial.aim();
        trial.until_registered(count).await;
        trial
    }

    /// Directs the observer at the balancers as they are now; a new run counts as a new process.
    fn aim(&self) {
        let balancers = self.fleet.balancers.iter();
        let targets = balancers.map(|one| {
            let label = format!("{} {}", one.process.name(), one.process.id());
            (label, one.addr.http.into())
        });
        *self.targets.lock().expect("targets") = targets.collect();
    }

    fn platform(&self) -> platform::Client {
        let base = format!("http://{}", self.fleet.platform);
        platform::Client::new(&base, change::CALL_TIMEOUT.to_duration()).expect("client")
    }

    async fn until_registered(&self, count: usize) {
        let client = self.platform();
        wait::until("registration of balancers", wait::LIMIT, async || {
            let listed = client
                .list(member::BALANCER_KIND, platform::Consistency::Strong)
                .await;
            listed.is_ok_and(|listed| listed.items.len() == count)
        })
        .await
        .expect("balancers register");
    }

    async fn faults(&self, faults: Value) {
        let call = self
            .fleet
            .client
            .post(self.fleet.platform, "/faults", &faults);
        call.await.expect("platform takes faults");
    }

    fn addr(&self, index: usize) -> SocketAddr {
        self.fleet.balancers[index].addr.http.into()
    }

    fn name(&self, index: usize) -> String {
        self.fleet.balancers[index].process.name().to_owned()
    }

    async fn tool(&self, addrs: &[SocketAddr], args: &[&str]) -> Told {
        let mut all = vec!["--json".into()];
        for addr in addrs {
            all.extend(["--balancer".into(), addr.to_string().into()]);
        }
        all.extend(args.iter().map(Into::into));
        let variables = [("CASSIACROSS_TOKEN", fleet::OPERATOR_TOKEN)];
        let invoked = self.clock.now();
        let output = process::output(process::Program::Operator, all, &variables);
        let output = output.await.expect("tool runs");
        Told {
            code: output.status.code().expect("exit code"),
            answer: serde_json::from_slice(&output.stdout).unwrap_or_default(),
            invoked,
            completed: self.clock.now(),
        }
    }

    /// Applies the record on top of a version through one balancer.
    async fn apply(&self, index: usize, expected: u64, id: &str) -> Told {
        let path = self.fleet.dir().join(format!("{id}.json"));
        let port = 80 + expected;
        let document = json!({"schema": 2, "address": format!("10.9.0.1:{port}")});
        fs::write(&path, document.to_string()).expect("file");
        let (path, expected) = (path.to_string_lossy(), expected.to_string());
        let args = [
            "apply",
            &path,
            "--name",
            RECORD,
            "--version",
            &expected,
            "--change",
            id,
        ];
        self.tool(&[self.addr(index)], &args).await
    }

    /// Applies the record and records an accepted call.
    async fn accept(&mut self, index: usize, expected: u64, id: &str) -> u64 {
        let told = self.apply(index, expected, id).await;
        assert_eq!(told.code, DONE, "{id}: {}", told.answer);
        let number = told.answer["version"].as_u64().expect("version");
        self.accepted(&told, expected, number);
        number
    }

    fn accepted(&mut self, told: &Told, expected: u64, number: u64) {
        let written = version(number);
        self.record(told, register::Operation::Accepted { expected, written });
    }

    fn record(&mut self, told: &Told, operation: register::Operation) {
        self.calls.push(register::Call {
            process: self.calls.len(),
            invoked: told.invoked,
            completed: told.completed,
            operation,
        });
    }

    /// Writes to the platform past the fleet, as through a balancer that then died.
    async fn write_past(&mut self, expected: u64, id: &str) -> u64 {
        let client = self.platform();
        let request = change::Request {
            name: RECORD,
            id,
            precondition: change::Precondition::Version(expected),
        };
        let document = json!({"schema": 2, "address": "10.9.0.1:99"});
        let edit = |_: Option<&Value>| Ok::<_, std::fmt::Error>(document.clone());
        let invoked = self.clock.now();
        let outcome = change::commit(&client, &request, edit, backoff::Backoff::new(1, 5)).await;
        let Ok(change::Outcome::Accepted(number)) = outcome else {
            panic!("{outcome:?}");
        };
        let told = Told {
            code: DONE,
            answer: Value::Null,
            invoked,
            completed: self.clock.now(),
        };
        self.accepted(&told, expected, number);
        number
    }

    async fn until_everywhere(&self, number: u64) {
        self.until_everywhere_within(number, wait::LIMIT).await;
    }

    async fn until_everywhere_within(&self, number: u64, limit: clock::Millis) {
        self.aim();
        let client = reqwest::Client::builder().no_proxy().build();
        let client = client.expect("client");
        let what = format!("version {number} in each balancer");
        wait::until(&what, limit, async || {
            for index in 0..self.fleet.balancers.len() {
                let status = status(&client, self.addr(index)).await;
                if status.is_none_or(|status| in_force(&status) != number) {
                    return false;
                }
            }
            true
        })
        .await
        .expect("the version comes into force");
    }

    async fn until_ready(&self, index: usize) {
        let addr = self.addr(index);
        wait::until("readiness", wait::LIMIT, async || {
            self.fleet.client.is_ready(addr).await
        })
        .await
        .expect("the balancer is ready");
    }

    /// Waits for the observer to see the last version in each balancer, and checks the history.
    async fn finish(self, last: u64) {
        self.until_everywhere(last).await;
        let live = self.targets.lock().expect("targets").clone();
        wait::until("last observations", wait::LIMIT, async || {
            let seen = self.seen.lock().expect("seen");
            live.iter().all(|(process, _)| {
                let mut own = seen.iter().rev().filter(|one| one.process == *process);
                own.next().is_some_and(|one| one.version.number == last)
            })
        })
        .await
        .expect("observer sees the end");
        self.observer.abort();
        let seen = self.seen.lock().expect("seen").clone();
        let mut violations = register::check(&self.calls, &seen);
        // A process that has ended need not have seen the end.
        violations.retain(|violation| match violation {
            register::Violation::Lagging { process, .. } => {
                live.iter().any(|(name, _)| name == process)
            }
            _ => true,
        });
        assert_eq!(violations, [], "{:?}", self.calls);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn long_outage_reverts_nothing() {
    let mut trial = Trial::start(balancers(4)).await;
    let first = trial.accept(0, 0, "ledger~a").await;
    trial.until_everywhere(first).await;
    trial.faults(json!({"down": true})).await;
    let outage = tokio::time::sleep(PERIOD.to_duration() * OUTAGE_PERIODS);
    let refused = trial.apply(1, first, "ledger~refused").await;
    assert_eq!(refused.code, UNAVAILABLE, "{}", refused.answer);
    let paused = trial.name(3);
    trial
        .fleet
        .signal(&paused, Signal::Stop)
        .expect("balancer is there");
    let restarted = trial.name(1);
    trial
        .fleet
        .restart_balancer(&restarted, true)
        .await
        .expect("balancer starts");
    trial.until_ready(3).await;
    tokio::time::sleep(PERIOD.to_duration() * PAUSE_PERIODS).await;
    trial
        .fleet
        .signal(&paused, Signal::Continue)
        .expect("balancer is there");
    trial.until_everywhere(first).await;
    outage.await;
    trial.until_everywhere(first).await;
    trial.faults(json!({"down": false})).await;
    let second = trial.accept(0, first, "ledger~b").await;
    trial.finish(second).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_platform_delays_only() {
    let mut trial = Trial::start(balancers(3)).await;
    trial.faults(json!({"slow_ms": 300})).await;
    let first = trial.accept(0, 0, "ledger~a").await;
    let second = trial.accept(1, first, "ledger~b").await;
    trial.finish(second).await;
}

#[parameterized(
    reachable = { json!({"lose_answers": 1}), DONE },
    gone = { json!({"lose_answers": 1, "down_after_loss": true}), UNDECIDED },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn lost_answer_is_decided_by_its_id(faults: Value, expected: i32) {
    let mut trial = Trial::start(balancers(3)).await;
    let first = trial.accept(0, 0, "ledger~a").await;
    trial.until_everywhere(first).await;
    trial.faults(faults).await;
    let mut told = trial.apply(1, first, "ledger~lost").await;
    assert_eq!(told.code, expected, "{}", told.answer);
    trial.faults(json!({"down": false})).await;
    let asked = trial
        .tool(&[trial.addr(2)], &["change", "ledger~lost"])
        .await;
    assert_eq!(asked.code, DONE, "{}", asked.answer);
    let second = asked.answer["version"].as_u64().expect("version");
    told.completed = asked.completed;
    trial.accepted(&told, first, second);
    trial.finish(second).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_operators_wins() {
    let mut trial = Trial::start(balancers(3)).await;
    let mut last = trial.accept(0, 0, "ledger~a").await;
    for round in 0..5 {
        let ids = [format!("ledger~x{round}"), format!("ledger~y{round}")];
        let told = tokio::join!(trial.apply(0, last, &ids[0]), trial.apply(1, last, &ids[1]));
        let told = [told.0, told.1];
        let mut codes = told.each_ref().map(|told| told.code);
        codes.sort_unstable();
        assert_eq!(codes, [DONE, CONFLICT], "round {round}");
        let expected = last;
        for told in &told {
            if told.code == DONE {
                last = told.answer["version"].as_u64().expect("version");
                trial.accepted(told, expected, last);
            } else {
                trial.record(told, register::Operation::Refused { expected });
            }
        }
    }
    trial.finish(last).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_balancer_catches_up() {
    let mut trial = Trial::start(balancers(3)).await;
    let first = trial.accept(0, 0, "ledger~a").await;
    trial.until_everywhere(first).await;
    let paused = trial.name(2);
    trial
        .fleet
        .signal(&paused, Signal::Stop)
        .expect("balancer is there");
    let second = trial.accept(0, first, "ledger~b").await;
    tokio::time::sleep(PERIOD.to_duration() * PAUSE_PERIODS).await;
    trial
        .fleet
        .signal(&paused, Signal::Continue)
        .expect("balancer is there");
    trial.finish(second).await;
}

#[parameterized(
    reordered = { json!({"reorder_watch": true}), 3, 4 },
    reordered_alone = { json!({"reorder_watch": true}), 1, 4 },
    missed = { json!({"miss_watch": 2}), 3, 1 },
    missed_alone = { json!({"miss_watch": 1}), 1, 1 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn faulty_watch_ends_at_the_last_version(faults: Value, count: usize, writes: u32) {
    let mut trial = Trial::start(balancers(count)).await;
    let mut last = trial.accept(0, 0, "ledger~a").await;
    trial.until_everywhere(last).await;
    trial.faults(faults).await;
    for round in 0..writes {
        last = trial.write_past(last, &format!("ledger~{round}")).await;
    }
    trial.until_everywhere_within(last, REPAIRED).await;
    trial.finish(last).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cold_start_takes_records_of_a_live_peer() {
    let mut trial = Trial::start(balancers(2)).await;
    let first = trial.accept(0, 0, "ledger~a").await;
    trial.until_everywhere(first).await;
    trial.faults(json!({"down": true})).await;
    let gone = trial.name(0);
    trial.fleet.kill_balancer(&gone).expect("balancer is there");
    trial
        .fleet
        .add_balancer()
        .await
        .expect("the new balancer is ready");
    trial.finish(first).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cold_start_alone_says_what_it_waits_for() {
    let mut trial = Trial::start(balancers(1)).await;
    let first = trial.accept(0, 0, "ledger~a").await;
    trial.faults(json!({"down": true})).await;
    let name = trial.name(0);
    trial
        .fleet
        .restart_balancer(&name, true)
        .await
        .expect("balancer starts");
    let url = format!("http://{}/ready", trial.addr(0));
    wait::until("the reason", wait::LIMIT, async || {
        let Ok(answer) = reqwest::get(&url).await else {
            return false;
        };
        let is_waiting = answer.status() == reqwest::StatusCode::SERVICE_UNAVAILABLE;
        let text = answer.text().await.unwrap_or_default();
        is_waiting && text.contains("the platform does not answer")
    })
    .await
    .expect("the balancer says what it waits for");
    trial.faults(json!({"down": false})).await;
    trial.until_ready(0).await;
    trial.finish(first).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn last_balancer_goes_on() {
    let mut trial = Trial::start(balancers(4)).await;
    let first = trial.accept(0, 0, "ledger~a").await;
    trial.until_everywhere(first).await;
    for _ in 0..3 {
        let gone = trial.name(0);
        trial.fleet.kill_balancer(&gone).expect("balancer is there");
    }
    trial.aim();
    let second = trial.write_past(first, "ledger~b").await;
    trial.until_everywhere(second).await;
    trial
        .fleet
        .add_balancer()
        .await
        .expect("the new balancer is ready");
    let third = trial.accept(1, second, "ledger~c").await;
    trial.finish(third).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn status_shows_agents_while_balancers_change_in_a_drain() {
    let mut trial = Trial::start(with_agents(3)).await;
    let before = trial.tool(&[trial.addr(0)], &["get", RECORD]).await;
    let before = before.answer["version"].as_u64().expect("version");
    let told = trial.tool(&[trial.addr(0)], &["drain", "ledger-1"]).await;
    assert_eq!(told.code, DONE, "{}", told.answer);
    let gone = trial.name(0);
    trial.fleet.kill_balancer(&gone).expect("balancer is there");
    trial
        .fleet
        .add_balancer()
        .await
        .expect("the new balancer is ready");
    let drained = told.answer["version"].as_u64().expect("version");
    assert!(drained > before, "{drained} after {before}");
    let addrs: Vec<_> = (0..3).map(|index| trial.addr(index)).collect();
    let count = trial.fleet.upstreams.len();
    wait::until("status without lag", wait::LIMIT, async || {
        let told = trial.tool(&addrs, &["status"]).await;
        let agents = told.answer["agents"].as_array().cloned();
        let agents = agents.unwrap_or_default();
        let level = agents.iter().all(|agent| agent["version"] == drained);
        told.code == DONE && agents.len() == count && level
    })
    .await
    .expect("status shows each agent at the drained version");
    trial.fleet.stop().await.expect("processes stop");
}
