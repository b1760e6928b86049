//! Serves the flows of one upstream.
//!
//! Of an `http` service each request is classified, admitted and run on a
//! connection that holds no other request. Of a `tcp` service the bytes are
//! relayed and the flow is the unit of admission.
//!
//! A caller that hangs up drops the future of its request, and with it the
//! slot and the upstream connection: that is the cancellation which the
//! upstream sees.

use std::{
    convert::Infallible,
    net::SocketAddr,
    pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use futures_util::future::BoxFuture;
use hyper::{
    Request, Response,
    body::Incoming,
    header::{self, HeaderValue},
    server::conn::http1,
    service,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::{SeedableRng, rngs::SmallRng};
use thiserror::Error;
use tokio::{
    io::{self, AsyncRead, AsyncWrite},
    net::TcpStream,
    sync::{Semaphore, watch},
    time,
};

use crate::{
    admission, attempt, budget, clock, connection, health, metrics, outcome, queue, record, request,
};

/// The largest head of a request, in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// Bodies of up to [`request::MAX_REPLAY_BODY`] that are kept at once.
const MAX_KEPT: usize = 256;

/// How long a flow may rest between requests or take to send a head.
const HEAD_TIMEOUT: clock::Millis = clock::Millis(300_000);

/// How long a flow at rest stays open while its agent drains.
const DRAIN_GRACE: clock::Millis = clock::Millis(5_000);

/// The shortest and longest advice on when to send a refused request again.
const RETRY_AFTER_BASE: clock::Millis = clock::Millis(1_000);
const RETRY_AFTER_CAP: clock::Millis = clock::Millis(8_000);

/// Why a flow ended other than by its caller's or upstream's regular end.
///
/// The flow is to be reset, never closed as if its bytes were whole.
#[derive(Debug, Error)]
pub enum Error {
    /// The HTTP exchange broke off.
    #[error("flow broke off: {0}")]
    Http(#[from] hyper::Error),
    /// The byte stream broke off.
    #[error("flow broke off: {0}")]
    Stream(#[from] io::Error),
    /// All connections of the upstream are taken.
    #[error("flow was refused")]
    Refused(queue::Refusal),
}

/// Hands a request that may run again to another candidate.
///
/// Returns `None` if no other candidate took it.
pub type Failover = Box<
    dyn Fn(request::Replay) -> BoxFuture<'static, Option<Response<outcome::Body>>> + Send + Sync,
>;

/// What a relay needs to know of its upstream.
pub struct Options {
    /// Where the upstream takes connections.
    pub address: SocketAddr,
    /// What the upstream can hold.
    pub limits: queue::Limits,
    /// Rules of admission.
    pub policy: queue::Policy,
    /// The service that is in force.
    pub service: record::Service,
    /// Retries.
    pub budget: budget::Budget,
    /// Whether a failing upstream passes new flows on.
    pub health: bool,
    /// Other candidates, if any.
    pub failover: Option<Failover>,
    /// Seed of the generator.
    pub seed: u64,
    /// The process's clock.
    pub clock: clock::Clock,
}

impl std::fmt::Debug for Options {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Options")
            .field("address", &self.address)
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}

/// What a relay has open.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub struct Counts {
    /// Flows of callers.
    pub flows: usize,
    /// Requests that were read and are not answered in full, without feeds.
    pub requests: usize,
    /// Feeds and relayed flows.
    pub feeds: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Requests that hold a slot.
    pub running: usize,
}

/// One upstream and what its agent keeps about it.
pub struct Upstream {
    pub(crate) clock: clock::Clock,
    pub(crate) admission: admission::Admission,
    pub(crate) failover: Option<Failover>,
    pub(crate) metrics: metrics::Metrics,
    pub(crate) replay_permits: Arc<Semaphore>,
    address: Mutex<SocketAddr>,
    service: Mutex<Arc<record::Service>>,
    pool: Mutex<connection::Pool>,
    budget: Mutex<budget::Budget>,
    health: Option<Mutex<health::Health>>,
    rng: Mutex<SmallRng>,
    draining: watch::Sender<bool>,
    flows: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

impl std::fmt::Debug for Upstream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Upstream")
            .field("address", &self.address())
            .field("counts", &self.counts())
            .finish_non_exhaustive()
    }
}

impl Upstream {
    /// A relay to an upstream that has no flows yet.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let queue = queue::Queue::new(options.limits, options.policy);
        Self {
            clock: options.clock,
            admission: admission::Admission::new(queue, options.clock),
            failover: options.failover,
            metrics: metrics::Metrics::default(),
            replay_permits: Arc::new(Semaphore::new(MAX_KEPT)),
            address: Mutex::new(options.address),
            service: Mutex::new(Arc::new(options.service)),
            pool: Mutex::default(),
            budget: Mutex::new(options.budget),
            health: options.health.then(Mutex::default),
            rng: Mutex::new(SmallRng::seed_from_u64(options.seed)),
            draining: watch::Sender::new(false),
            flows: Arc::default(),
            requests: Arc::default(),
        }
    }

    /// Where the upstream takes connections.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        *lock(&self.address)
    }

    /// Follows what the upstream announces; running requests stay where they are.
    pub fn update(&self, address: SocketAddr, limits: queue::Limits) {
        *lock(&self.address) = address;
        self.admission.set_limits(limits);
    }

    /// The service that is in force.
    #[must_use]
    pub fn service(&self) -> Arc<record::Service> {
        Arc::clone(&lock(&self.service))
    }

    /// Puts a record in force for requests that arrive from now on.
    pub fn set_service(&self, service: record::Service) {
        *lock(&self.service) = Arc::new(service);
    }

    /// Whether a new flow should be accepted.
    #[must_use]
    pub fn accepts_flows(&self) -> bool {
        !self.is_draining()
            && self.admission.with_queue(|queue| queue.has_free_slot())
            && self.is_admitting()
    }

    /// Whether most of the upstream's answers are failures.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        let health = self.health.as_ref();
        health.is_some_and(|health| lock(health).is_failing())
    }

    fn is_admitting(&self) -> bool {
        let health = self.health.as_ref();
        health.is_none_or(|health| lock(health).allows_flow(self.clock.now()))
    }

    /// Counts whether the upstream answered rightly.
    pub(crate) fn record_result(&self, is_success: bool) {
        if let Some(health) = &self.health {
            lock(health).record(is_success);
        }
    }

    /// The step of the measured capacity, see [`queue::Queue::capacity_step`].
    #[must_use]
    pub fn capacity_step(&self) -> u8 {
        let now = self.clock.now();
        self.admission.with_queue(|queue| queue.capacity_step(now))
    }

    /// Ends flows when they have no request: answers carry `connection: close`,
    /// and flows at rest are closed after a grace. Feeds stay until they end.
    pub fn drain(&self) {
        self.draining.send_replace(true);
    }

    /// Takes new work again, for an upstream that returned after draining.
    pub fn resume(&self) {
        self.draining.send_replace(false);
    }

    /// Whether [`Upstream::drain`] was called, and [`Upstream::resume`] not since.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// What is open.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let (feeds, waiting, running) = self
            .admission
            .with_queue(|queue| (queue.feeds(), queue.waiting(), queue.running()));
        Counts {
            flows: self.flows.load(Ordering::Relaxed),
            requests: self.requests.load(Ordering::Relaxed),
            feeds,
            waiting,
            running,
        }
    }

    /// Whether no flow is open, so that a stop cuts nothing.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let counts = self.counts();
        counts.flows == 0 && counts.requests == 0 && counts.feeds == 0
    }

    /// Adds the relay's metrics to a registry.
    pub fn register_metrics(&self, registry: &mut prometheus_client::registry::Registry) {
        self.metrics.register(registry);
    }

    pub(crate) fn count_request(&self) -> OpenGuard {
        OpenGuard::new(&self.requests)
    }

    pub(crate) fn take_idle(&self) -> Option<connection::Connection> {
        lock(&self.pool).take(self.address(), self.clock.now())
    }

    pub(crate) fn put_idle(&self, connection: connection::Connection) {
        let limit = self.admission.with_queue(|queue| queue.limits().slots);
        lock(&self.pool).put(connection, limit, self.clock.now());
    }

    pub(crate) fn record_success(&self) {
        lock(&self.budget).record_success();
    }

    pub(crate) fn try_retry(&self) -> bool {
        lock(&self.budget).try_retry(self.clock.now())
    }

    /// A refusal with advice that spreads the callers' next attempts.
    pub(crate) fn refusal_response(&self) -> Response<outcome::Body> {
        let rng = &mut *lock(&self.rng);
        let after =
            budget::decorrelated_jitter(RETRY_AFTER_BASE, RETRY_AFTER_BASE, RETRY_AFTER_CAP, rng);
        outcome::not_run(after)
    }
}

/// Counts something that is open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenGuard(Arc<AtomicUsize>);

impl OpenGuard {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves one flow until it ends.
///
/// On an error the flow is to be reset; pass `&mut stream` to keep it for that.
pub async fn serve<S>(stream: S, upstream: Arc<Upstream>) -> Result<(), Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let _open = OpenGuard::new(&upstream.flows);
    if let Some(health) = &upstream.health {
        lock(health).record_probe(upstream.clock.now());
    }
    match upstream.service().protocol {
        record::Protocol::Http => serve_http(stream, upstream).await,
        record::Protocol::Tcp => serve_tcp(stream, &upstream).await,
    }
}

async fn serve_http<S>(stream: S, upstream: Arc<Upstream>) -> Result<(), Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut draining = upstream.draining.subscribe();
    let handler = service::service_fn(|request| handle(Arc::clone(&upstream), request));
    let flow = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT.to_duration())
        .max_buf_size(MAX_HEAD)
        .serve_connection(TokioIo::new(stream), handler);
    let mut flow = pin::pin!(flow);
    tokio::select! {
        result = flow.as_mut() => return Ok(result?),
        _ = draining.wait_for(|draining| *draining) => {}
    }
    let grace = time::timeout(DRAIN_GRACE.to_duration(), flow.as_mut());
    if let Ok(result) = grace.await {
        return Ok(result?);
    }
    flow.as_mut().graceful_shutdown();
    Ok(flow.await?)
}

/// Runs a request, and ends its flow while the agent drains.
async fn handle(
    upstream: Arc<Upstream>,
    request: Request<Incoming>,
) -> Result<Response<outcome::Body>, Infallible> {
    let mut response = attempt::run(&upstream, request).await;
    if upstream.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

async fn serve_tcp<S>(mut stream: S, upstream: &Upstream) -> Result<(), Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let _feed = upstream.admission.open_feed().map_err(Error::Refused)?;
    let limit = request::cap_deadline(upstream.service().deadline);
    let connecting = TcpStream::connect(upstream.address());
    let connected = time::timeout(limit.to_duration(), connecting).await;
    let mut peer = connected.map_err(io::Error::from)??;
    peer.set_nodelay(true)?;
    io::copy_bidirectional(&mut stream, &mut peer).await?;
    Ok(())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
