//! Records and checks the histories of requests and feeds.
//!
//! A feed is a long-lived streaming response. Callers record an event at each invocation and
//! completion. At the end, the events are checked against the execution ledgers of the upstreams,
//! which contain all executed requests.

use std::{
    fmt,
    sync::{Arc, Mutex},
};

use cassiacross::{clock, mutex};
use serde::{Deserialize, Serialize};

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Safety {
    /// Repeated execution has no additional effect.
    Idempotent,
    /// Must be executed at most once.
    Once,
}

/// Outcome of a request from the caller's view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// A response arrived.
    Answered(Answer),
    /// The request was refused and, according to the response, not executed.
    Refused,
    /// It is unknown whether the request was executed; the text is the error.
    Unknown(String),
}

/// Identification and integrity of a response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// Request ID in the response.
    pub id: String,
    /// Service of the responding upstream.
    pub service: String,
    /// Name of the responding upstream.
    pub upstream: String,
    /// Whether the body is complete and consists of the request ID.
    pub whole: bool,
}

/// A timestamped action of a caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// Number of the caller.
    pub process: u32,
    /// ID of the request or feed.
    pub id: String,
    /// Time of the event.
    pub at: clock::Millis,
    /// Action or observation.
    pub action: Action,
}

/// An action or observation of a caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// A request was sent.
    Invoked {
        /// Name of the kind of request.
        kind: String,
        /// Name of the target service.
        service: String,
        /// Whether the request may be executed more than once.
        safety: Safety,
    },
    /// A request completed.
    Completed(Outcome),
    /// A feed was opened; its response head arrived.
    Opened,
    /// The feed is served by the upstream with this name.
    Placed(String),
    /// The feed ended although the caller had not closed it; the text is the reason.
    Broken(String),
    /// The caller closed the feed.
    Closed,
}

/// An execution of a request by an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Execution {
    /// Request ID.
    pub id: String,
    /// Service of the executing upstream.
    pub service: String,
    /// Name of the executing upstream.
    pub upstream: String,
}

/// Execution ledgers of all upstreams.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ledger {
    /// Executions of all upstreams whose ledgers are available.
    pub executions: Vec<Execution>,
    /// Names of killed upstreams whose ledgers are lost, sorted.
    pub lost: Vec<String>,
}

/// A violated property of a history, with the ID of the request or feed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// The response belongs to another request.
    ForeignAnswer(String),
    /// The response body is truncated or has wrong content.
    TornAnswer(String),
    /// The request was executed or answered by an upstream of another service.
    WrongService(String),
    /// The request was refused as not executed, but was executed.
    RefusedButRun(String),
    /// A request with [`Safety::Once`] was executed more than once.
    Doubled(String),
    /// A response arrived, but no ledger contains an execution.
    AnsweredNotRun(String),
    /// The request does not have exactly one invocation and one completion.
    Unaccounted(String),
    /// A ledger contains an execution of a request that no caller sent.
    Unsent(String),
    /// The feed ended although the caller had not closed it.
    BrokenFeed(String),
}

/// Counts and violations of a history.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Requests sent, without feeds.
    pub requests: usize,
    /// Requests with a response.
    pub answered: usize,
    /// Requests refused as not executed.
    pub refused: usize,
    /// Requests with unknown outcome.
    pub unknown: usize,
    /// Responses of upstreams whose ledgers are lost, so that no execution can be verified.
    pub unshown: usize,
    /// Feeds that were opened.
    pub feeds: usize,
    /// Violations found.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Returns the number of violations that match a predicate.
    #[must_use]
    pub fn count(&self, predicate: impl Fn(&Violation) -> bool) -> usize {
        self.violations
            .iter()
            .filter(|violation| predicate(violation))
            .count()
    }

    /// Returns the number of [`Violation::WrongService`] violations.
    #[must_use]
    pub fn wrong_service(&self) -> usize {
        self.count(|violation| matches!(violation, Violation::WrongService(_)))
    }

    /// Returns the number of [`Violation::Doubled`] violations.
    #[must_use]
    pub fn doubled(&self) -> usize {
        self.count(|violation| matches!(violation, Violation::Doubled(_)))
    }

    /// Returns the number of [`Violation::BrokenFeed`] violations.
    #[must_use]
    pub fn broken_feeds(&self) -> usize {
        self.count(|violation| matches!(violation, Violation::BrokenFeed(_)))
    }
}

/// Thread-safe recorder of the events of all callers.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    clock: clock::Clock,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Recorder {
    /// Appends an event with the current time.
    pub fn record(&self, process: u32, id: &str, action: Action) {
        let mut events = mutex::lock(&self.events);
        events.push(Event {
            process,
            id: id.to_owned(),
            at: self.clock.now(),
            action,
        });
    }

    /// Returns the current time of the recorder's clock.
    #[must_use]
    pub fn now(&self) -> clock::Millis {
        self.clock.now()
    }

    /// Returns the events recorded so far, in chronological order.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        mutex::lock(&self.events).clone()
    }
}

/// Checks the events of all callers against the execution ledgers of the upstreams.
#[must_use]
pub fn check(events: &[Event], ledger: &Ledger) -> Report {
    let requests = group_by_id(events);
    let mut executions: Vec<_> = ledger.executions.iter().collect();
    executions.sort_by(|a, b| a.id.cmp(&b.id));
    let mut report = Report::default();
    for request in &requests {
        let executions = equal_range(&executions, request.id, |execution| &execution.id);
        check_request(request, executions, &ledger.lost, &mut report);
    }
    for execution in executions {
        if requests
            .binary_search_by(|request| request.id.cmp(&execution.id))
            .is_err()
        {
            report
                .violations
                .push(Violation::Unsent(execution.id.clone()));
        }
    }
    report
}

struct RequestHistory<'a> {
    id: &'a str,
    actions: Vec<&'a Action>,
}

fn group_by_id(events: &[Event]) -> Vec<RequestHistory<'_>> {
    let mut sorted: Vec<_> = events.iter().collect();
    sorted.sort_by(|a, b| a.id.cmp(&b.id));
    sorted
        .chunk_by(|a, b| a.id == b.id)
        .map(|events| RequestHistory {
            id: &events[0].id,
            actions: events.iter().map(|event| &event.action).collect(),
        })
        .collect()
}

fn check_request(
    request: &RequestHistory<'_>,
    executions: &[&Execution],
    lost: &[String],
    report: &mut Report,
) {
    let is_feed = check_feed(request, report);
    let invocations: Vec<_> = request
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
            .push(Violation::Unaccounted(request.id.to_owned()));
        return;
    };
    check_executions(request.id, service, *safety, executions, report);
    if !is_feed {
        report.requests += 1;
        check_outcome(request, service, executions, lost, report);
    }
}

fn check_feed(request: &RequestHistory<'_>, report: &mut Report) -> bool {
    let opened = request.actions.contains(&&Action::Opened);
    let broken = request
        .actions
        .iter()
        .any(|action| matches!(action, Action::Broken(_)));
    let closed = request.actions.contains(&&Action::Closed);
    report.feeds += usize::from(opened);
    if broken {
        report
            .violations
            .push(Violation::BrokenFeed(request.id.to_owned()));
    }
    if opened && !broken && !closed {
        report
            .violations
            .push(Violation::Unaccounted(request.id.to_owned()));
    }
    opened || broken || closed
}

fn check_executions(
    id: &str,
    service: &str,
    safety: Safety,
    executions: &[&Execution],
    report: &mut Report,
) {
    if executions
        .iter()
        .any(|execution| execution.service != service)
    {
        report
            .violations
            .push(Violation::WrongService(id.to_owned()));
    }
    if safety == Safety::Once && executions.len() > 1 {
        report.violations.push(Violation::Doubled(id.to_owned()));
    }
}

fn check_outcome(
    request: &RequestHistory<'_>,
    service: &str,
    executions: &[&Execution],
    lost: &[String],
    report: &mut Report,
) {
    let outcomes: Vec<_> = request
        .actions
        .iter()
        .filter_map(|action| match action {
            Action::Completed(outcome) => Some(outcome),
            _ => None,
        })
        .collect();
    let id = || request.id.to_owned();
    match outcomes.as_slice() {
        [Outcome::Answered(answer)] => {
            report.answered += 1;
            check_response(request.id, service, answer, report);
            check_execution_known(request.id, answer, executions, lost, report);
        }
        [Outcome::Refused] => {
            report.refused += 1;
            if !executions.is_empty() {
                report.violations.push(Violation::RefusedButRun(id()));
            }
        }
        [Outcome::Unknown(_)] => report.unknown += 1,
        _ => report.violations.push(Violation::Unaccounted(id())),
    }
}

fn check_response(id: &str, service: &str, answer: &Answer, report: &mut Report) {
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

fn check_execution_known(
    id: &str,
    answer: &Answer,
    executions: &[&Execution],
    lost: &[String],
    report: &mut Report,
) {
    if !executions.is_empty() {
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

fn equal_range<'a, T>(sorted: &'a [T], key: &str, key_of: impl Fn(&T) -> &str) -> &'a [T] {
    let start = sorted.partition_point(|item| key_of(item) < key);
    let end = sorted.partition_point(|item| key_of(item) <= key);
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
