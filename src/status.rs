//! What an upstream last said of itself, in the order in which it said it.

use serde::Serialize;

use crate::{clock::Millis, ident, member};

/// Periods without a report after which the run in force may have ended.
const SILENT: u64 = 2;

/// One report of an upstream about itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The upstream's identity, which a restart may keep.
    pub id: String,
    /// Wall clock of the upstream's start; a later run compares greater.
    pub born: Millis,
    /// Counts the reports of one run.
    pub seq: u64,
    /// The service.
    pub service: ident::ServiceId,
    /// Requests that the upstream runs at a time.
    pub slots: u32,
    /// What it does with new flows.
    pub state: member::State,
    /// Time for which it stays slow after its start.
    pub cold: Millis,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The first report of a run.
    NewRun,
    /// A later report of the run.
    Updated,
    /// A report that came late; nothing changed.
    Stale,
    /// A report about another service than the agent's; nothing changed.
    WrongService,
}

/// A run whose start lies before that of the run in force: reports that came late,
/// or an upstream that started after its wall clock had gone back.
#[derive(Clone, Copy, Debug, Serialize)]
struct Earlier {
    born: Millis,
    seq: u64,
}

/// The upstream beside one agent.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    service: ident::ServiceId,
    period: Millis,
    report: Option<Report>,
    heard: Millis,
    left: Option<Millis>,
    earlier: Option<Earlier>,
}

impl Status {
    /// Nothing heard yet of an upstream of a service that reports each `period`.
    #[must_use]
    pub const fn new(service: ident::ServiceId, period: Millis) -> Self {
        Self {
            service,
            period,
            report: None,
            heard: Millis(0),
            left: None,
            earlier: None,
        }
    }

    /// Takes a report.
    pub fn apply(&mut self, report: Report, now: Millis) -> Effect {
        if report.service != self.service {
            return Effect::WrongService;
        }
        let last = self.report.as_ref().map(|last| (last.born, last.seq));
        let effect = match last {
            Some((born, seq)) if report.born == born && report.seq > seq => Effect::Updated,
            Some((born, _)) if report.born == born => return Effect::Stale,
            _ if self.is_later(&report) || self.goes_on(&report, now) => Effect::NewRun,
            _ => return Effect::Stale,
        };
        self.earlier = None;
        self.report = Some(report);
        self.heard = now;
        effect
    }

    /// Whether the report's run started after all that are known.
    fn is_later(&self, report: &Report) -> bool {
        let last = self.report.as_ref().map(|last| last.born);
        last.max(self.left).is_none_or(|known| report.born > known)
    }

    /// Whether a run that seems to be an earlier one goes on reporting while the
    /// run in force is silent: then the wall clock went back between their starts.
    fn goes_on(&mut self, report: &Report, now: Millis) -> bool {
        let silent = self.report.is_none() || now.since(self.heard).0 > self.period.0 * SILENT;
        let before = self.earlier.replace(Earlier {
            born: report.born,
            seq: report.seq,
        });
        let ended = self.left == Some(report.born);
        silent
            && !ended
            && before.is_some_and(|before| before.born == report.born && report.seq > before.seq)
    }

    /// Takes the goodbye of an upstream; false where it is not the one in force.
    pub fn deregister(&mut self, id: &str, born: Option<Millis>) -> bool {
        let fits =
            |report: &&Report| report.id == id && born.is_none_or(|born| born == report.born);
        let Some(report) = self.report.as_ref().filter(fits) else {
            return false;
        };
        self.left = Some(report.born);
        self.report = None;
        true
    }

    /// Forgets an upstream that is known to be dead, until its next report.
    pub fn clear(&mut self) {
        self.report = None;
    }

    /// The last report of the run in force.
    #[must_use]
    pub const fn report(&self) -> Option<&Report> {
        self.report.as_ref()
    }

    /// When the last report came.
    #[must_use]
    pub const fn reported_at(&self) -> Millis {
        self.heard
    }
}
