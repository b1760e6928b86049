//! Writes of a record during a proof run, and what balancers have in force.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use anyhow::Context;
use cassiacross::clock;
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

/// The record that is changed.
pub const RECORD: &str = "ledger";

/// Time in which an accepted write must be in force everywhere.
pub const LIMIT: clock::Millis = clock::Millis(3_000);

const POLL: Duration = Duration::from_millis(100);
const CONFLICT: i32 = 3;
const WRITER: usize = 0;

/// What a balancer had in force, with the time of the question.
#[derive(Clone, Debug)]
pub struct Seen {
    /// When the balancer was asked.
    pub asked: clock::Millis,
    /// What it told.
    pub observation: register::Observation,
}

/// A time in which a process may lag, because it was new or frozen.
#[derive(Clone, Debug)]
pub struct Excuse {
    /// Start of the process's name as observed.
    pub process: String,
    /// Start of the time.
    pub from: clock::Millis,
    /// End of the time.
    pub until: clock::Millis,
}

/// What came of the check.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Violations of the register.
    pub reverted: usize,
    /// Writes that were not in force in a process in time.
    pub late: usize,
    /// What was violated.
    pub notes: Vec<String>,
}

#[derive(Debug, Default)]
struct Shared {
    targets: Vec<(String, SocketAddr)>,
    seen: Vec<Seen>,
}

/// Asks all balancers again and again.
#[derive(Debug)]
pub struct Observer {
    shared: Arc<Mutex<Shared>>,
    task: JoinHandle<()>,
}

impl Observer {
    /// Starts to ask the fleet's balancers.
    pub fn start(fleet: &Fleet, recorder: &history::Recorder) -> Self {
        let shared = Arc::new(Mutex::new(Shared::default()));
        let task = observe(Arc::clone(&shared), fleet.client.clone(), recorder.clone());
        let observer = Self {
            shared,
            task: tokio::spawn(task),
        };
        observer.follow(fleet);
        observer
    }

    /// Asks the balancers that the fleet has now.
    pub fn follow(&self, fleet: &Fleet) {
        let targets = fleet.balancers.iter().map(|one| {
            let name = format!("{}#{}", one.process.name(), one.process.id());
            (name, one.addr.http.into())
        });
        lock(&self.shared).targets = targets.collect();
    }

    /// Stops and gives what was seen.
    pub fn stop(self) -> Vec<Seen> {
        self.task.abort();
        std::mem::take(&mut lock(&self.shared).seen)
    }
}

/// Asks each balancer once a turn, so that no answer overtakes another of its process.
async fn observe(shared: Arc<Mutex<Shared>>, client: client::Client, recorder: history::Recorder) {
    loop {
        let targets = lock(&shared).targets.clone();
        let mut turn = JoinSet::new();
        for (process, http) in targets {
            let (client, recorder) = (client.clone(), recorder.clone());
            turn.spawn(async move { ask(&client, &recorder, process, http).await });
        }
        while let Some(answer) = turn.join_next().await {
            lock(&shared).seen.extend(answer.ok().flatten());
        }
        time::sleep(POLL).await;
    }
}

async fn ask(
    client: &client::Client,
    recorder: &history::Recorder,
    process: String,
    http: SocketAddr,
) -> Option<Seen> {
    let asked = recorder.now();
    let status = client.status(http, fleet::OPERATOR_TOKEN).await.ok()?;
    let observation = register::Observation {
        process,
        at: recorder.now(),
        version: version(in_force(&status)),
    };
    Some(Seen { asked, observation })
}

/// Changes the record through the operator tool.
#[derive(Debug)]
pub struct Writer {
    recorder: history::Recorder,
    document: Value,
    current: u64,
    calls: Vec<register::Call>,
    sequence: u64,
}

impl Writer {
    /// Takes over the record as the fleet's start wrote it.
    pub async fn new(fleet: &Fleet, recorder: history::Recorder) -> anyhow::Result<Self> {
        let balancer = fleet.balancers.last().context("there is no balancer")?;
        let http = balancer.addr.http.into();
        let status = fleet.client.status(http, fleet::OPERATOR_TOKEN).await?;
        let current = in_force(&status);
        let service = fleet.deployment().service(RECORD);
        let document = service.context("the record is missing")?.record.clone();
        let first = register::Call {
            process: WRITER,
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

    /// All calls so far.
    pub fn calls(&self) -> &[register::Call] {
        &self.calls
    }

    /// Writes weights on top of the current version and gives the time of acceptance.
    pub async fn weigh(
        &mut self,
        fleet: &Fleet,
        weights: &[(String, f64)],
    ) -> anyhow::Result<clock::Millis> {
        let path = self.draft(fleet, weights)?;
        let version = self.current.to_string();
        let (invoked, written) = self.write(fleet, &path, &version).await?;
        let written = written.context("a write without rival met a conflict")?;
        Ok(self.accept(WRITER, self.current, invoked, written))
    }

    /// Lets two operators write on top of the same version; just one may win.
    pub async fn race(&mut self, fleet: &Fleet, weights: &[(String, f64)]) -> anyhow::Result<()> {
        let (one, two) = (self.draft(fleet, weights)?, self.draft(fleet, weights)?);
        let expected = self.current;
        let version = expected.to_string();
        let (one, two) = tokio::join!(
            self.write(fleet, &one, &version),
            self.write(fleet, &two, &version)
        );
        for (process, (invoked, written)) in [one?, two?].into_iter().enumerate() {
            if let Some(written) = written {
                self.accept(process, expected, invoked, written);
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

    fn accept(
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

    fn draft(&mut self, fleet: &Fleet, weights: &[(String, f64)]) -> anyhow::Result<String> {
        self.sequence += 1;
        let upstreams: Vec<_> = weights
            .iter()
            .map(|(name, weight)| json!({"name": name, "weight": weight}))
            .collect();
        self.document["upstreams"] = Value::from(upstreams);
        let path = fleet.write_json(&format!("draft-{}", self.sequence), &self.document)?;
        Ok(path.to_string_lossy().into_owned())
    }

    /// The version written, or none after a conflict.
    async fn write(
        &self,
        fleet: &Fleet,
        path: &str,
        version: &str,
    ) -> anyhow::Result<(clock::Millis, Option<u64>)> {
        let invoked = self.recorder.now();
        let args = ["--json", "apply", path, "--version", version];
        let output = fleet.operator_output(&args).await?;
        if output.status.code() == Some(CONFLICT) {
            return Ok((invoked, None));
        }
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        anyhow::ensure!(output.status.success(), "a write was not accepted: {text}");
        let changed: Value = serde_json::from_slice(&output.stdout)?;
        let written = changed["version"].as_u64();
        Ok((invoked, Some(written.context("no version was told")?)))
    }
}

/// Checks the record's history.
pub fn check(calls: &[register::Call], seen: &[Seen], excuses: &[Excuse]) -> Outcome {
    let observations: Vec<_> = seen.iter().map(|one| one.observation.clone()).collect();
    let mut outcome = Outcome::default();
    for violation in register::check(calls, &observations) {
        // A stopped process ends before later writes; lags of live ones count as late.
        if !matches!(violation, register::Violation::Lagging { .. }) {
            outcome.reverted += 1;
            outcome.notes.push(violation.to_string());
        }
    }
    for call in calls {
        if let register::Operation::Accepted { written, .. } = &call.operation {
            check_late(call, written.number, seen, excuses, &mut outcome);
        }
    }
    outcome
}

fn check_late(
    call: &register::Call,
    number: u64,
    seen: &[Seen],
    excuses: &[Excuse],
    outcome: &mut Outcome,
) {
    let due = call.completed.0 + LIMIT.0;
    let mut late: Vec<_> = seen
        .iter()
        .filter(|one| one.asked.0 > due && one.observation.version.number < number)
        .filter(|one| !is_excused(one, excuses))
        .map(|one| one.observation.process.as_str())
        .collect();
    late.sort_unstable();
    late.dedup();
    outcome.late += late.len();
    let notes = late.iter().map(|process| {
        format!("{process} had not version {number} in force 3 s after its acceptance")
    });
    outcome.notes.extend(notes);
}

fn is_excused(seen: &Seen, excuses: &[Excuse]) -> bool {
    excuses.iter().any(|excuse| {
        seen.observation.process.starts_with(&excuse.process)
            && seen.asked >= excuse.from
            && seen.asked <= excuse.until
    })
}

fn in_force(status: &Value) -> u64 {
    let records = status["records"].as_array().into_iter().flatten();
    let mut numbers = records
        .filter(|record| record["name"] == RECORD)
        .filter_map(|record| record["in_force"].as_u64());
    numbers.next().unwrap_or(0)
}

/// Versions are told apart by their numbers, which the platform gives once only.
const fn version(number: u64) -> register::Version {
    register::Version {
        number,
        change: String::new(),
    }
}

fn lock(shared: &Mutex<Shared>) -> std::sync::MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
