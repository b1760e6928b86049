//! Failure detector of the upstream beside a pass-through agent.
//!
//! No single observation proves that an upstream has failed: a leaving upstream refuses
//! connections while it still serves its flows, and an upstream that waits for packets
//! from its callers sends nothing. A failure is confirmed by two kinds of evidence that
//! agree.

use serde::Serialize;

use crate::clock::Millis;

/// Minimum interval between two connection probes, and minimum time between a successful
/// probe and the next suspicion for missing traffic.
const PROBE_INTERVAL: Millis = Millis(500);

/// Time without a response to callers after which a suspected upstream whose report is
/// overdue has failed, although no probe was refused.
const UNRESPONSIVE_TIMEOUT: Millis = Millis(2_000);

/// Reason to suspect that the upstream has failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum Evidence {
    /// The upstream neither accepted nor returned a SYN.
    UnansweredSyn,
    /// Requests are outstanding, and no packet passes on their flows.
    NoTraffic,
}

/// State of a suspicion.
#[derive(Clone, Copy, Debug, Serialize)]
struct Suspicion {
    since: Millis,
    unanswered_syn: bool,
    refused_probe: bool,
}

/// Failure detector of one upstream.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FailureDetector {
    suspicion: Option<Suspicion>,
    /// Time of the last probe.
    probed: Option<Millis>,
    /// Time of the last successful probe.
    listened: Option<Millis>,
}

impl FailureDetector {
    /// Returns whether the upstream is suspected of having failed.
    #[must_use]
    pub const fn is_suspected(&self) -> bool {
        self.suspicion.is_some()
    }

    /// Returns the time for which the upstream has been suspected, or `None` if it is not.
    #[must_use]
    pub fn suspected_for(&self, now: Millis) -> Option<Millis> {
        self.suspicion.map(|suspicion| now.since(suspicion.since))
    }

    /// Suspects the upstream. Missing traffic is no evidence shortly after a successful
    /// probe.
    pub fn suspect(&mut self, evidence: Evidence, now: Millis) {
        let listened = is_recent(self.listened, now);
        if evidence == Evidence::NoTraffic && self.suspicion.is_none() && listened {
            return;
        }
        let suspicion = self.suspicion.get_or_insert(Suspicion {
            since: now,
            unanswered_syn: false,
            refused_probe: false,
        });
        suspicion.unanswered_syn |= evidence == Evidence::UnansweredSyn;
    }

    /// Records a response of the upstream to a caller, which ends a suspicion.
    pub const fn record_response(&mut self) {
        self.suspicion = None;
    }

    /// Records whether the upstream accepted a probe. A refusal counts only while the
    /// upstream is suspected.
    pub fn record_probe(&mut self, listens: bool, now: Millis) {
        if listens {
            self.listened = Some(now);
            self.suspicion = None;
        } else if let Some(suspicion) = &mut self.suspicion {
            suspicion.refused_probe = true;
        }
    }

    /// Returns whether a probe is due, and records that it is sent.
    pub fn take_probe(&mut self, now: Millis) -> bool {
        let due = self.suspicion.is_some() && !is_recent(self.probed, now);
        if due {
            self.probed = Some(now);
        }
        due
    }

    /// Returns whether the upstream has failed, given the time since its last status
    /// report and the period of the reports.
    #[must_use]
    pub fn has_failed(&self, report_age: Millis, report_period: Millis, now: Millis) -> bool {
        let Some(suspicion) = self.suspicion else {
            return false;
        };
        let missed = report_age.0 > report_period.0 * 3 / 2;
        let overdue = report_age.0 > report_period.0 * 2;
        let refuses = suspicion.refused_probe && (suspicion.unanswered_syn || missed);
        let silent = now.since(suspicion.since) >= UNRESPONSIVE_TIMEOUT && overdue;
        refuses || silent
    }
}

fn is_recent(event: Option<Millis>, now: Millis) -> bool {
    event.is_some_and(|at| now.since(at) < PROBE_INTERVAL)
}
