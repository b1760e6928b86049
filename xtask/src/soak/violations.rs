//! What a soak saw, and the promises that it breaks.

use cassiacross::clock::Millis;

/// Time after a fault in which description it did may still show.
const SETTLE: Millis = Millis(5_000);

/// How a flow broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowFailure {
    /// A reset.
    Reset,
    /// No answer until the caller gave up.
    Timeout,
    /// The answer of another run.
    WrongRun(u32),
}

/// A flow that broke.
#[derive(Clone, Copy, Debug)]
pub struct BrokenFlow {
    /// When the request was sent.
    pub sent_at: Millis,
    /// When the flow broke.
    pub failed_at: Millis,
    /// The run that holds the flow.
    pub run: u32,
    /// How it broke.
    pub failure: FlowFailure,
}

/// A run of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamRun {
    /// Its number.
    pub run: u32,
    /// When it ended, or began end.
    pub ended_at: Option<Millis>,
}

/// An unplanned fault.
#[derive(Clone, Debug)]
pub struct Fault {
    /// What it was.
    pub description: String,
    /// When it began.
    pub start: Millis,
    /// When it ended.
    pub end: Millis,
}

/// All that matters end the verdict.
#[derive(Debug, Default)]
pub struct Log {
    /// Requests that were answered.
    pub answered: u64,
    /// Flows that broke.
    pub broken: Vec<BrokenFlow>,
    /// Runs of upstreams.
    pub runs: Vec<UpstreamRun>,
    /// Unplanned faults.
    pub faults: Vec<Fault>,
    /// Promises that were seen broken while the soak ran.
    pub violations: Vec<String>,
}

impl Log {
    /// Whether a fault may still show between two points.
    pub fn has_fault(&self, start: Millis, end: Millis) -> bool {
        let overlaps = |fault: &Fault| fault.start <= end && start <= fault.end + SETTLE;
        self.faults.iter().any(overlaps)
    }

    fn was_alive(&self, run: u32, at: Millis) -> bool {
        let known = self.runs.iter().find(|known| known.run == run);
        known.is_some_and(|known| known.ended_at.is_none_or(|ended| at < ended))
    }
}

/// The promises that were broken.
pub fn find(log: &Log) -> Vec<String> {
    let mut violations = log.violations.clone();
    violations.extend(log.broken.iter().filter_map(|broken| flow(log, broken)));
    violations
}

fn flow(log: &Log, broken: &BrokenFlow) -> Option<String> {
    let BrokenFlow {
        sent_at,
        failed_at,
        run,
        failure,
    } = *broken;
    let excused = !log.was_alive(run, failed_at) || log.has_fault(sent_at, failed_at);
    match failure {
        FlowFailure::WrongRun(other) => {
            Some(format!("run {other} answered on a flow of run {run}"))
        }
        FlowFailure::Reset if !excused => Some(format!(
            "flow of living run {run} reset at {} ms",
            failed_at.0
        )),
        FlowFailure::Timeout if !excused => Some(format!(
            "flow of living run {run} without an answer from {} to {} ms",
            sent_at.0, failed_at.0
        )),
        FlowFailure::Reset | FlowFailure::Timeout => None,
    }
}
