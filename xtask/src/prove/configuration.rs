//! Writes to one record during a fault injection run, and checks that all balancers
//! activate accepted versions in time and never return to an older one.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use anyhow::Context;
use cassiacross::{clock, mutex};
use serde_json::{Value, json};
use standins::{
    client,
    fleet::{self, Fleet},
    history, register,
};
use tokio::{
    task::{JoinHandle, JoinSet},
    time,
};

/// Name of the record that is changed.
pub const RECORD: &str = "ledger";

/// Time after its acceptance within which a write must be in force in all balancers.
pub const ACTIVATION_LIMIT: clock::Millis = clock::Millis(3_000);

const POLL_INTERVAL: Duration = Duration::from_millis(100);
const CONFLICT_EXIT_CODE: i32 = 3;
const WRITER_PROCESS: usize = 0;

/// Version that a balancer had in force, with the time of the request.
#[derive(Clone, Debug)]
pub struct TimedObservation {
    /// Time at which the request was sent.
    pub requested_at: clock::Millis,
    /// Version in the response, and the time of the response.
    pub observation: register::Observation,
}

/// Period in which a process may lag behind, because it was new or frozen.
#[derive(Clone, Debug)]
pub struct LagAllowance {
    /// Prefix of the process's name in observations.
    pub process: String,
    pub from: clock::Millis,
    pub until: clock::Millis,
}

/// Violations of the guarantees for configuration changes.
#[derive(Debug, Default)]
pub struct ConfigViolations {
    /// Number of violations in the history of versions, such as a process that went back to an
    /// older version.
    pub reverted: usize,
    /// Number of times that a write was not in force in a process in time.
    pub late: usize,
    /// Description of each violation.
    pub notes: Vec<String>,
}

#[derive(Debug, Default)]
struct Shared {
    targets: Vec<(String, SocketAddr)>,
    observations: Vec<TimedObservation>,
}

/// Background task that polls the version in force in each balancer.
#[derive(Debug)]
pub struct Observer {
    shared: Arc<Mutex<Shared>>,
    task: JoinHandle<()>,
}

impl Observer {
    /// Starts to poll the fleet's balancers.
    pub fn start(fleet: &Fleet, recorder: &history::Recorder) -> Self {
        let shared = Arc::new(Mutex::new(Shared::default()));
        let task = observe(Arc::clone(&shared), fleet.client.clone(), recorder.clone());
        let observer = Self {
            shared,
            task: tokio::spawn(task),
        };
        observer.set_targets(fleet);
        observer
    }

    /// Polls the current balancers of the fleet from now on.
    pub fn set_targets(&self, fleet: &Fleet) {
        let targets = fleet.balancers.iter().map(|balancer| {
            let name = format!("{}#{}", balancer.process.name(), balancer.process.id());
            (name, balancer.addr.http.into())
        });
        mutex::lock(&self.shared).targets = targets.collect();
    }

    /// Stops polling and returns all observations.
    pub fn stop(self) -> Vec<TimedObservation> {
        self.task.abort();
        std::mem::take(&mut mutex::lock(&self.shared).observations)
    }
}

/// Polls each balancer once per round and waits for all responses before the next round, so that
/// the responses of one process stay in order.
async fn observe(shared: Arc<Mutex<Shared>>, client: client::Client, recorder: history::Recorder) {
    loop {
        let targets = mutex::lock(&shared).targets.clone();
        let mut round = JoinSet::new();
        for (process, http) in targets {
            let (client, recorder) = (client.clone(), recorder.clone());
            round.spawn(async move { query(&client, &recorder, process, http).await });
        }
        while let Some(result) = round.join_next().await {
            mutex::lock(&shared)
                .observations
                .extend(result.ok().flatten());
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

async fn query(
    client: &client::Client,
    recorder: &history::Recorder,
    process: String,
    http: SocketAddr,
) -> Option<TimedObservation> {
    let requested_at = recorder.now();
    let status = client.status(http, fleet::OPERATOR_TOKEN).await.ok()?;
    let observation = register::Observation {
        process,
        at: recorder.now(),
        version: version(in_force(&status)),
    };
    Some(TimedObservation {
        requested_at,
        observation,
    })
}

/// Client that changes the record with the operator tool and records each call.
#[derive(Debug)]
pub struct Writer {
    recorder: history::Recorder,
    document: Value,
    current: u64,
    calls: Vec<register::Call>,
    sequence: u64,
}

impl Writer {
    /// Starts from the version that the start of the fleet wrote.
    pub async fn new(fleet: &Fleet, recorder: history::Recorder) -> anyhow::Result<Self> {
        let balancer = fleet
            .balancers
            .last()
            .context("the fleet has no balancer")?;
        let http = balancer.addr.http.into();
        let status = fleet.client.status(http, fleet::OPERATOR_TOKEN).await?;
        let current = in_force(&status);
        let service = fleet.deployment().service(RECORD);
        let document = service
            .context("the deployment does not contain the record")?
            .record
            .clone();
        let first = register::Call {
            process: WRITER_PROCESS,
            invoked: clock::Millis(0),
            completed: clock::Millis(0),
            operation: register::Operation::Accepted {
                expected: 0,
                written: version(current),
            },
        };
        Ok(Self {
            recorder,
            document,
            current,
            calls: vec![first],
            sequence: 0,
        })
    }

    /// Returns all calls so far.
    pub fn calls(&self) -> &[register::Call] {
        &self.calls
    }

    /// Replaces the weights of the current version and returns the time of acceptance.
    pub async fn write_weights(
        &mut self,
        fleet: &Fleet,
        weights: &[(String, f64)],
    ) -> anyhow::Result<clock::Millis> {
        let path = self.write_document(fleet, weights)?;
        let version = self.current.to_string();
        let (invoked, written) = self.write(fleet, &path, &version).await?;
        let written = written.context(
            "the write was rejected with a version conflict although no other write ran",
        )?;
        Ok(self.record_accepted(WRITER_PROCESS, self.current, invoked, written))
    }

    /// Writes as two operators that expect the same version; only one write may be accepted.
    pub async fn write_concurrently(
        &mut self,
        fleet: &Fleet,
        weights: &[(String, f64)],
    ) -> anyhow::Result<()> {
        let (first, second) = (
            self.write_document(fleet, weights)?,
            self.write_document(fleet, weights)?,
        );
        let expected = self.current;
        let version = expected.to_string();
        let (first, second) = tokio::join!(
            self.write(fleet, &first, &version),
            self.write(fleet, &second, &version)
        );
        for (process, (invoked, written)) in [first?, second?].into_iter().enumerate() {
            if let Some(written) = written {
                self.record_accepted(process, expected, invoked, written);
            } else {
                self.calls.push(register::Call {
                    process,
                    invoked,
                    completed: self.recorder.now(),
                    operation: register::Operation::Refused { expected },
                });
            }
        }
        Ok(())
    }

    fn record_accepted(
        &mut self,
        process: usize,
        expected: u64,
        invoked: clock::Millis,
        written: u64,
    ) -> clock::Millis {
        let completed = self.recorder.now();
        self.current = self.current.max(written);
        self.calls.push(register::Call {
            process,
            invoked,
            completed,
            operation: register::Operation::Accepted {
                expected,
                written: version(written),
            },
        });
        completed
    }

    fn write_document(
        &mut self,
        fleet: &Fleet,
        weights: &[(String, f64)],
    ) -> anyhow::Result<String> {
        self.sequence += 1;
        let upstreams: Vec<_> = weights
            .iter()
            .map(|(name, weight)| json!({"name": name, "weight": weight}))
            .collect();
        self.document["upstreams"] = Value::from(upstreams);
        let path = fleet.write_json(&format!("draft-{}", self.sequence), &self.document)?;
        Ok(path.to_string_lossy().into_owned())
    }

    /// Applies a file on top of a version.
    ///
    /// Returns the time of the call and the new version, or no version after a conflict.
    async fn write(
        &self,
        fleet: &Fleet,
        path: &str,
        version: &str,
    ) -> anyhow::Result<(clock::Millis, Option<u64>)> {
        let invoked = self.recorder.now();
        let args = ["--json", "apply", path, "--version", version];
        let output = fleet.operator_output(&args).await?;
        if output.status.code() == Some(CONFLICT_EXIT_CODE) {
            return Ok((invoked, None));
        }
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        anyhow::ensure!(
            output.status.success(),
            "the write on top of version {version} was rejected: {text}"
        );
        let changed: Value = serde_json::from_slice(&output.stdout)?;
        let written = changed["version"].as_u64();
        Ok((
            invoked,
            Some(written.context("the output of the operator tool has no version")?),
        ))
    }
}

/// Checks that no accepted version was reverted, and that each was in force in time.
pub fn check(
    calls: &[register::Call],
    observations: &[TimedObservation],
    allowances: &[LagAllowance],
) -> ConfigViolations {
    let untimed: Vec<_> = observations
        .iter()
        .map(|observed| observed.observation.clone())
        .collect();
    let mut violations = ConfigViolations::default();
    for violation in register::check(calls, &untimed) {
        // Lagging processes are not counted here: a stopped process misses later writes, and
        // `check_late` covers the live ones.
        if !matches!(violation, register::Violation::Lagging { .. }) {
            violations.reverted += 1;
            violations.notes.push(violation.to_string());
        }
    }
    for call in calls {
        if let register::Operation::Accepted { written, .. } = &call.operation {
            check_late(
                call,
                written.number,
                observations,
                allowances,
                &mut violations,
            );
        }
    }
    violations
}

fn check_late(
    call: &register::Call,
    number: u64,
    observations: &[TimedObservation],
    allowances: &[LagAllowance],
    violations: &mut ConfigViolations,
) {
    let deadline = call.completed.0 + ACTIVATION_LIMIT.0;
    let mut late: Vec<_> = observations
        .iter()
        .filter(|observed| {
            observed.requested_at.0 > deadline && observed.observation.version.number < number
        })
        .filter(|observed| !is_allowed(observed, allowances))
        .map(|observed| observed.observation.process.as_str())
        .collect();
    late.sort_unstable();
    late.dedup();
    violations.late += late.len();
    let notes = late.iter().map(|process| {
        format!("{process} did not have version {number} in force 3 s after its acceptance")
    });
    violations.notes.extend(notes);
}

fn is_allowed(observed: &TimedObservation, allowances: &[LagAllowance]) -> bool {
    allowances.iter().any(|allowance| {
        observed.observation.process.starts_with(&allowance.process)
            && observed.requested_at >= allowance.from
            && observed.requested_at <= allowance.until
    })
}

fn in_force(status: &Value) -> u64 {
    let records = status["records"].as_array().into_iter().flatten();
    let mut numbers = records
        .filter(|record| record["name"] == RECORD)
        .filter_map(|record| record["in_force"].as_u64());
    numbers.next().unwrap_or(0)
}

/// Creates a version without a change identity; the platform never assigns a number twice, so the
/// number identifies the version.
const fn version(number: u64) -> register::Version {
    register::Version {
        number,
        change: String::new(),
    }
}
