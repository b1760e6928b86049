//! Events that a soak run records, and the guarantees that they violate.

use cassiacross::clock::Millis;

/// Time after a fault during which flows may still break because of it.
const FAULT_AFTERMATH: Millis = Millis(5_000);

/// How a flow broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowFailure {
    /// The caller received a reset.
    Reset,
    /// No response arrived before the timeout of the caller.
    Timeout,
    /// The response came from another upstream run, which has this number.
    WrongRun(u32),
}

/// Flow that broke.
#[derive(Clone, Copy, Debug)]
pub struct BrokenFlow {
    /// Time at which the first packet of the request was sent.
    pub sent_at: Millis,
    /// Time at which the flow broke.
    pub failed_at: Millis,
    /// Number of the upstream run that accepted the flow.
    pub run: u32,
    /// How the flow broke.
    pub failure: FlowFailure,
}

/// Run of an upstream, from its start to its end.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamRun {
    /// Number of the run, unique within the soak run.
    pub run: u32,
    /// Time at which the run began to stop, if it has.
    pub ended_at: Option<Millis>,
}

/// Injected fault.
#[derive(Clone, Debug)]
pub struct Fault {
    /// Description of the fault.
    pub description: String,
    /// Time at which the fault began.
    pub start: Millis,
    /// Time at which the fault ended.
    pub end: Millis,
}

/// Events of a soak run that decide whether it passed.
#[derive(Debug, Default)]
pub struct Log {
    /// Number of answered requests.
    pub answered: u64,
    /// Broken flows.
    pub broken: Vec<BrokenFlow>,
    /// All upstream runs.
    pub runs: Vec<UpstreamRun>,
    /// Injected faults, without planned changes.
    pub faults: Vec<Fault>,
    /// Violations that were found while the soak ran.
    pub violations: Vec<String>,
}

impl Log {
    /// Returns whether a fault or its aftermath overlaps the period.
    pub fn has_fault(&self, start: Millis, end: Millis) -> bool {
        let overlaps = |fault: &Fault| fault.start <= end && start <= fault.end + FAULT_AFTERMATH;
        self.faults.iter().any(overlaps)
    }

    fn was_alive(&self, run: u32, at: Millis) -> bool {
        let known = self.runs.iter().find(|known| known.run == run);
        known.is_some_and(|known| known.ended_at.is_none_or(|ended| at < ended))
    }
}

/// Returns a description of each violation.
pub fn find(log: &Log) -> Vec<String> {
    let mut violations = log.violations.clone();
    violations.extend(
        log.broken
            .iter()
            .filter_map(|broken| check_flow(log, broken)),
    );
    violations
}

/// Returns a description of the violation, unless the upstream run ended or a fault explains the
/// break.
///
/// A response of another run is always a violation.
fn check_flow(log: &Log, broken: &BrokenFlow) -> Option<String> {
    let BrokenFlow {
        sent_at,
        failed_at,
        run,
        failure,
    } = *broken;
    let is_excused = !log.was_alive(run, failed_at) || log.has_fault(sent_at, failed_at);
    match failure {
        FlowFailure::WrongRun(other) => Some(format!(
            "upstream run {other} responded on a flow of upstream run {run}"
        )),
        FlowFailure::Reset if !is_excused => Some(format!(
            "flow of live upstream run {run} was reset at {} ms",
            failed_at.0
        )),
        FlowFailure::Timeout if !is_excused => Some(format!(
            "flow of live upstream run {run} got no response from {} to {} ms",
            sent_at.0, failed_at.0
        )),
        FlowFailure::Reset | FlowFailure::Timeout => None,
    }
}
