//! Counts violations per point of what must always hold.

use cassiacross::clock;
use standins::history::{self, Action, Event, Outcome, Violation};

use crate::prove::faults::{Log, Window};

/// Time after a fault in which its consequences may still show.
const AFTER: clock::Millis = clock::Millis(2_000);

/// Counts of a run.
#[derive(Debug, Default)]
pub struct Counts {
    /// Feeds that broke, but for those on killed hosts.
    pub feeds_broken: usize,
    /// Feeds that broke with their killed host.
    pub feeds_lost: usize,
    /// Answers of other requests, or answers that are not whole.
    pub foreign_answers: usize,
    /// Requests that ran though their caller was told that they did not.
    pub not_run_but_run: usize,
    /// Requests that a leaving upstream ran though they were sent too late.
    pub leaving_got_work: usize,
    /// Requests of unknown outcome while there were only planned changes.
    pub planned_stop_cuts: usize,
    /// Requests or runs that do not fit together.
    pub unaccounted: usize,
    /// What was violated.
    pub notes: Vec<String>,
}

/// What a history says of one request.
#[derive(Debug)]
struct Entry<'a> {
    id: &'a str,
    invoked: clock::Millis,
    last: &'a Event,
    upstream: Option<&'a str>,
}

/// Judges a history.
pub fn count(
    events: &[Event],
    ledger: &history::Ledger,
    report: &history::Report,
    log: &Log,
) -> Counts {
    let mut counts = Counts::default();
    let mut sorted: Vec<_> = events.iter().collect();
    sorted.sort_by(|a, b| a.id.cmp(&b.id));
    let entries: Vec<_> = sorted.chunk_by(|a, b| a.id == b.id).map(entry).collect();
    for violation in &report.violations {
        count_violation(violation, &mut counts);
    }
    for entry in &entries {
        check_feed(entry, log, &mut counts);
        check_unknown(entry, ledger, log, &mut counts);
    }
    for run in &ledger.executions {
        check_draining(run, &entries, log, &mut counts);
    }
    counts
}

fn entry<'a>(events: &[&'a Event]) -> Entry<'a> {
    let placed = events.iter().find_map(|event| match &event.action {
        Action::Placed(upstream) => Some(upstream.as_str()),
        _ => None,
    });
    Entry {
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
        // Feeds are judged with the killed hosts in view; the others are counted by the report.
        Violation::BrokenFeed(_) => return,
        Violation::WrongService(_) | Violation::Doubled(_) => &mut 0,
    };
    *counter += 1;
    counts.notes.push(format!("{violation:?}"));
}

fn check_feed(entry: &Entry<'_>, log: &Log, counts: &mut Counts) {
    let Action::Broken(reason) = &entry.last.action else {
        return;
    };
    let is_lost = log
        .kills
        .iter()
        .any(|(name, at)| Some(name.as_str()) == entry.upstream && entry.last.at >= *at);
    if is_lost {
        counts.feeds_lost += 1;
    } else {
        counts.feeds_broken += 1;
        counts.notes.push(format!(
            "feed {} on {:?} broke at {} ms: {reason}",
            entry.id, entry.upstream, entry.last.at.0
        ));
    }
}

fn check_unknown(entry: &Entry<'_>, ledger: &history::Ledger, log: &Log, counts: &mut Counts) {
    let Action::Completed(Outcome::Unknown(reason)) = &entry.last.action else {
        return;
    };
    let during = |planned: bool, after: clock::Millis| {
        move |window: &&Window| {
            window.is_planned == planned
                && window.from <= entry.last.at
                && window.until.0 + after.0 >= entry.invoked.0
        }
    };
    let is_faulty = log.windows.iter().find(during(false, AFTER)).is_some();
    let is_planned = log
        .windows
        .iter()
        .find(during(true, clock::Millis(0)))
        .is_some();
    let runs: Vec<_> = ledger
        .executions
        .iter()
        .filter(|run| run.id == entry.id)
        .map(|run| run.upstream.as_str())
        .collect();
    counts.notes.push(format!(
        "request {} sent at {} ms, unknown at {} ms, ran at {runs:?}: {reason}",
        entry.id, entry.invoked.0, entry.last.at.0
    ));
    if is_planned && !is_faulty {
        counts.planned_stop_cuts += 1;
    }
}

fn check_draining(run: &history::Execution, entries: &[Entry<'_>], log: &Log, counts: &mut Counts) {
    let Ok(index) = entries.binary_search_by(|entry| entry.id.cmp(&run.id)) else {
        return;
    };
    let invoked = entries[index].invoked;
    let is_late = log.drains.iter().any(|drain| {
        drain.upstream == run.upstream && invoked >= drain.from && invoked < drain.until
    });
    if is_late {
        counts.leaving_got_work += 1;
        counts.notes.push(format!(
            "{} ran at leaving {} though it was sent at {} ms",
            run.id, run.upstream, invoked.0
        ));
    }
}
