//! Ledger of the requests that an upstream executed, in memory and in a file.

use std::{
    fs,
    io::{self, Write},
    path::Path,
    sync::Mutex,
};

use cassiacross::{clock, mutex};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::history;

/// An execution of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Execution {
    /// Request ID from the `x-request-id` header.
    pub id: String,
    /// Start time in milliseconds of the upstream's clock.
    pub started_ms: u64,
    /// End time in milliseconds; `None` while the request is executing or if it was cancelled.
    pub ended_ms: Option<u64>,
    /// Name of the service.
    pub service: String,
    /// Remaining time until the deadline, in milliseconds, if the request carries a deadline.
    pub deadline_ms: Option<u64>,
}

/// Executions in the order of their start, and the file that gets a line for each.
#[derive(Debug)]
pub(super) struct Ledger {
    clock: clock::Clock,
    executions: Mutex<Vec<Execution>>,
    file: Option<fs::File>,
}

impl Ledger {
    /// Creates an empty ledger that appends to a file, if one is given.
    pub(super) fn open(path: Option<&Path>) -> io::Result<Self> {
        let mut options = fs::OpenOptions::new();
        let options = options.create(true).append(true);
        Ok(Self {
            clock: clock::Clock::new(),
            executions: Mutex::default(),
            file: path.map(|path| options.open(path)).transpose()?,
        })
    }

    /// Returns all executions, in the order of their start.
    pub(super) fn executions(&self) -> Vec<Execution> {
        mutex::lock(&self.executions).clone()
    }

    /// Records an execution and returns its position.
    ///
    /// Call it before the work starts, so that the execution is in the file even if the process
    /// is killed during the work.
    pub(super) fn record_start(
        &self,
        id: &str,
        service: &str,
        deadline_ms: Option<u64>,
    ) -> io::Result<usize> {
        let mut executions = mutex::lock(&self.executions);
        let execution = Execution {
            id: id.to_owned(),
            started_ms: self.clock.now().0,
            ended_ms: None,
            service: service.to_owned(),
            deadline_ms,
        };
        if let Some(mut file) = self.file.as_ref() {
            let line = format!("{}\n", json!(execution));
            file.write_all(line.as_bytes())?;
        }
        executions.push(execution);
        Ok(executions.len() - 1)
    }

    /// Records the end of the execution at a position.
    pub(super) fn record_end(&self, index: usize) {
        mutex::lock(&self.executions)[index].ended_ms = Some(self.clock.now().0);
    }
}

/// Reads the ledger file of an upstream, without the executions that have no request ID.
pub fn read_ledger(upstream: &str, path: &Path) -> io::Result<Vec<history::Execution>> {
    let mut runs = Vec::new();
    for line in fs::read_to_string(path)?.lines() {
        let run: Execution = serde_json::from_str(line)?;
        if !run.id.is_empty() {
            runs.push(history::Execution {
                id: run.id,
                service: run.service,
                upstream: upstream.to_owned(),
            });
        }
    }
    Ok(runs)
}
