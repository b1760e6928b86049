//! Counts violations per point of what must always hold.

use cassiacross::clock;
use standins::history::{self, Action, Event, Outcome, Violation};

use crate::prove::faults::{Log, Window};

/// Time after a fault in which its consequences may still show.
const AFTER: clock::Millis = clock::Millis(2_000);

/// Counts of a run.
#[derive(Debug, Default)]
pub struct Verdict {
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
pub fn judge(
    events: &[Event],
    ledger: &history::Ledger,
    report: &history::Report,
    log: &Log,
) -> Verdict {
    let mut verdict = Verdict::default();
    let mut sorted: Vec<_> = events.iter().collect();
    sorted.sort_by(|a, b| a.id.cmp(&b.id));
    let entries: Vec<_> = sorted.chunk_by(|a, b| a.id == b.id).map(entry).collect();
    for violation in &report.violations {
        count(violation, &mut verdict);
    }
    for entry in &entries {
        judge_feed(entry, log, &mut verdict);
        judge_cut(entry, ledger, log, &mut verdict);
    }
    for run in &ledger.executions {
        judge_leaver(run, &entries, log, &mut verdict);
    }
    verdict
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

fn count(violation: &Violation, verdict: &mut Verdict) {
    let counter = match violation {
        Violation::ForeignAnswer(_) | Violation::TornAnswer(_) => &mut verdict.foreign_answers,
        Violation::RefusedButRun(_) => &mut verdict.not_run_but_run,
        Violation::AnsweredNotRun(_) | Violation::Unaccounted(_) | Violation::Unsent(_) => {
            &mut verdict.unaccounted
        }
        // Feeds are judged with the killed hosts in view; the others are counted by the report.
        Violation::BrokenFeed(_) => return,
        Violation::WrongService(_) | Violation::Doubled(_) => &mut 0,
    };
    *counter += 1;
    verdict.notes.push(format!("{violation:?}"));
}

fn judge_feed(entry: &Entry<'_>, log: &Log, verdict: &mut Verdict) {
    let Action::Broken(reason) = &entry.last.action else {
        return;
    };
    let is_lost = log
        .kills
        .iter()
        .any(|(name, at)| Some(name.as_str()) == entry.upstream && entry.last.at >= *at);
    if is_lost {
        verdict.feeds_lost += 1;
    } else {
        verdict.feeds_broken += 1;
        verdict.notes.push(format!(
            "feed {} on {:?} broke at {} ms: {reason}",
            entry.id, entry.upstream, entry.last.at.0
        ));
    }
}

fn judge_cut(entry: &Entry<'_>, ledger: &history::Ledger, log: &Log, verdict: &mut Verdict) {
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
    verdict.notes.push(format!(
        "request {} sent at {} ms, unknown at {} ms, ran at {runs:?}: {reason}",
        entry.id, entry.invoked.0, entry.last.at.0
    ));
    if is_planned && !is_faulty {
        verdict.planned_stop_cuts += 1;
    }
}

fn judge_leaver(run: &history::Execution, entries: &[Entry<'_>], log: &Log, verdict: &mut Verdict) {
    let Ok(index) = entries.binary_search_by(|entry| entry.id.cmp(&run.id)) else {
        return;
    };
    let invoked = entries[index].invoked;
    let is_late = log.leaves.iter().any(|leave| {
        leave.upstream == run.upstream && invoked >= leave.from && invoked < leave.until
    });
    if is_late {
        verdict.leaving_got_work += 1;
        verdict.notes.push(format!(
            "{} ran at leaving {} though it was sent at {} ms",
            run.id, run.upstream, invoked.0
        ));
    }
}
