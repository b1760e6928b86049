//! Child processes of tests and benchmarks.
//!
//! A child prints its bound addresses as one line of JSON; its log is written to a file. Dropping a
//! [`Process`] kills the child, also when a test panics.

use std::{
    env,
    ffi::OsString,
    fs,
    io::{self, BufRead},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    thread,
};

use cassiacross::clock;
use serde_json::Value;
use thiserror::Error;
use tokio::sync::oneshot;

use crate::wait;

/// Timeout of a start and of a graceful stop.
pub const TIMEOUT: clock::Millis = clock::Millis(60_000);

const LOG_TAIL_LINES: usize = 10;

/// A binary of this workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Program {
    /// The balancer daemon.
    Balancer,
    /// The agent daemon.
    Agent,
    /// The operator tool, `cassiacross`.
    Operator,
    /// The stand-ins (platform, fabric, upstream).
    Standin,
}

/// A Unix signal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// SIGTERM: requests a graceful stop.
    Term,
    /// SIGKILL: kills the process.
    Kill,
    /// SIGSTOP: suspends the process.
    Stop,
    /// SIGCONT: resumes a suspended process.
    Continue,
}

/// A process that could not be started, run or stopped.
#[derive(Debug, Error)]
pub enum Error {
    /// The binary is not in the folder of the running executable.
    #[error("{0} is missing; build it with `cargo build --workspace --bins`")]
    Missing(PathBuf),
    /// A system call failed.
    #[error("{name}: {source}")]
    System {
        /// Process name.
        name: String,
        /// Error of the system call.
        source: io::Error,
    },
    /// The process did not print its addresses: it exited, hung or printed invalid JSON.
    #[error("{name} did not print its bound addresses; last lines of its log:\n{tail}")]
    Addresses {
        /// Process name.
        name: String,
        /// Last lines of the log.
        tail: String,
    },
    /// The process did not exit in time.
    #[error(transparent)]
    Timeout(#[from] wait::Timeout),
}

/// Start parameters of a process.
#[derive(Clone, Debug)]
pub struct Spec<'a> {
    /// Process name; the log file is `NAME.log`.
    pub name: &'a str,
    /// Binary to run.
    pub program: Program,
    /// Command-line arguments.
    pub args: Vec<OsString>,
    /// Folder of the log file.
    pub dir: &'a Path,
    /// Log filter in the syntax of `env_logger`.
    pub log_filter: &'a str,
}

/// A child process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
    addresses: Value,
}

impl Process {
    /// Starts a process and waits until it has printed its addresses.
    pub async fn start(spec: Spec<'_>) -> Result<Self, Error> {
        let log = spec.dir.join(format!("{}.log", spec.name));
        let mut child = spawn(&spec, &log).map_err(|source| Error::System {
            name: spec.name.to_owned(),
            source,
        })?;
        let line = first_line(&mut child);
        let mut process = Self {
            name: spec.name.to_owned(),
            child,
            log,
            addresses: Value::Null,
        };
        let line = tokio::time::timeout(TIMEOUT.to_duration(), line).await;
        let addresses = line
            .ok()
            .and_then(Result::ok)
            .and_then(|line| serde_json::from_str(&line).ok());
        process.addresses = addresses.ok_or_else(|| Error::Addresses {
            name: process.name.clone(),
            tail: process.log_tail(),
        })?;
        Ok(process)
    }

    /// Returns the process name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the bound addresses that the process printed.
    #[must_use]
    pub const fn addresses(&self) -> &Value {
        &self.addresses
    }

    /// Returns the path of the log file.
    #[must_use]
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Returns the process ID.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal; does nothing if the process has exited.
    pub fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let Ok(id) = libc::pid_t::try_from(self.child.id()) else {
            return;
        };
        // SAFETY: `kill` takes plain integers; the child has not been reaped, so its ID is
        // not reused.
        unsafe {
            libc::kill(id, signal_number(signal));
        }
    }

    /// Returns whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process exits; fails after `limit`.
    pub async fn wait_exit(&mut self, limit: clock::Millis) -> Result<Option<ExitStatus>, Error> {
        let condition = format!("exit of {}", self.name);
        wait::until(&condition, limit, async || !self.is_running()).await?;
        Ok(self.child.try_wait().ok().flatten())
    }

    /// Sends SIGTERM and waits until the process exits.
    pub async fn stop(&mut self) -> Result<Option<ExitStatus>, Error> {
        self.signal(Signal::Term);
        self.wait_exit(TIMEOUT).await
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        self.signal(Signal::Kill);
        let _status = self.child.wait();
    }

    /// Returns the last ten lines of the log.
    #[must_use]
    pub fn log_tail(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<_> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs a program until it exits, with additional environment variables, and returns its output.
pub async fn output(
    program: Program,
    args: Vec<OsString>,
    variables: &[(&str, &str)],
) -> Result<std::process::Output, Error> {
    let name = file_name(program);
    let system_error = move |source| Error::System {
        name: name.to_owned(),
        source,
    };
    let mut command = Command::new(path(program)?);
    command.args(args).stdin(Stdio::null());
    command.envs(variables.iter().copied());
    tokio::task::spawn_blocking(move || command.output())
        .await
        .map_err(|error| system_error(io::Error::other(error)))?
        .map_err(system_error)
}

/// Returns the path of a binary: in the folder of the running executable, or in the parent of
/// `deps` for a test executable.
pub fn path(program: Program) -> Result<PathBuf, Error> {
    let current = env::current_exe().map_err(|source| Error::System {
        name: file_name(program).to_owned(),
        source,
    })?;
    let mut dir = current.parent().unwrap_or_else(|| Path::new("."));
    if dir.ends_with("deps") {
        dir = dir.parent().unwrap_or(dir);
    }
    let path = dir.join(file_name(program));
    if path.is_file() {
        Ok(path)
    } else {
        Err(Error::Missing(path))
    }
}

const fn file_name(program: Program) -> &'static str {
    match program {
        Program::Balancer => "cassiacross-balancer",
        Program::Agent => "cassiacross-agent",
        Program::Operator => "cassiacross",
        Program::Standin => "standin",
    }
}

const fn signal_number(signal: Signal) -> libc::c_int {
    match signal {
        Signal::Term => libc::SIGTERM,
        Signal::Kill => libc::SIGKILL,
        Signal::Stop => libc::SIGSTOP,
        Signal::Continue => libc::SIGCONT,
    }
}

fn spawn(spec: &Spec<'_>, log: &Path) -> io::Result<Child> {
    let path = path(spec.program).map_err(io::Error::other)?;
    let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
    Command::new(path)
        .args(&spec.args)
        .env("RUST_LOG", spec.log_filter)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(log)
        .spawn()
}

/// Reads the child's standard output until its end and sends the first line to the returned
/// receiver. Reading on keeps the pipe from filling up and blocking the child.
fn first_line(child: &mut Child) -> oneshot::Receiver<String> {
    let (sender, receiver) = oneshot::channel();
    let Some(stdout) = child.stdout.take() else {
        return receiver;
    };
    thread::spawn(move || {
        let mut lines = io::BufReader::new(stdout).lines();
        if let Some(Ok(line)) = lines.next() {
            let _no_receiver = sender.send(line);
        }
        lines.for_each(drop);
    });
    receiver
}
