//! Load from callers: open and closed loops of requests, and open feeds.
//!
//! Each request has an identity of its own and opens a flow of its own. What
//! is sent and what comes back goes to a [`history::Recorder`]; latencies count
//! from the time a request was due, so that a slow system does not hide its
//! delay by slowing the callers.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

use cassiacross::clock;
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
const REOPEN_PAUSE: clock::Millis = clock::Millis(500);

/// When requests of a kind are sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrival {
    /// A Poisson process, whatever the answers do.
    Open {
        /// Mean rate.
        per_second: f64,
    },
    /// Each caller sends its next request after the answer and a pause.
    Closed {
        /// Number of callers.
        callers: u32,
        /// Pause after an answer.
        pause: clock::Millis,
    },
    /// Each caller keeps one feed open and opens it again after a break.
    Feeds {
        /// Number of callers.
        callers: u32,
    },
}

/// Requests of one kind.
#[derive(Clone, Debug)]
pub struct Workload {
    /// What is sent.
    pub kind: request::Kind,
    /// When it is sent.
    pub arrival: Arrival,
}

/// A plan names a service that has no port.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("no port is known of service {0}")]
pub struct UnknownService(pub String);

/// What all plans of a load share.
#[derive(Clone, Debug)]
pub struct Settings {
    /// TCP ports of the services at the fabric, sorted by name.
    pub ports: Vec<(String, SocketAddr)>,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Start of each request's identity; differs between loads that share a recorder.
    pub id_prefix: String,
    /// Time after which a caller gives up.
    pub timeout: clock::Millis,
    /// Silence after which a feed counts as broken.
    pub idle_timeout: clock::Millis,
}

/// Stats of one plan.
#[derive(Clone, Debug)]
pub struct Stats {
    /// Name of the kind.
    pub kind: &'static str,
    /// Requests sent, or feeds asked for.
    pub sent: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests answered after the caller's deadline.
    pub late: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests of unknown outcome.
    pub unknown: u64,
    /// Arrivals not sent, because too many requests were open at the caller.
    pub skipped: u64,
    /// Feeds open now.
    pub open: u64,
    /// Feeds that broke.
    pub broken: u64,
    /// Latency of answered requests, in microseconds.
    pub latency: Histogram<u64>,
}

/// Callers at work.
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
    figures: Vec<Mutex<Stats>>,
    sequence: AtomicU32,
    in_flight: AtomicU32,
}

struct Caller {
    shared: Arc<Shared>,
    plan: Workload,
    index: usize,
    addr: SocketAddr,
    stop: watch::Receiver<bool>,
}

/// Lines of a feed, numbered from 0 without a gap.
#[derive(Debug, Default)]
struct Lines {
    rest: Vec<u8>,
    next: u64,
}

impl Lines {
    /// Takes the next bytes; false if a line is not the next one of its feed.
    fn follow(&mut self, part: &[u8], id: &str) -> bool {
        self.rest.extend_from_slice(part);
        while let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
            let line: Vec<_> = self.rest.drain(..=end).collect();
            if !request::is_feed_line(&line[..end], id, self.next) {
                return false;
            }
            self.next += 1;
        }
        self.rest.len() <= MAX_LINE_LEN
    }
}

impl Load {
    /// Starts the callers of all plans.
    pub fn start(
        settings: Settings,
        plans: &[Workload],
        recorder: &history::Recorder,
    ) -> Result<Self, UnknownService> {
        let addrs: Vec<_> = plans
            .iter()
            .map(|plan| port(&settings.ports, plan.kind.service))
            .collect::<Result<_, _>>()?;
        let (stop, stopped) = watch::channel(false);
        let shared = Arc::new(Shared {
            settings,
            recorder: recorder.clone(),
            client: client(),
            figures: plans.iter().map(|plan| Mutex::new(figures(plan))).collect(),
            sequence: AtomicU32::new(0),
            in_flight: AtomicU32::new(0),
        });
        let mut tasks = JoinSet::new();
        for (index, plan) in plans.iter().enumerate() {
            let caller = || Caller {
                shared: Arc::clone(&shared),
                plan: plan.clone(),
                index,
                addr: addrs[index],
                stop: stopped.clone(),
            };
            start_plan(plan.arrival, caller, &mut tasks);
        }
        Ok(Self {
            shared,
            stop,
            tasks,
        })
    }

    /// Stats of all plans so far, in their order.
    #[must_use]
    pub fn stats(&self) -> Vec<Stats> {
        self.shared
            .figures
            .iter()
            .map(|figures| lock(figures).clone())
            .collect()
    }

    /// Sends nothing new, waits for all answers, closes feeds and gives the figures.
    pub async fn stop(mut self) -> Vec<Stats> {
        let _no_caller = self.stop.send(true);
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
            due += gap(&mut rng, per_second);
            if self.is_stopped_by(due).await {
                break;
            }
            while requests.try_join_next().is_some() {}
            if self.shared.in_flight.load(Ordering::Relaxed) >= MAX_IN_FLIGHT {
                self.count(|figures| figures.skipped += 1);
                continue;
            }
            let caller = self.again();
            requests.spawn(async move { caller.request(due).await });
        }
        while requests.join_next().await.is_some() {}
    }

    async fn closed_loop(mut self, pause: clock::Millis) {
        loop {
            self.request(time::Instant::now()).await;
            if self.is_stopped_by(after(pause)).await {
                break;
            }
        }
    }

    async fn feed_loop(mut self) {
        loop {
            self.feed().await;
            if self.is_stopped_by(after(REOPEN_PAUSE)).await {
                break;
            }
        }
    }

    async fn request(&self, due: time::Instant) {
        let shared = &self.shared;
        let (process, id) = self.invoke();
        shared.in_flight.fetch_add(1, Ordering::Relaxed);
        let exchange = self.exchange(&id);
        let outcome = time::timeout(shared.settings.timeout.to_duration(), exchange)
            .await
            .unwrap_or_else(|_elapsed| Outcome::Unknown("the caller gave up".to_owned()));
        shared.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.count(|figures| add(figures, &outcome, due.elapsed(), self.plan.kind.deadline));
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
                whole: request::is_complete_body(&body, id, self.plan.kind.answer_len),
                ..answer
            }),
            Err(error) => request::failure(&error),
        }
    }

    async fn feed(&mut self) {
        let (process, id) = self.invoke();
        let recorder = self.shared.recorder.clone();
        let patience = self.shared.settings.timeout.to_duration();
        let response = match time::timeout(patience, self.send(&id)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return self.not_opened(process, &id, request::failure(&error)),
            Err(_) => {
                let outcome = Outcome::Unknown("the caller gave up".to_owned());
                return self.not_opened(process, &id, outcome);
            }
        };
        if let Some(outcome) = request::status_outcome(&response) {
            return self.not_opened(process, &id, outcome);
        }
        recorder.record(process, &id, Action::Opened);
        let upstream = request::parse_answer(&response).upstream;
        recorder.record(process, &id, Action::Placed(upstream));
        self.count(|figures| figures.open += 1);
        let broken = self.read_feed(response, &id).await;
        self.count(|figures| {
            figures.open -= 1;
            figures.broken += u64::from(broken.is_some());
        });
        let action = broken.map_or(Action::Closed, Action::Broken);
        recorder.record(process, &id, action);
    }

    /// Reads until the caller is stopped, or tells why the feed broke.
    async fn read_feed(&mut self, response: reqwest::Response, id: &str) -> Option<String> {
        let silence = self.shared.settings.idle_timeout.to_duration();
        let mut parts = response.bytes_stream();
        let mut lines = Lines::default();
        loop {
            let next = tokio::select! {
                _ = self.stop.wait_for(|stop| *stop) => return None,
                next = time::timeout(silence, parts.next()) => next,
            };
            match next {
                Ok(Some(Ok(part))) if lines.follow(&part, id) => {}
                Ok(Some(Ok(_))) => return Some("the feed has a wrong line".to_owned()),
                Ok(Some(Err(error))) => return Some(request::error_chain(&error)),
                Ok(None) => return Some("the feed ended".to_owned()),
                Err(_) => return Some("the feed is silent".to_owned()),
            }
        }
    }

    fn not_opened(&self, process: u32, id: &str, outcome: Outcome) {
        self.count(|figures| match outcome {
            Outcome::Refused => figures.refused += 1,
            _ => figures.unknown += 1,
        });
        self.shared
            .recorder
            .record(process, id, Action::Completed(outcome));
    }

    fn invoke(&self) -> (u32, String) {
        let process = self.shared.sequence.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}-{process}", self.shared.settings.id_prefix);
        let kind = &self.plan.kind;
        self.shared.recorder.record(
            process,
            &id,
            Action::Invoked {
                kind: kind.name.to_owned(),
                service: kind.service.to_owned(),
                safety: kind.safety,
            },
        );
        self.count(|figures| figures.sent += 1);
        (process, id)
    }

    async fn send(&self, id: &str) -> reqwest::Result<reqwest::Response> {
        let client = &self.shared.client;
        request::build(client, self.addr, &self.plan.kind, id)
            .send()
            .await
    }

    async fn is_stopped_by(&mut self, due: time::Instant) -> bool {
        tokio::select! {
            biased;
            _ = self.stop.wait_for(|stop| *stop) => true,
            () = time::sleep_until(due) => false,
        }
    }

    fn again(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            plan: self.plan.clone(),
            index: self.index,
            addr: self.addr,
            stop: self.stop.clone(),
        }
    }

    fn count(&self, change: impl FnOnce(&mut Stats)) {
        change(&mut lock(&self.shared.figures[self.index]));
    }
}

fn start_plan(arrival: Arrival, caller: impl Fn() -> Caller, tasks: &mut JoinSet<()>) {
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

fn port(ports: &[(String, SocketAddr)], service: &str) -> Result<SocketAddr, UnknownService> {
    ports
        .binary_search_by(|(name, _)| name.as_str().cmp(service))
        .map(|index| ports[index].1)
        .map_err(|_place| UnknownService(service.to_owned()))
}

fn client() -> reqwest::Client {
    reqwest::Client::builder()
        .pool_max_idle_per_host(0)
        .no_proxy()
        .tcp_nodelay(true)
        .build()
        .unwrap_or_default()
}

fn figures(plan: &Workload) -> Stats {
    let latency = Histogram::new_with_max(HIGHEST_LATENCY_US, 3)
        .unwrap_or_else(|error| unreachable!("the bounds are constants: {error}"));
    Stats {
        kind: plan.kind.name,
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

fn add(
    figures: &mut Stats,
    outcome: &Outcome,
    latency: time::Duration,
    deadline: Option<clock::Millis>,
) {
    match outcome {
        Outcome::Refused => figures.refused += 1,
        Outcome::Unknown(_) => figures.unknown += 1,
        Outcome::Answered(_) => {
            let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            figures.answered += 1;
            figures.late +=
                u64::from(deadline.is_some_and(|deadline| latency > deadline.to_duration()));
            figures.latency.saturating_record(us);
        }
    }
}

fn gap(rng: &mut SmallRng, per_second: f64) -> time::Duration {
    let uniform: f64 = rng.random();
    time::Duration::from_secs_f64(-(1.0 - uniform).ln() / per_second)
}

fn after(pause: clock::Millis) -> time::Instant {
    time::Instant::now() + pause.to_duration()
}

fn lock(figures: &Mutex<Stats>) -> MutexGuard<'_, Stats> {
    figures.lock().unwrap_or_else(PoisonError::into_inner)
}
