//! Histories of requests and feeds, and what must hold of them.
//!
//! Callers record an event at each invocation and completion. Once they are
//! done, the events are checked against the ledgers of the upstreams, which
//! tell what was really run.

use std::{
    fmt,
    sync::{Arc, Mutex, PoisonError},
};

use cassiacross::clock;
use serde::{Deserialize, Serialize};

/// Whether a repeated run of a request does harm.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Safety {
    /// A second run does no harm.
    Idempotent,
    /// Must run once at most.
    Once,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// An answer came.
    Answered(Answer),
    /// The caller was told that the request was not run.
    Refused,
    /// Whether the request was run is not known.
    Unknown(String),
}

/// What an answer says about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// Identity of the request that it answers.
    pub id: String,
    /// Service of the upstream that gave it.
    pub service: String,
    /// The upstream that gave it.
    pub upstream: String,
    /// Whether the body is whole and repeats the identity.
    pub whole: bool,
}

/// One thing that a caller did or saw.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// The caller.
    pub process: u32,
    /// Identity of the request or feed.
    pub id: String,
    /// When it happened.
    pub at: clock::Millis,
    /// What happened.
    pub action: Action,
}

/// What a caller did or saw.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// A request was sent.
    Invoked {
        /// Name of the kind of request.
        kind: String,
        /// The service that was asked.
        service: String,
        /// Whether it may run twice.
        safety: Safety,
    },
    /// A request ended.
    Completed(Outcome),
    /// A feed sent its first line.
    Opened,
    /// A feed is served by the named upstream.
    Placed(String),
    /// A feed ended though its caller wanted it.
    Broken(String),
    /// A feed was ended by its caller.
    Closed,
}

/// A request that an upstream ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Execution {
    /// Identity of the request.
    pub id: String,
    /// Service of the upstream that ran it.
    pub service: String,
    /// The upstream that ran it.
    pub upstream: String,
}

/// What the upstreams ran.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ledger {
    /// All runs of all upstreams that could be asked.
    pub executions: Vec<Execution>,
    /// Upstreams that were killed with their ledgers, sorted by name.
    pub lost: Vec<String>,
}

/// A rule that a history broke, and by which request or feed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// The answer is another request's.
    ForeignAnswer(String),
    /// The answer is cut or its body is another's.
    TornAnswer(String),
    /// An upstream of another service got the request.
    WrongService(String),
    /// The caller was told "not run", but it ran.
    RefusedButRun(String),
    /// A request that must run once ran more often.
    Doubled(String),
    /// An answer came, but no ledger holds a run.
    AnsweredNotRun(String),
    /// The request has no completion, more than one, or no invocation.
    Unaccounted(String),
    /// A ledger holds a request that nobody sent.
    Unsent(String),
    /// A feed ended though its caller wanted it.
    BrokenFeed(String),
}

/// Counts and violations of a history.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Requests sent, without feeds.
    pub requests: usize,
    /// Requests that got an answer.
    pub answered: usize,
    /// Requests that were certainly not run.
    pub refused: usize,
    /// Requests of unknown outcome.
    pub unknown: usize,
    /// Answers of upstreams whose ledgers are lost, so that no run can be shown.
    pub unshown: usize,
    /// Feeds that sent a first line.
    pub feeds: usize,
    /// The rules that were broken.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Violations that `fits` selects.
    #[must_use]
    pub fn count(&self, fits: impl Fn(&Violation) -> bool) -> usize {
        self.violations
            .iter()
            .filter(|violation| fits(violation))
            .count()
    }

    /// Requests that an upstream of another service got.
    #[must_use]
    pub fn wrong_service(&self) -> usize {
        self.count(|violation| matches!(violation, Violation::WrongService(_)))
    }

    /// Requests that must run once and ran more often.
    #[must_use]
    pub fn doubled(&self) -> usize {
        self.count(|violation| matches!(violation, Violation::Doubled(_)))
    }

    /// Feeds that ended though their callers wanted them.
    #[must_use]
    pub fn broken_feeds(&self) -> usize {
        self.count(|violation| matches!(violation, Violation::BrokenFeed(_)))
    }
}

/// Collects the events of many callers.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    clock: clock::Clock,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Recorder {
    /// Appends an event that happens now.
    pub fn record(&self, process: u32, id: &str, action: Action) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        events.push(Event {
            process,
            id: id.to_owned(),
            at: self.clock.now(),
            action,
        });
    }

    /// The time by the recorder's clock.
    #[must_use]
    pub fn now(&self) -> clock::Millis {
        self.clock.now()
    }

    /// The events so far, in the order of their times.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        self.events
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Checks events against the upstreams' ledgers.
#[must_use]
pub fn check(events: &[Event], ledger: &Ledger) -> Report {
    let entries = entries(events);
    let mut executions: Vec<_> = ledger.executions.iter().collect();
    executions.sort_by(|a, b| a.id.cmp(&b.id));
    let mut report = Report::default();
    for entry in &entries {
        let runs = range(&executions, entry.id, |run| &run.id);
        check_entry(entry, runs, &ledger.lost, &mut report);
    }
    for run in executions {
        if entries
            .binary_search_by(|entry| entry.id.cmp(&run.id))
            .is_err()
        {
            report.violations.push(Violation::Unsent(run.id.clone()));
        }
    }
    report
}

struct Entry<'a> {
    id: &'a str,
    actions: Vec<&'a Action>,
}

fn entries(events: &[Event]) -> Vec<Entry<'_>> {
    let mut sorted: Vec<_> = events.iter().collect();
    sorted.sort_by(|a, b| a.id.cmp(&b.id));
    sorted
        .chunk_by(|a, b| a.id == b.id)
        .map(|events| Entry {
            id: &events[0].id,
            actions: events.iter().map(|event| &event.action).collect(),
        })
        .collect()
}

fn check_entry(entry: &Entry<'_>, runs: &[&Execution], lost: &[String], report: &mut Report) {
    let is_feed = check_feed(entry, report);
    let invocations: Vec<_> = entry
        .actions
        .iter()
        .filter_map(|action| match action {
            Action::Invoked {
                service, safety, ..
            } => Some((service, *safety)),
            _ => None,
        })
        .collect();
    let [(service, safety)] = invocations.as_slice() else {
        report
            .violations
            .push(Violation::Unaccounted(entry.id.to_owned()));
        return;
    };
    check_runs(entry.id, service, *safety, runs, report);
    if !is_feed {
        report.requests += 1;
        check_outcome(entry, service, runs, lost, report);
    }
}

fn check_feed(entry: &Entry<'_>, report: &mut Report) -> bool {
    let opened = entry.actions.contains(&&Action::Opened);
    let broken = entry
        .actions
        .iter()
        .any(|action| matches!(action, Action::Broken(_)));
    let closed = entry.actions.contains(&&Action::Closed);
    report.feeds += usize::from(opened);
    if broken {
        report
            .violations
            .push(Violation::BrokenFeed(entry.id.to_owned()));
    }
    if opened && !broken && !closed {
        report
            .violations
            .push(Violation::Unaccounted(entry.id.to_owned()));
    }
    opened || broken || closed
}

fn check_runs(id: &str, service: &str, safety: Safety, runs: &[&Execution], report: &mut Report) {
    if runs.iter().any(|run| run.service != service) {
        report
            .violations
            .push(Violation::WrongService(id.to_owned()));
    }
    if safety == Safety::Once && runs.len() > 1 {
        report.violations.push(Violation::Doubled(id.to_owned()));
    }
}

fn check_outcome(
    entry: &Entry<'_>,
    service: &str,
    runs: &[&Execution],
    lost: &[String],
    report: &mut Report,
) {
    let outcomes: Vec<_> = entry
        .actions
        .iter()
        .filter_map(|action| match action {
            Action::Completed(outcome) => Some(outcome),
            _ => None,
        })
        .collect();
    let id = || entry.id.to_owned();
    match outcomes.as_slice() {
        [Outcome::Answered(answer)] => {
            report.answered += 1;
            check_answer(entry.id, service, answer, report);
            check_shown(entry.id, answer, runs, lost, report);
        }
        [Outcome::Refused] => {
            report.refused += 1;
            if !runs.is_empty() {
                report.violations.push(Violation::RefusedButRun(id()));
            }
        }
        [Outcome::Unknown(_)] => report.unknown += 1,
        _ => report.violations.push(Violation::Unaccounted(id())),
    }
}

fn check_answer(id: &str, service: &str, answer: &Answer, report: &mut Report) {
    if answer.id != id {
        report
            .violations
            .push(Violation::ForeignAnswer(id.to_owned()));
    }
    if !answer.whole {
        report.violations.push(Violation::TornAnswer(id.to_owned()));
    }
    if answer.service != service {
        report
            .violations
            .push(Violation::WrongService(id.to_owned()));
    }
}

fn check_shown(
    id: &str,
    answer: &Answer,
    runs: &[&Execution],
    lost: &[String],
    report: &mut Report,
) {
    if !runs.is_empty() {
        return;
    }
    if lost.binary_search(&answer.upstream).is_ok() {
        report.unshown += 1;
    } else {
        report
            .violations
            .push(Violation::AnsweredNotRun(id.to_owned()));
    }
}

fn range<'a, T>(sorted: &'a [T], key: &str, of: impl Fn(&T) -> &str) -> &'a [T] {
    let start = sorted.partition_point(|item| of(item) < key);
    let end = sorted.partition_point(|item| of(item) <= key);
    &sorted[start..end]
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} requests: {} answered, {} refused, {} unknown; {} feeds, {} broken; {} violations",
            self.requests,
            self.answered,
            self.refused,
            self.unknown,
            self.feeds,
            self.broken_feeds(),
            self.violations.len(),
        )
    }
}
