//! Load generator: open-loop and closed-loop requests, and long-lived streaming responses (feeds).
//!
//! Each request has a unique ID and uses a new TCP connection, hence a new flow. Invocations and
//! outcomes are recorded in a [`history::Recorder`]. Latencies are measured from the scheduled send
//! time, so that a slow system cannot hide its delay by slowing the callers (coordinated omission).

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
};

use cassiacross::{clock, mutex};
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use thiserror::Error;
use tokio::{sync::watch, task::JoinSet, time};

use crate::{
    history::{self, Action, Outcome},
    request,
};

const MAX_LINE_LEN: usize = 1_000;
const MAX_IN_FLIGHT: u32 = 4_000;
const HIGHEST_LATENCY_US: u64 = 600_000_000;
const REOPEN_DELAY: clock::Millis = clock::Millis(500);

/// Arrival process of the requests of a workload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrival {
    /// Open loop: a Poisson process, independent of the responses.
    Open {
        /// Mean rate in requests per second.
        per_second: f64,
    },
    /// Closed loop: each caller sends its next request after the response and a pause.
    Closed {
        /// Number of callers.
        callers: u32,
        /// Pause after a response.
        pause: clock::Millis,
    },
    /// Each caller keeps one feed open and reopens it 500 ms after it ends.
    Feeds {
        /// Number of callers.
        callers: u32,
    },
}

/// Requests of one kind.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Kind of the requests.
    pub kind: request::Kind,
    /// Arrival process.
    pub arrival: Arrival,
}

/// A workload that targets a service without a known port.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("no port is known for service {0}")]
pub struct UnknownService(pub String);

/// Settings shared by all workloads of a load.
#[derive(Clone, Debug)]
pub struct Settings {
    /// TCP address of each service at the fabric, sorted by service name.
    pub ports: Vec<(String, SocketAddr)>,
    /// Seed of the arrival processes.
    pub seed: u64,
    /// Prefix of the request IDs; must differ between loads that share a recorder.
    pub id_prefix: String,
    /// Request timeout of the callers.
    pub timeout: clock::Millis,
    /// Idle timeout of a feed; a feed without data for this time counts as broken.
    pub idle_timeout: clock::Millis,
}

/// Statistics of one workload.
#[derive(Clone, Debug)]
pub struct Stats {
    /// Name of the request kind.
    pub kind: &'static str,
    /// Requests sent, or feeds requested.
    pub sent: u64,
    /// Requests with a response.
    pub answered: u64,
    /// Requests with a response after the caller's deadline.
    pub late: u64,
    /// Requests refused as not executed.
    pub refused: u64,
    /// Requests with unknown outcome.
    pub unknown: u64,
    /// Arrivals that were not sent because 4,000 requests were in flight.
    pub skipped: u64,
    /// Currently open feeds.
    pub open: u64,
    /// Feeds that ended before their caller closed them.
    pub broken: u64,
    /// Latency of requests with a response, in microseconds.
    pub latency: Histogram<u64>,
}

/// A running load generator.
#[derive(Debug)]
pub struct Load {
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    recorder: history::Recorder,
    client: reqwest::Client,
    stats: Vec<Mutex<Stats>>,
    sequence: AtomicU32,
    in_flight: AtomicU32,
}

struct Caller {
    shared: Arc<Shared>,
    workload: Workload,
    index: usize,
    addr: SocketAddr,
    stop: watch::Receiver<bool>,
}

/// Validator of the lines of a feed, which are numbered consecutively from 0.
#[derive(Debug, Default)]
struct LineChecker {
    pending: Vec<u8>,
    next: u64,
}

impl LineChecker {
    /// Consumes the next bytes; returns false if a line is out of sequence or too long.
    fn accept_chunk(&mut self, chunk: &[u8], id: &str) -> bool {
        self.pending.extend_from_slice(chunk);
        while let Some(end) = self.pending.iter().position(|byte| *byte == b'\n') {
            let line: Vec<_> = self.pending.drain(..=end).collect();
            if !request::is_feed_line(&line[..end], id, self.next) {
                return false;
            }
            self.next += 1;
        }
        self.pending.len() <= MAX_LINE_LEN
    }
}

impl Load {
    /// Starts the callers of all workloads.
    pub fn start(
        settings: Settings,
        workloads: &[Workload],
        recorder: &history::Recorder,
    ) -> Result<Self, UnknownService> {
        let addrs: Vec<_> = workloads
            .iter()
            .map(|workload| service_port(&settings.ports, workload.kind.service))
            .collect::<Result<_, _>>()?;
        let (stop, stopped) = watch::channel(false);
        let shared = Arc::new(Shared {
            settings,
            recorder: recorder.clone(),
            client: client(),
            stats: workloads
                .iter()
                .map(|workload| Mutex::new(empty_stats(workload)))
                .collect(),
            sequence: AtomicU32::new(0),
            in_flight: AtomicU32::new(0),
        });
        let mut tasks = JoinSet::new();
        for (index, workload) in workloads.iter().enumerate() {
            let caller = || Caller {
                shared: Arc::clone(&shared),
                workload: workload.clone(),
                index,
                addr: addrs[index],
                stop: stopped.clone(),
            };
            start_workload(workload.arrival, caller, &mut tasks);
        }
        Ok(Self {
            shared,
            stop,
            tasks,
        })
    }

    /// Returns the current statistics of each workload, in the order of the workloads.
    #[must_use]
    pub fn stats(&self) -> Vec<Stats> {
        self.shared
            .stats
            .iter()
            .map(|stats| mutex::lock(stats).clone())
            .collect()
    }

    /// Stops new requests, closes the feeds, waits for all outcomes and returns the statistics.
    pub async fn stop(mut self) -> Vec<Stats> {
        let _no_receivers = self.stop.send(true);
        while self.tasks.join_next().await.is_some() {}
        self.stats()
    }
}

impl Caller {
    async fn open_loop(mut self, per_second: f64) {
        let seed = self.shared.settings.seed ^ (self.index as u64).rotate_left(32);
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut requests = JoinSet::new();
        let mut due = time::Instant::now();
        loop {
            due += interarrival_time(&mut rng, per_second);
            if self.is_stopped_before(due).await {
                break;
            }
            while requests.try_join_next().is_some() {}
            if self.shared.in_flight.load(Ordering::Relaxed) >= MAX_IN_FLIGHT {
                self.update(|stats| stats.skipped += 1);
                continue;
            }
            let caller = self.clone_caller();
            requests.spawn(async move { caller.request(due).await });
        }
        while requests.join_next().await.is_some() {}
    }

    async fn closed_loop(mut self, pause: clock::Millis) {
        loop {
            self.request(time::Instant::now()).await;
            if self.is_stopped_before(instant_after(pause)).await {
                break;
            }
        }
    }

    async fn feed_loop(mut self) {
        loop {
            self.feed().await;
            if self.is_stopped_before(instant_after(REOPEN_DELAY)).await {
                break;
            }
        }
    }

    async fn request(&self, due: time::Instant) {
        let shared = &self.shared;
        let (process, id) = self.record_invocation();
        shared.in_flight.fetch_add(1, Ordering::Relaxed);
        let exchange = self.exchange(&id);
        let outcome = time::timeout(shared.settings.timeout.to_duration(), exchange)
            .await
            .unwrap_or_else(|_elapsed| {
                Outcome::Unknown("the request timed out at the caller".to_owned())
            });
        shared.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.update(|stats| record(stats, &outcome, due.elapsed(), self.workload.kind.deadline));
        shared
            .recorder
            .record(process, &id, Action::Completed(outcome));
    }

    async fn exchange(&self, id: &str) -> Outcome {
        let response = match self.send(id).await {
            Ok(response) => response,
            Err(error) => return request::failure(&error),
        };
        if let Some(outcome) = request::status_outcome(&response) {
            return outcome;
        }
        let answer = request::parse_answer(&response);
        match response.bytes().await {
            Ok(body) => Outcome::Answered(history::Answer {
                whole: request::is_complete_body(&body, id, self.workload.kind.answer_len),
                ..answer
            }),
            Err(error) => request::failure(&error),
        }
    }

    async fn feed(&mut self) {
        let (process, id) = self.record_invocation();
        let recorder = self.shared.recorder.clone();
        let timeout = self.shared.settings.timeout.to_duration();
        let response = match time::timeout(timeout, self.send(&id)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return self.open_failed(process, &id, request::failure(&error)),
            Err(_) => {
                let outcome = Outcome::Unknown("the request timed out at the caller".to_owned());
                return self.open_failed(process, &id, outcome);
            }
        };
        if let Some(outcome) = request::status_outcome(&response) {
            return self.open_failed(process, &id, outcome);
        }
        recorder.record(process, &id, Action::Opened);
        let upstream = request::parse_answer(&response).upstream;
        recorder.record(process, &id, Action::Placed(upstream));
        self.update(|stats| stats.open += 1);
        let broken = self.read_feed(response, &id).await;
        self.update(|stats| {
            stats.open -= 1;
            stats.broken += u64::from(broken.is_some());
        });
        let action = broken.map_or(Action::Closed, Action::Broken);
        recorder.record(process, &id, action);
    }

    /// Reads the feed; returns `None` once the load is stopped, or the reason why the feed broke.
    async fn read_feed(&mut self, response: reqwest::Response, id: &str) -> Option<String> {
        let idle_timeout = self.shared.settings.idle_timeout.to_duration();
        let mut chunks = response.bytes_stream();
        let mut lines = LineChecker::default();
        loop {
            let next = tokio::select! {
                _ = self.stop.wait_for(|stop| *stop) => return None,
                next = time::timeout(idle_timeout, chunks.next()) => next,
            };
            match next {
                Ok(Some(Ok(chunk))) if lines.accept_chunk(&chunk, id) => {}
                Ok(Some(Ok(_))) => return Some("unexpected line in the feed".to_owned()),
                Ok(Some(Err(error))) => return Some(request::error_chain(&error)),
                Ok(None) => return Some("the feed ended before the caller closed it".to_owned()),
                Err(_) => return Some("no data within the idle timeout of the feed".to_owned()),
            }
        }
    }

    fn open_failed(&self, process: u32, id: &str, outcome: Outcome) {
        self.update(|stats| match outcome {
            Outcome::Refused => stats.refused += 1,
            _ => stats.unknown += 1,
        });
        self.shared
            .recorder
            .record(process, id, Action::Completed(outcome));
    }

    fn record_invocation(&self) -> (u32, String) {
        let process = self.shared.sequence.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}-{process}", self.shared.settings.id_prefix);
        let kind = &self.workload.kind;
        self.shared.recorder.record(
            process,
            &id,
            Action::Invoked {
                kind: kind.name.to_owned(),
                service: kind.service.to_owned(),
                safety: kind.safety,
            },
        );
        self.update(|stats| stats.sent += 1);
        (process, id)
    }

    async fn send(&self, id: &str) -> reqwest::Result<reqwest::Response> {
        let client = &self.shared.client;
        request::build(client, self.addr, &self.workload.kind, id)
            .send()
            .await
    }

    async fn is_stopped_before(&mut self, due: time::Instant) -> bool {
        tokio::select! {
            biased;
            _ = self.stop.wait_for(|stop| *stop) => true,
            () = time::sleep_until(due) => false,
        }
    }

    fn clone_caller(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            workload: self.workload.clone(),
            index: self.index,
            addr: self.addr,
            stop: self.stop.clone(),
        }
    }

    fn update(&self, update: impl FnOnce(&mut Stats)) {
        update(&mut mutex::lock(&self.shared.stats[self.index]));
    }
}

fn start_workload(arrival: Arrival, caller: impl Fn() -> Caller, tasks: &mut JoinSet<()>) {
    match arrival {
        Arrival::Open { per_second } => {
            tasks.spawn(caller().open_loop(per_second));
        }
        Arrival::Closed { callers, pause } => {
            for _ in 0..callers {
                tasks.spawn(caller().closed_loop(pause));
            }
        }
        Arrival::Feeds { callers } => {
            for _ in 0..callers {
                tasks.spawn(caller().feed_loop());
            }
        }
    }
}

fn service_port(
    ports: &[(String, SocketAddr)],
    service: &str,
) -> Result<SocketAddr, UnknownService> {
    ports
        .binary_search_by(|(name, _)| name.as_str().cmp(service))
        .map(|index| ports[index].1)
        .map_err(|_index| UnknownService(service.to_owned()))
}

fn client() -> reqwest::Client {
    reqwest::Client::builder()
        .pool_max_idle_per_host(0)
        .no_proxy()
        .tcp_nodelay(true)
        .build()
        .unwrap_or_default()
}

fn empty_stats(workload: &Workload) -> Stats {
    let latency = Histogram::new_with_max(HIGHEST_LATENCY_US, 3)
        .unwrap_or_else(|error| unreachable!("the constant histogram bounds are valid: {error}"));
    Stats {
        kind: workload.kind.name,
        sent: 0,
        answered: 0,
        late: 0,
        refused: 0,
        unknown: 0,
        skipped: 0,
        open: 0,
        broken: 0,
        latency,
    }
}

fn record(
    stats: &mut Stats,
    outcome: &Outcome,
    latency: time::Duration,
    deadline: Option<clock::Millis>,
) {
    match outcome {
        Outcome::Refused => stats.refused += 1,
        Outcome::Unknown(_) => stats.unknown += 1,
        Outcome::Answered(_) => {
            let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            stats.answered += 1;
            stats.late +=
                u64::from(deadline.is_some_and(|deadline| latency > deadline.to_duration()));
            stats.latency.saturating_record(us);
        }
    }
}

fn interarrival_time(rng: &mut SmallRng, per_second: f64) -> time::Duration {
    let uniform: f64 = rng.random();
    time::Duration::from_secs_f64(-(1.0 - uniform).ln() / per_second)
}

fn instant_after(pause: clock::Millis) -> time::Instant {
    time::Instant::now() + pause.to_duration()
}
