//! What an upstream last said of itself, in the order in which it said it.

use serde::Serialize;

use crate::{clock::Millis, ident, member};

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
    Run,
    /// A later report of the run.
    Fresh,
    /// A report that came late; nothing changed.
    Late,
    /// A report about another service than the agent's; nothing changed.
    Foreign,
}

/// The upstream beside one agent.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    service: ident::ServiceId,
    report: Option<Report>,
    heard: Millis,
    left: Option<Millis>,
}

impl Status {
    /// Nothing heard yet of an upstream of a service.
    #[must_use]
    pub const fn new(service: ident::ServiceId) -> Self {
        Self {
            service,
            report: None,
            heard: Millis(0),
            left: None,
        }
    }

    /// Takes a report.
    pub fn take(&mut self, report: Report, now: Millis) -> Effect {
        if report.service != self.service {
            return Effect::Foreign;
        }
        if self.left.is_some_and(|born| report.born <= born) {
            return Effect::Late;
        }
        let effect = match &self.report {
            None => Effect::Run,
            Some(last) if report.born > last.born => Effect::Run,
            Some(last) if report.born < last.born || report.seq <= last.seq => return Effect::Late,
            Some(_) => Effect::Fresh,
        };
        self.report = Some(report);
        self.heard = now;
        effect
    }

    /// Takes the goodbye of an upstream; false where it is not the one in force.
    pub fn leave(&mut self, id: &str, born: Option<Millis>) -> bool {
        let fits = |report: &&Report| {
            report.id == id && born.is_none_or(|born| born == report.born)
        };
        let Some(report) = self.report.as_ref().filter(fits) else {
            return false;
        };
        self.left = Some(report.born);
        self.report = None;
        true
    }

    /// Forgets an upstream that is known to be dead, until its next report.
    pub fn lose(&mut self) {
        self.report = None;
    }

    /// The last report of the run in force.
    #[must_use]
    pub const fn report(&self) -> Option<&Report> {
        self.report.as_ref()
    }

    /// When the last report came.
    #[must_use]
    pub const fn heard(&self) -> Millis {
        self.heard
    }
}
