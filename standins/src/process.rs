//! Child processes of tests and measurements.
//!
//! A child tells its addresses in one line of JSON; its log goes to a file.
//! It ends with the value that holds it, also when a test panics.

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

/// Limit for a start, and for a graceful stop.
pub const TIMEOUT: clock::Millis = clock::Millis(60_000);

const TAIL_LINES: usize = 10;

/// A binary of this workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Program {
    /// The balancer daemon.
    Balancer,
    /// The agent daemon.
    Agent,
    /// The operator tool.
    Operator,
    /// The stand-ins.
    Standin,
}

/// What a process is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Asks for a graceful stop.
    Term,
    /// Ends the process at once.
    Kill,
    /// Freezes the process.
    Stop,
    /// Lets a frozen process go on.
    Continue,
}

/// Why a process could not be run.
#[derive(Debug, Error)]
pub enum Error {
    /// The binary is not beside the running executable.
    #[error("{0} is missing; build it with `cargo build --workspace --bins`")]
    Missing(PathBuf),
    /// The operating system refused.
    #[error("{name}: {source}")]
    System {
        /// Name of the process.
        name: String,
        /// The system's error.
        source: io::Error,
    },
    /// The process ended, or said something else, in place of its addresses.
    #[error("{name} did not tell its addresses; end of its log:\n{tail}")]
    Addresses {
        /// Name of the process.
        name: String,
        /// Last lines of its log.
        tail: String,
    },
    /// The process took too long.
    #[error(transparent)]
    Timeout(#[from] wait::Timeout),
}

/// What to start.
#[derive(Clone, Debug)]
pub struct Spec<'a> {
    /// Name of the process, and of its log.
    pub name: &'a str,
    /// The binary.
    pub program: Program,
    /// The command line.
    pub args: Vec<OsString>,
    /// Folder for the log.
    pub dir: &'a Path,
    /// Filter of the log, see `env_logger`.
    pub log_filter: &'a str,
}

/// A running process.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
    addresses: Value,
}

impl Process {
    /// Starts a process and waits until it has told its addresses.
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

    /// Name of the process.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The addresses as the process told them.
    #[must_use]
    pub const fn addresses(&self) -> &Value {
        &self.addresses
    }

    /// File with the process's log.
    #[must_use]
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// The process's id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal; nothing happens if the process has ended.
    pub fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let Ok(id) = libc::pid_t::try_from(self.child.id()) else {
            return;
        };
        // SAFETY: the call takes plain numbers, and the child has not been waited for, so the id is its own.
        unsafe {
            libc::kill(id, number(signal));
        }
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process ends by itself or by a signal sent before.
    pub async fn wait_exit(&mut self, limit: clock::Millis) -> Result<Option<ExitStatus>, Error> {
        let what = format!("end of {}", self.name);
        wait::until(&what, limit, async || !self.is_running()).await?;
        Ok(self.child.try_wait().ok().flatten())
    }

    /// Asks for a graceful stop and waits for it.
    pub async fn stop(&mut self) -> Result<Option<ExitStatus>, Error> {
        self.signal(Signal::Term);
        self.wait_exit(TIMEOUT).await
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        self.signal(Signal::Kill);
        let _status = self.child.wait();
    }

    /// Last lines of the log.
    #[must_use]
    pub fn log_tail(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<_> = text.lines().collect();
        lines[lines.len().saturating_sub(TAIL_LINES)..].join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs a program to its end, with variables of its environment, and gives what it wrote.
pub async fn output(
    program: Program,
    args: Vec<OsString>,
    variables: &[(&str, &str)],
) -> Result<std::process::Output, Error> {
    let name = file_name(program);
    let system = move |source| Error::System {
        name: name.to_owned(),
        source,
    };
    let mut command = Command::new(path(program)?);
    command.args(args).stdin(Stdio::null());
    command.envs(variables.iter().copied());
    tokio::task::spawn_blocking(move || command.output())
        .await
        .map_err(|error| system(io::Error::other(error)))?
        .map_err(system)
}

/// Where a program's binary is: beside the running executable, or one folder up from `deps`.
pub fn path(program: Program) -> Result<PathBuf, Error> {
    let own = env::current_exe().map_err(|source| Error::System {
        name: file_name(program).to_owned(),
        source,
    })?;
    let mut dir = own.parent().unwrap_or_else(|| Path::new("."));
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

const fn number(signal: Signal) -> libc::c_int {
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

/// Reads the child's output to its end, so that the pipe never fills, and passes the first line on.
fn first_line(child: &mut Child) -> oneshot::Receiver<String> {
    let (sender, receiver) = oneshot::channel();
    let Some(stdout) = child.stdout.take() else {
        return receiver;
    };
    thread::spawn(move || {
        let mut lines = io::BufReader::new(stdout).lines();
        if let Some(Ok(line)) = lines.next() {
            let _unheard = sender.send(line);
        }
        lines.for_each(drop);
    });
    receiver
}
