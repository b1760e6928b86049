//! What a soak saw, and the promises that it breaks.

use cassiacross::clock::Millis;

/// Time after a fault in which what it did may still show.
const SETTLE: Millis = Millis(5_000);

/// How a flow broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// A reset.
    Reset,
    /// No answer until the caller gave up.
    Silence,
    /// The answer of another run.
    Other(u32),
}

/// A flow that broke.
#[derive(Clone, Copy, Debug)]
pub struct Broken {
    /// When the request was sent.
    pub asked: Millis,
    /// When the flow broke.
    pub at: Millis,
    /// The run that holds the flow.
    pub run: u32,
    /// How it broke.
    pub end: End,
}

/// A run of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Its number.
    pub run: u32,
    /// When it ended, or began to.
    pub ended: Option<Millis>,
}

/// An unplanned fault.
#[derive(Clone, Debug)]
pub struct Fault {
    /// What it was.
    pub what: String,
    /// When it began.
    pub from: Millis,
    /// When it ended.
    pub to: Millis,
}

/// All that matters to the verdict.
#[derive(Debug, Default)]
pub struct Log {
    /// Requests that were answered.
    pub answered: u64,
    /// Flows that broke.
    pub broken: Vec<Broken>,
    /// Runs of upstreams.
    pub runs: Vec<Run>,
    /// Unplanned faults.
    pub faults: Vec<Fault>,
    /// Promises that were seen broken while the soak ran.
    pub violations: Vec<String>,
}

impl Log {
    /// Whether a fault may still show between two points.
    pub fn is_troubled(&self, from: Millis, to: Millis) -> bool {
        let overlaps = |fault: &Fault| fault.from <= to && from <= fault.to + SETTLE;
        self.faults.iter().any(overlaps)
    }

    fn lived(&self, run: u32, at: Millis) -> bool {
        let known = self.runs.iter().find(|known| known.run == run);
        known.is_some_and(|known| known.ended.is_none_or(|ended| at < ended))
    }
}

/// The promises that were broken.
pub fn judge(log: &Log) -> Vec<String> {
    let mut violations = log.violations.clone();
    violations.extend(log.broken.iter().filter_map(|broken| flow(log, broken)));
    violations
}

fn flow(log: &Log, broken: &Broken) -> Option<String> {
    let Broken {
        asked,
        at,
        run,
        end,
    } = *broken;
    let excused = !log.lived(run, at) || log.is_troubled(asked, at);
    match end {
        End::Other(other) => Some(format!("run {other} answered on a flow of run {run}")),
        End::Reset if !excused => Some(format!("flow of living run {run} reset at {} ms", at.0)),
        End::Silence if !excused => Some(format!(
            "flow of living run {run} without an answer from {} to {} ms",
            asked.0, at.0
        )),
        End::Reset | End::Silence => None,
    }
}
