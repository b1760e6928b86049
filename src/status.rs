//! Status reports of the upstream of one agent, with detection of restarts and of stale
//! reports.

use serde::Serialize;

use crate::{clock::Millis, ident, member};

/// Report periods without a report after which the current run of the upstream may have
/// ended.
const SILENT_PERIODS: u64 = 2;

/// Report periods without a report that are tolerated before the upstream gets no new
/// flows.
const MAX_MISSED_REPORTS: u64 = 3;

/// Status report of an upstream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Identifier of the upstream, which may stay the same across restarts.
    pub id: String,
    /// Wall-clock time of the upstream's start, in milliseconds since the Unix epoch. It
    /// identifies a run and is greater for a later run.
    pub born: Millis,
    /// Sequence number of the report within a run.
    pub seq: u64,
    /// Service of the upstream.
    pub service: ident::ServiceId,
    /// Requests that the upstream serves at a time.
    pub slots: u32,
    /// Whether the upstream accepts new flows.
    pub state: member::State,
    /// Remaining warm-up time, during which the upstream is slow.
    pub cold: Millis,
}

/// Result of applying a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// First report of a new run.
    NewRun,
    /// Newer report of the current run.
    Updated,
    /// Older or repeated report, or one of an earlier run; ignored.
    Stale,
    /// Report for a service other than the agent's; ignored.
    WrongService,
}

/// A run with an earlier start time than the current one: either its reports are delayed,
/// or the upstream was restarted after its wall clock was set back.
#[derive(Clone, Copy, Debug, Serialize)]
struct EarlierRun {
    born: Millis,
    seq: u64,
}

/// Status of the upstream of one agent.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    service: ident::ServiceId,
    period: Millis,
    report: Option<Report>,
    /// Whether no report has arrived yet, so that an upstream may be running.
    unknown: bool,
    /// Time of the last report.
    heard: Millis,
    /// Start time of the run that deregistered last.
    left: Option<Millis>,
    /// Last report of a run with an earlier start time.
    earlier: Option<EarlierRun>,
    /// Number of reports of the current run that were applied.
    applied: u64,
}

impl Status {
    /// Creates the status of an upstream that has not reported yet and is expected to
    /// report once per `period`.
    #[must_use]
    pub const fn new(service: ident::ServiceId, period: Millis) -> Self {
        Self {
            service,
            period,
            report: None,
            unknown: true,
            heard: Millis(0),
            left: None,
            earlier: None,
            applied: 0,
        }
    }

    /// Applies a report.
    pub fn apply(&mut self, report: Report, now: Millis) -> Effect {
        if report.service != self.service {
            return Effect::WrongService;
        }
        let last = self.report.as_ref().map(|last| (last.born, last.seq));
        let effect = match last {
            Some((born, seq)) if report.born == born && report.seq > seq => Effect::Updated,
            Some((born, _)) if report.born == born => return Effect::Stale,
            _ if self.is_later_run(&report) || self.is_still_reporting(&report, now) => {
                Effect::NewRun
            }
            _ => return Effect::Stale,
        };
        self.earlier = None;
        self.applied = match effect {
            Effect::Updated => self.applied + 1,
            _ => 1,
        };
        self.report = Some(report);
        self.unknown = false;
        self.heard = now;
        effect
    }

    /// Returns whether the run of the report started after all known runs.
    fn is_later_run(&self, report: &Report) -> bool {
        let last = self.report.as_ref().map(|last| last.born);
        last.max(self.left).is_none_or(|known| report.born > known)
    }

    /// Returns whether a run with an earlier start time keeps reporting while the current
    /// run is silent, which means that the wall clock was set back between their starts.
    fn is_still_reporting(&mut self, report: &Report, now: Millis) -> bool {
        let silent =
            self.report.is_none() || now.since(self.heard).0 > self.period.0 * SILENT_PERIODS;
        let previous = self.earlier.replace(EarlierRun {
            born: report.born,
            seq: report.seq,
        });
        let ended = self.left == Some(report.born);
        silent
            && !ended
            && previous
                .is_some_and(|previous| previous.born == report.born && report.seq > previous.seq)
    }

    /// Deregisters an upstream. Returns false if `id` and `born` do not match the current
    /// run.
    pub fn deregister(&mut self, id: &str, born: Option<Millis>) -> bool {
        let matches =
            |report: &&Report| report.id == id && born.is_none_or(|born| born == report.born);
        let Some(report) = self.report.as_ref().filter(matches) else {
            return false;
        };
        self.left = Some(report.born);
        self.report = None;
        true
    }

    /// Returns the state of the upstream to announce: `None` if no upstream is running,
    /// [`member::State::Starting`] before the first report and if a ready upstream has
    /// missed several reports.
    #[must_use]
    pub fn state(&self, now: Millis) -> Option<member::State> {
        if self.unknown {
            return Some(member::State::Starting);
        }
        let age = now.since(self.heard).0;
        let is_current = age <= self.period.0 * (MAX_MISSED_REPORTS + 1);
        let report = self.report.as_ref()?;
        Some(match report.state {
            member::State::Ready if !is_current => member::State::Starting,
            state => state,
        })
    }

    /// Returns whether no upstream has reported yet.
    #[must_use]
    pub const fn is_unknown(&self) -> bool {
        self.unknown
    }

    /// Records that no upstream is running, although none has deregistered.
    pub const fn set_absent(&mut self) {
        self.unknown = false;
    }

    /// Clears the report of a failed upstream until its next report.
    pub fn clear(&mut self) {
        self.report = None;
    }

    /// Returns whether the current run has reported repeatedly here. A single report may be a
    /// late one of a run that has ended.
    #[must_use]
    pub const fn is_followed(&self) -> bool {
        self.report.is_some() && self.applied > 1
    }

    /// Returns the last report of the current run.
    #[must_use]
    pub const fn report(&self) -> Option<&Report> {
        self.report.as_ref()
    }

    /// Returns the time at which the last report was received.
    #[must_use]
    pub const fn reported_at(&self) -> Millis {
        self.heard
    }
}
