//! Simulated upstream with limited concurrency, an execution ledger and fault injection.
//!
//! Request headers: `x-request-id` is the request ID, `x-work-ms` the service time in milliseconds
//! at speed 1, `x-answer-bytes` the length of the response body, and `x-chunked` selects chunked
//! transfer encoding instead of a content length.

mod ledger;
mod request;
mod response;
mod server;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use cassiacross::mutex;
use http_body_util::combinators::UnsyncBoxBody;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::{
    net::TcpListener,
    sync::{Semaphore, watch},
    time,
};

pub use self::ledger::{Execution, read_ledger};

const ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// Start options of an upstream.
#[derive(Clone, Debug)]
pub struct Options {
    /// Upstream name.
    pub name: String,
    /// Name of the service that the upstream belongs to.
    pub service: String,
    /// Address for requests.
    pub http: SocketAddr,
    /// Address of the control port (execution ledger and fault injection).
    pub control: SocketAddr,
    /// Maximum number of concurrently executing requests.
    pub slots: usize,
    /// Maximum number of connections, as announced to the agent.
    pub connections: usize,
    /// Speed factor; the service time of a request is divided by it.
    pub speed: f64,
    /// Number of requests after the start that take ten times as long (cold start).
    pub cold_requests: u32,
    /// Refresh interval of the values that `/load` returns.
    pub load_lag: Duration,
    /// Ledger file; one line per execution, appended before the work starts.
    pub ledger: Option<PathBuf>,
}

impl Default for Options {
    fn default() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            name: "upstream-1".to_owned(),
            service: "ledger".to_owned(),
            http: any,
            control: any,
            slots: 4,
            connections: 2_000,
            speed: 1.0,
            cold_requests: 0,
            load_lag: Duration::ZERO,
            ledger: None,
        }
    }
}

/// Injected faults of an upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is enabled independently"
)]
pub struct Faults {
    /// Factor by which service times are multiplied.
    pub slow: Option<f64>,
    /// Executes a request, then sends this many bytes of the response body and stalls; 0 sends no
    /// response head.
    pub silent_after: Option<usize>,
    /// Executes a request, then sends this many bytes of the response body and closes the
    /// connection; 0 sends no response head.
    pub close_after: Option<usize>,
    /// Closes the connection when a request arrives, without executing it.
    pub close_before: bool,
    /// Closes each connection shortly after its first response, without `connection: close`.
    pub close_idle: bool,
    /// Rejects each request with status 503, marked as not executed.
    pub shed: bool,
    /// Responds to each request immediately with status 500, without executing it.
    pub wrong_fast: bool,
    /// False number of requests that `/load` reports instead of the actual one.
    pub load: Option<usize>,
}

/// A running upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Address for requests.
    pub http: SocketAddr,
    /// Address of the control port (execution ledger and fault injection).
    pub control: SocketAddr,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    options: Options,
    slots: Semaphore,
    faults: Mutex<Faults>,
    ledger: ledger::Ledger,
    cold_left: AtomicU32,
    requests: AtomicUsize,
    feeds: AtomicUsize,
    connections: AtomicUsize,
    reported_load: AtomicUsize,
    draining: watch::Sender<bool>,
    drained: watch::Sender<bool>,
}

type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Binds the sockets of an upstream and starts it on the current tokio runtime.
pub async fn start(options: Options) -> io::Result<Upstream> {
    let requests = TcpListener::bind(options.http).await?;
    let control = TcpListener::bind(options.control).await?;
    let state = Arc::new(State {
        slots: Semaphore::new(options.slots),
        faults: Mutex::default(),
        ledger: ledger::Ledger::open(options.ledger.as_deref())?,
        cold_left: AtomicU32::new(options.cold_requests),
        requests: AtomicUsize::new(0),
        feeds: AtomicUsize::new(0),
        connections: AtomicUsize::new(0),
        reported_load: AtomicUsize::new(0),
        draining: watch::Sender::new(false),
        drained: watch::Sender::new(false),
        options,
    });
    let running = Upstream {
        http: requests.local_addr()?,
        control: control.local_addr()?,
        state: Arc::clone(&state),
    };
    tokio::spawn(server::accept(
        requests,
        Arc::clone(&state),
        server::Port::Requests,
    ));
    tokio::spawn(server::accept(
        control,
        Arc::clone(&state),
        server::Port::Control,
    ));
    tokio::spawn(refresh_load(state));
    Ok(running)
}

/// Announces an upstream to its agent every second, and a last time once it has drained.
pub async fn announce(running: Upstream, agent: SocketAddr) {
    let client = reqwest::Client::new();
    let url = format!("http://{agent}/announce");
    let mut draining = running.state.draining.subscribe();
    let mut drained = running.state.drained.subscribe();
    loop {
        let is_final = *drained.borrow_and_update();
        let sending = client.post(&url).json(&running.announcement()).send();
        if let Err(error) = sending.await {
            log::debug!(error:% = error; "announcement to the agent failed");
        }
        if is_final {
            return;
        }
        tokio::select! {
            () = time::sleep(ANNOUNCE_PERIOD) => {}
            _ = draining.changed() => {}
            _ = drained.changed() => {}
        }
    }
}

impl Upstream {
    /// Returns all executions, in the order of their start.
    #[must_use]
    pub fn ledger(&self) -> Vec<Execution> {
        self.state.ledger.executions()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        *mutex::lock(&self.state.faults) = faults;
    }

    /// Returns the number of queued and executing requests, without feeds.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.state.requests.load(Ordering::SeqCst)
    }

    /// Returns the number of open feeds.
    #[must_use]
    pub fn feeds(&self) -> usize {
        self.state.feeds.load(Ordering::SeqCst)
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.state.connections.load(Ordering::SeqCst)
    }

    /// Drains the upstream: announces it as draining, waits for all requests, and for feeds at
    /// most `limit`, then waits until all connections are closed.
    pub async fn drain(&self, limit: Duration) {
        self.state.draining.send_replace(true);
        let end = time::Instant::now() + limit;
        while self.requests() > 0 || (self.feeds() > 0 && time::Instant::now() < end) {
            time::sleep(POLL_PERIOD).await;
        }
        time::sleep(POLL_PERIOD).await;
        self.state.drained.send_replace(true);
        while self.connections() > 0 {
            time::sleep(POLL_PERIOD).await;
        }
    }

    fn announcement(&self) -> serde_json::Value {
        let options = &self.state.options;
        let state = if *self.state.draining.borrow() {
            "draining"
        } else {
            "ready"
        };
        json!({
            "service": options.service, "address": self.http, "slots": options.slots,
            "connections": options.connections, "load": "/load", "state": state,
        })
    }
}

impl State {
    /// Returns the response to a query of the load.
    fn load_report(&self) -> serde_json::Value {
        let fault = mutex::lock(&self.faults).load;
        let requests = fault.unwrap_or_else(|| self.reported_load.load(Ordering::SeqCst));
        json!({
            "requests": requests, "slots": self.options.slots,
            "feeds": self.feeds.load(Ordering::SeqCst),
        })
    }
}

/// Refreshes the values of `/load` every `load_lag`, so that they are as stale as configured.
async fn refresh_load(state: Arc<State>) {
    let mut drained = state.drained.subscribe();
    let lag = state.options.load_lag.max(POLL_PERIOD);
    loop {
        let requests = state.requests.load(Ordering::SeqCst);
        state.reported_load.store(requests, Ordering::SeqCst);
        tokio::select! {
            () = time::sleep(lag) => {}
            _ = drained.wait_for(|drained| *drained) => return,
        }
    }
}
