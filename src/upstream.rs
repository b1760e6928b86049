//! State of the relay to one upstream: its admission, connection pool, retry budget and
//! health, and the flows and requests that are open.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
};

use futures_util::future::BoxFuture;
use hyper::Response;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::sync::{Semaphore, watch};

use crate::{
    admission, budget, clock, connection, health, metrics, mutex, outcome, queue, record, request,
};

/// Maximum number of bodies of up to [`request::MAX_REPLAY_BODY`] that are buffered at once.
const MAX_BUFFERED_BODIES: usize = 256;

/// Minimum of the Retry-After header in the response to a refused request.
const RETRY_AFTER_BASE: clock::Millis = clock::Millis(1_000);

/// Maximum of the Retry-After header in the response to a refused request.
const RETRY_AFTER_CAP: clock::Millis = clock::Millis(8_000);

/// Function that retries a request at another candidate upstream of the service.
///
/// It returns `None` if no other candidate accepted the request.
pub type Failover = Box<
    dyn Fn(request::Replay) -> BoxFuture<'static, Option<Response<outcome::Body>>> + Send + Sync,
>;

/// Configuration of the relay to one upstream.
pub struct Options {
    /// Address on which the upstream accepts connections.
    pub address: SocketAddr,
    /// Concurrency limits of the upstream.
    pub limits: queue::Limits,
    /// Admission rules.
    pub policy: queue::Policy,
    /// Service record in effect.
    pub service: record::Service,
    /// Retry budget.
    pub budget: budget::Budget,
    /// Whether a health check limits new flows to probes while the upstream is failing.
    pub health: bool,
    /// Failover to other candidates; without it, retries go to the same upstream.
    pub failover: Option<Failover>,
    /// Seed of the random numbers for the Retry-After header.
    pub seed: u64,
    /// Clock of the process.
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

/// Numbers of flows and requests that a relay has open.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub struct Counts {
    /// Open flows of callers.
    pub flows: usize,
    /// Requests from their arrival to the end of their response; feeds only until their
    /// response starts.
    pub requests: usize,
    /// Open feeds and flows of a `tcp` service.
    pub feeds: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Requests that hold a slot.
    pub running: usize,
}

/// State of the relay to one upstream: admission, connection pool, retry budget, health.
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
    /// Creates a relay that has no flows yet.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let queue = queue::Queue::new(options.limits, options.policy);
        Self {
            clock: options.clock,
            admission: admission::Admission::new(queue, options.clock),
            failover: options.failover,
            metrics: metrics::Metrics::default(),
            replay_permits: Arc::new(Semaphore::new(MAX_BUFFERED_BODIES)),
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

    /// Returns the address on which the upstream accepts connections.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        *mutex::lock(&self.address)
    }

    /// Replaces address and limits of the upstream; running requests are not interrupted.
    pub fn update(&self, address: SocketAddr, limits: queue::Limits) {
        *mutex::lock(&self.address) = address;
        self.admission.set_limits(limits);
    }

    /// Returns the service record in effect.
    #[must_use]
    pub fn service(&self) -> Arc<record::Service> {
        Arc::clone(&mutex::lock(&self.service))
    }

    /// Replaces the service record for requests that arrive from now on.
    pub fn set_service(&self, service: record::Service) {
        *mutex::lock(&self.service) = Arc::new(service);
    }

    /// Returns whether a new flow should be accepted.
    #[must_use]
    pub fn accepts_flows(&self) -> bool {
        !self.is_draining()
            && self.admission.with_queue(|queue| queue.has_free_slot())
            && self.health_allows_flow()
    }

    /// Returns whether the health check marks the upstream as failing.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        let health = self.health.as_ref();
        health.is_some_and(|health| mutex::lock(health).is_failing())
    }

    /// Returns whether the health check allows a new flow.
    fn health_allows_flow(&self) -> bool {
        let health = self.health.as_ref();
        health.is_none_or(|health| mutex::lock(health).allows_flow(self.clock.now()))
    }

    /// Records the result of a request for the health check.
    pub(crate) fn record_result(&self, is_success: bool) {
        if let Some(health) = &self.health {
            mutex::lock(health).record(is_success);
        }
    }

    /// Returns the capacity to announce, see [`queue::Queue::capacity_step`].
    #[must_use]
    pub fn capacity_step(&self) -> u8 {
        let now = self.clock.now();
        self.admission.with_queue(|queue| queue.capacity_step(now))
    }

    /// Starts connection draining: responses carry `connection: close`, and idle flows are
    /// closed after a grace period. Feeds stay open until they end.
    pub fn drain(&self) {
        self.draining.send_replace(true);
    }

    /// Stops draining and accepts new flows again.
    pub fn resume(&self) {
        self.draining.send_replace(false);
    }

    /// Returns whether the relay is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Returns the numbers of open flows and requests.
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

    /// Returns whether nothing is open, so that the process can stop without interrupting
    /// a caller.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let counts = self.counts();
        counts.flows == 0 && counts.requests == 0 && counts.feeds == 0
    }

    /// Registers the relay's metrics.
    pub fn register_metrics(&self, registry: &mut prometheus_client::registry::Registry) {
        self.metrics.register(registry);
    }

    /// Returns a receiver that changes when the relay starts or stops draining.
    pub(crate) fn subscribe_draining(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }

    /// Counts a new flow, and takes it as a probe of a failing upstream.
    pub(crate) fn count_flow(&self) -> OpenGuard {
        if let Some(health) = &self.health {
            mutex::lock(health).record_probe(self.clock.now());
        }
        OpenGuard::new(&self.flows)
    }

    pub(crate) fn count_request(&self) -> OpenGuard {
        OpenGuard::new(&self.requests)
    }

    pub(crate) fn take_idle(&self) -> Option<connection::Connection> {
        mutex::lock(&self.pool).take(self.address(), self.clock.now())
    }

    pub(crate) fn put_idle(&self, connection: connection::Connection) {
        let limit = self.admission.with_queue(|queue| queue.limits().slots);
        mutex::lock(&self.pool).put(connection, limit, self.clock.now());
    }

    pub(crate) fn record_success(&self) {
        mutex::lock(&self.budget).record_success();
    }

    pub(crate) fn try_retry(&self) -> bool {
        mutex::lock(&self.budget).try_retry(self.clock.now())
    }

    /// Creates the response to a refused request, with a random Retry-After time that
    /// spreads the retries of the callers.
    pub(crate) fn refusal_response(&self) -> Response<outcome::Body> {
        let rng = &mut *mutex::lock(&self.rng);
        let after =
            budget::decorrelated_jitter(RETRY_AFTER_BASE, RETRY_AFTER_BASE, RETRY_AFTER_CAP, rng);
        outcome::not_run(after)
    }
}

/// Guard that counts an open flow or request until it is dropped.
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
