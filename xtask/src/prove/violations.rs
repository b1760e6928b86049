//! Counts the violations of each invariant in the recorded requests and feeds.

use cassiacross::clock;
use standins::history::{self, Action, Event, Outcome, Violation};

use crate::prove::faults::{Log, Window};

/// Time after a fault during which requests may still fail because of it.
const FAULT_AFTERMATH: clock::Millis = clock::Millis(2_000);

/// Number of violations of each invariant.
#[derive(Debug, Default)]
pub struct Counts {
    /// Broken feeds, without those of killed hosts.
    pub feeds_broken: usize,
    /// Feeds that broke because their host was killed.
    pub feeds_lost: usize,
    /// Responses that belong to another request or are incomplete.
    pub foreign_answers: usize,
    /// Requests that ran although their caller was told "not run".
    pub not_run_but_run: usize,
    /// Requests that a draining upstream ran although they were sent after the time limit for
    /// the drain to be in force.
    pub leaving_got_work: usize,
    /// Requests of unknown outcome in a period with planned changes only.
    pub planned_stop_cuts: usize,
    /// Requests without a matching execution, or executions without a matching request.
    pub unaccounted: usize,
    /// Description of each violation, and of each request of unknown outcome.
    pub notes: Vec<String>,
}

/// Recorded events of one request or feed.
#[derive(Debug)]
struct RequestEvents<'a> {
    id: &'a str,
    invoked: clock::Millis,
    last: &'a Event,
    upstream: Option<&'a str>,
}

/// Counts the violations in the events of all requests and the ledgers of the upstreams.
pub fn count(
    events: &[Event],
    ledger: &history::Ledger,
    report: &history::Report,
    log: &Log,
) -> Counts {
    let mut counts = Counts::default();
    let mut sorted: Vec<_> = events.iter().collect();
    sorted.sort_by(|a, b| a.id.cmp(&b.id));
    let requests: Vec<_> = sorted
        .chunk_by(|a, b| a.id == b.id)
        .map(request_events)
        .collect();
    for violation in &report.violations {
        count_violation(violation, &mut counts);
    }
    for request in &requests {
        check_feed(request, log, &mut counts);
        check_unknown_outcome(request, ledger, log, &mut counts);
    }
    for execution in &ledger.executions {
        check_drained_upstream(execution, &requests, log, &mut counts);
    }
    counts
}

/// Summarizes the events of one request or feed, in order of time.
fn request_events<'a>(events: &[&'a Event]) -> RequestEvents<'a> {
    let placed = events.iter().find_map(|event| match &event.action {
        Action::Placed(upstream) => Some(upstream.as_str()),
        _ => None,
    });
    RequestEvents {
        id: &events[0].id,
        invoked: events[0].at,
        last: events[events.len() - 1],
        upstream: placed,
    }
}

fn count_violation(violation: &Violation, counts: &mut Counts) {
    let counter = match violation {
        Violation::ForeignAnswer(_) | Violation::TornAnswer(_) => &mut counts.foreign_answers,
        Violation::RefusedButRun(_) => &mut counts.not_run_but_run,
        Violation::AnsweredNotRun(_) | Violation::Unaccounted(_) | Violation::Unsent(_) => {
            &mut counts.unaccounted
        }
        // Counted elsewhere: `check_feed` counts broken feeds, because it sets those of killed hosts
        // apart; `history::Report` counts `WrongService` and `Doubled`.
        Violation::BrokenFeed(_) => return,
        Violation::WrongService(_) | Violation::Doubled(_) => &mut 0,
    };
    *counter += 1;
    counts.notes.push(format!("{violation:?}"));
}

/// Counts a broken feed, apart from the feeds of killed hosts.
fn check_feed(request: &RequestEvents<'_>, log: &Log, counts: &mut Counts) {
    let Action::Broken(reason) = &request.last.action else {
        return;
    };
    let is_host_killed = log
        .kills
        .iter()
        .any(|(name, at)| Some(name.as_str()) == request.upstream && request.last.at >= *at);
    if is_host_killed {
        counts.feeds_lost += 1;
    } else {
        counts.feeds_broken += 1;
        counts.notes.push(format!(
            "feed {} on upstream {:?} broke at {} ms: {reason}",
            request.id, request.upstream, request.last.at.0
        ));
    }
}

/// Notes a request of unknown outcome, and counts it if only planned changes can have caused it.
fn check_unknown_outcome(
    request: &RequestEvents<'_>,
    ledger: &history::Ledger,
    log: &Log,
    counts: &mut Counts,
) {
    let Action::Completed(Outcome::Unknown(reason)) = &request.last.action else {
        return;
    };
    let overlaps = |planned: bool, after: clock::Millis| {
        move |window: &&Window| {
            window.is_planned == planned
                && window.from <= request.last.at
                && window.until.0 + after.0 >= request.invoked.0
        }
    };
    let has_fault = log
        .windows
        .iter()
        .find(overlaps(false, FAULT_AFTERMATH))
        .is_some();
    let has_planned_change = log
        .windows
        .iter()
        .find(overlaps(true, clock::Millis(0)))
        .is_some();
    let upstreams: Vec<_> = ledger
        .executions
        .iter()
        .filter(|execution| execution.id == request.id)
        .map(|execution| execution.upstream.as_str())
        .collect();
    counts.notes.push(format!(
        "request {} sent at {} ms ended with unknown outcome at {} ms, run by {upstreams:?}: {reason}",
        request.id, request.invoked.0, request.last.at.0
    ));
    if has_planned_change && !has_fault {
        counts.planned_stop_cuts += 1;
    }
}

/// Counts an execution whose request was sent while its draining upstream must get no new requests.
fn check_drained_upstream(
    execution: &history::Execution,
    requests: &[RequestEvents<'_>],
    log: &Log,
    counts: &mut Counts,
) {
    let Ok(index) = requests.binary_search_by(|request| request.id.cmp(&execution.id)) else {
        return;
    };
    let invoked = requests[index].invoked;
    let is_drain_due = log.drains.iter().any(|drain| {
        drain.upstream == execution.upstream && invoked >= drain.from && invoked < drain.until
    });
    if is_drain_due {
        counts.leaving_got_work += 1;
        counts.notes.push(format!(
            "{} was run by draining upstream {} although the drain had to be in force when it was sent, at {} ms",
            execution.id, execution.upstream, invoked.0
        ));
    }
}
