//! Execution of one HTTP request: admission, attempts, retry or failover, response.
//!
//! A request gets at most two attempts: the first at this relay's upstream, and
//! a retry there or at another candidate.

use std::sync::Arc;

use http_body_util::{BodyExt, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::{Body, Incoming},
    http::request::Parts,
};
use tokio::{
    sync::{OwnedSemaphorePermit, mpsc},
    time,
};

use crate::{admission, clock, connection, outcome, queue, request, upstream};

/// Number of response frames that are buffered for a slow caller.
const BUFFERED_FRAMES: usize = 16;

/// Maximum size of the body of a load shedding response that is read so that the
/// connection can be reused, in bytes.
const MAX_REFUSAL_BODY: usize = 16 * 1024;

/// Time limit for a connection to become ready for reuse after a response.
const REUSE_TIMEOUT: clock::Millis = clock::Millis(1_000);

/// Guard of the slot or connection that admission granted to a request.
#[derive(Debug)]
enum Grant {
    Slot(admission::Slot),
    Feed(admission::Feed),
}

impl Grant {
    /// Releases the slot or connection.
    ///
    /// The service time is recorded only on success; otherwise an upstream that fails fast
    /// would seem to have a high capacity.
    fn release(self, is_success: bool) {
        match self {
            Self::Slot(slot) if is_success => slot.complete(),
            Self::Slot(slot) => drop(slot),
            Self::Feed(feed) => drop(feed),
        }
    }
}

/// Response of the upstream after its head arrived, and the connection that carries it.
struct UpstreamResponse {
    response: Response<Incoming>,
    connection: connection::Connection,
}

/// Reason why an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
    /// No byte of the request was written to the upstream.
    NotSent,
    /// Admission or the upstream refused the request because of overload.
    Shed,
    /// The upstream failed after bytes of the request were written.
    Broken,
    /// No response head arrived before the deadline.
    TimedOut,
}

impl Failure {
    const fn outcome(self) -> outcome::Outcome {
        match self {
            Self::NotSent | Self::Shed => outcome::Outcome::NotRun,
            Self::Broken => outcome::Outcome::Broken,
            Self::TimedOut => outcome::Outcome::TimedOut,
        }
    }
}

/// A request and the state shared by its attempts.
struct Exchange<'a> {
    upstream: &'a Arc<upstream::Upstream>,
    parts: Parts,
    body: request::BufferedBody,
    _replay_permit: Option<OwnedSemaphorePermit>,
    policy: request::Policy,
    deadline: time::Instant,
    open_guard: upstream::OpenGuard,
}

/// Executes a caller's request and returns the response to the caller.
pub async fn run(
    upstream: &Arc<upstream::Upstream>,
    request: Request<Incoming>,
) -> Response<outcome::Body> {
    let open_guard = upstream.count_request();
    let (mut parts, body) = request.into_parts();
    if let Err(status) = request::validate(&parts) {
        return outcome::rejected(status);
    }
    let now = upstream.clock.now();
    let policy = request::policy(&upstream.service(), &parts, now);
    let deadline = upstream.clock.instant(policy.deadline).into();
    let (body, permit) = match request::read_body(body, &upstream.replay_permits, deadline).await {
        Ok(read) => read,
        Err(status) => return outcome::rejected(status),
    };
    request::strip_hop_by_hop(&mut parts.headers);
    parts.headers.remove(hyper::header::EXPECT);
    let exchange = Exchange {
        upstream,
        parts,
        body,
        _replay_permit: permit,
        policy,
        deadline,
        open_guard,
    };
    exchange.run().await
}

impl Exchange<'_> {
    async fn run(mut self) -> Response<outcome::Body> {
        let grant = match self.admit().await {
            Ok(grant) => grant,
            Err(refusal) => return self.refuse(refusal).await,
        };
        let failure = match self.attempt().await {
            Ok(upstream_response) => return self.respond(upstream_response, grant),
            Err(failure) => failure,
        };
        if !self.may_retry(failure) {
            return self.fail(failure, grant);
        }
        if self.upstream.failover.is_some() {
            drop(grant);
            let response = self.fail_over().await;
            let response = response.filter(|r| is_consistent(r, failure));
            return response.unwrap_or_else(|| self.failure_response(failure));
        }
        match self.attempt().await {
            Ok(upstream_response) => self.respond(upstream_response, grant),
            Err(second) => self.fail(combine(failure, second), grant),
        }
    }

    async fn admit(&self) -> Result<Grant, queue::Refusal> {
        let admission = &self.upstream.admission;
        if self.policy.feed {
            return admission.open_feed().map(Grant::Feed);
        }
        let slot = admission.admit(self.policy.class, self.policy.deadline);
        slot.await.map(Grant::Slot)
    }

    /// Sends the request to the upstream once.
    async fn attempt(&mut self) -> Result<UpstreamResponse, Failure> {
        let mut connection = self.connect().await.map_err(|error| to_failure(&error))?;
        let remaining = self.policy.deadline.since(self.upstream.clock.now());
        if remaining == clock::Millis(0) {
            return Err(Failure::NotSent);
        }
        let body = self.body.upstream_body();
        let request = request::upstream_request(&self.parts, body, remaining);
        let response = connection
            .send(request, self.deadline)
            .await
            .map_err(|error| to_failure(&error))?;
        if is_shed(&response) {
            self.drain_refusal(response, connection);
            return Err(Failure::Shed);
        }
        Ok(UpstreamResponse {
            response,
            connection,
        })
    }

    /// Returns an idle connection if there is one and the body can be sent again, otherwise
    /// opens a new one.
    ///
    /// An idle connection may fail if the upstream closes it at the same time.
    async fn connect(&self) -> Result<connection::Connection, connection::Error> {
        if self.body.complete().is_some()
            && let Some(connection) = self.upstream.take_idle()
        {
            return Ok(connection);
        }
        connection::Connection::open(self.upstream.address(), self.deadline).await
    }

    /// Returns whether a failed attempt may be retried, and takes a token from the retry
    /// budget if so.
    ///
    /// A refused request is not retried at the same upstream.
    fn may_retry(&self, failure: Failure) -> bool {
        let is_useful = failure != Failure::Shed || self.upstream.failover.is_some();
        let allowed = is_useful
            && failure.outcome().may_retry(self.policy.idempotent)
            && self.body.complete().is_some()
            && time::Instant::now() < self.deadline
            && self.upstream.try_retry();
        if allowed {
            self.upstream.metrics.record_retry();
        }
        allowed
    }

    /// Sends the request to another candidate; returns `None` if none accepts it.
    async fn fail_over(&self) -> Option<Response<outcome::Body>> {
        let failover = self.upstream.failover.as_ref()?;
        let replay = request::Replay {
            parts: self.parts.clone(),
            body: self.body.complete()?.clone(),
            policy: self.policy,
        };
        failover(replay).await
    }

    /// Fails over to another candidate or returns the response to a request that admission
    /// refused.
    async fn refuse(&self, refusal: queue::Refusal) -> Response<outcome::Body> {
        let class = self.policy.class;
        self.upstream.metrics.record_refusal(class, refusal);
        if self.may_retry(Failure::Shed)
            && let Some(response) = self.fail_over().await
        {
            return response;
        }
        self.failure_response(Failure::Shed)
    }

    /// Releases the slot and returns the response to a request whose attempts failed.
    ///
    /// The time until a timeout is recorded as service time.
    fn fail(&self, failure: Failure, grant: Grant) -> Response<outcome::Body> {
        if failure == Failure::TimedOut {
            grant.release(true);
        }
        self.failure_response(failure)
    }

    /// Records the failure and returns the response to the caller.
    fn failure_response(&self, failure: Failure) -> Response<outcome::Body> {
        let outcome = failure.outcome();
        if failure != Failure::Shed {
            self.upstream.record_result(false);
        }
        self.upstream
            .metrics
            .record_outcome(self.policy.class, outcome);
        match failure {
            Failure::NotSent | Failure::Shed => self.upstream.refusal_response(),
            Failure::Broken => outcome::unknown(StatusCode::BAD_GATEWAY),
            Failure::TimedOut => outcome::unknown(StatusCode::GATEWAY_TIMEOUT),
        }
    }

    /// Records the success or failure of the upstream's response and returns the response to
    /// the caller, whose body a separate task forwards.
    fn respond(self, upstream_response: UpstreamResponse, grant: Grant) -> Response<outcome::Body> {
        let is_success = !upstream_response.response.status().is_server_error();
        self.upstream.record_result(is_success);
        if is_success {
            self.upstream.record_success();
        }
        let class = self.policy.class;
        self.upstream
            .metrics
            .record_outcome(class, outcome::Outcome::Answered);
        let (mut parts, incoming) = upstream_response.response.into_parts();
        request::strip_hop_by_hop(&mut parts.headers);
        parts.headers.remove(outcome::OUTCOME_HEADER);
        let (events, body) = if incoming.is_end_stream() {
            (None, outcome::Body::full(""))
        } else {
            let (sender, receiver) = mpsc::channel(BUFFERED_FRAMES);
            (Some(sender), outcome::Body::stream(receiver))
        };
        let forwarder = BodyForwarder {
            upstream: Arc::clone(self.upstream),
            connection: upstream_response.connection,
            grant,
            is_success,
            open_guard: (!self.policy.feed).then_some(self.open_guard),
            deadline: (!self.policy.feed).then_some(self.deadline),
        };
        tokio::spawn(forwarder.run(incoming, events));
        let mut response = Response::new(body);
        *response.status_mut() = parts.status;
        *response.headers_mut() = parts.headers;
        response
    }

    /// Reads the body of a load shedding response in the background so that the connection
    /// can be reused.
    fn drain_refusal(&self, response: Response<Incoming>, connection: connection::Connection) {
        let upstream = Arc::clone(self.upstream);
        tokio::spawn(async move {
            let body = Limited::new(response.into_body(), MAX_REFUSAL_BODY).collect();
            let result = time::timeout(REUSE_TIMEOUT.to_duration(), body).await;
            if matches!(result, Ok(Ok(_))) {
                return_to_pool(&upstream, connection).await;
            }
        });
    }
}

/// Task that forwards the body of a response from the upstream to the caller.
struct BodyForwarder {
    upstream: Arc<upstream::Upstream>,
    connection: connection::Connection,
    grant: Grant,
    is_success: bool,
    open_guard: Option<upstream::OpenGuard>,
    deadline: Option<time::Instant>,
}

/// Reason why the body of a response was not forwarded completely.
enum Interruption {
    /// The caller disconnected.
    Caller,
    /// The upstream failed.
    Upstream,
    /// The deadline passed.
    Deadline,
}

impl BodyForwarder {
    async fn run(self, body: Incoming, events: Option<mpsc::Sender<outcome::BodyEvent>>) {
        let result = match &events {
            Some(events) => self.with_deadline(forward_body(body, events)).await,
            None => Ok(()),
        };
        match result {
            Ok(()) => {
                self.grant.release(self.is_success);
                drop(self.open_guard);
                return_to_pool(&self.upstream, self.connection).await;
            }
            Err(Interruption::Upstream) => self.upstream.metrics.record_truncated(),
            Err(Interruption::Deadline) => {
                self.upstream.metrics.record_truncated();
                self.grant.release(true);
            }
            Err(Interruption::Caller) => {}
        }
    }

    /// Interrupts `forwarding` at the deadline, if there is one.
    async fn with_deadline(
        &self,
        forwarding: impl Future<Output = Result<(), Interruption>>,
    ) -> Result<(), Interruption> {
        let Some(deadline) = self.deadline else {
            return forwarding.await;
        };
        let result = time::timeout_at(deadline, forwarding).await;
        result.unwrap_or(Err(Interruption::Deadline))
    }
}

async fn forward_body(
    mut body: Incoming,
    events: &mpsc::Sender<outcome::BodyEvent>,
) -> Result<(), Interruption> {
    loop {
        let frame = tokio::select! {
            () = events.closed() => return Err(Interruption::Caller),
            frame = body.frame() => frame,
        };
        let event = match frame {
            Some(Ok(frame)) => outcome::BodyEvent::Frame(frame),
            Some(Err(_)) => return Err(Interruption::Upstream),
            None => outcome::BodyEvent::End,
        };
        let is_end = matches!(event, outcome::BodyEvent::End);
        if events.send(event).await.is_err() && !is_end {
            return Err(Interruption::Caller);
        }
        if is_end {
            return Ok(());
        }
    }
}

/// Returns a connection to the pool once it is ready for reuse, or closes it after a timeout.
async fn return_to_pool(upstream: &upstream::Upstream, mut connection: connection::Connection) {
    let ready = time::timeout(REUSE_TIMEOUT.to_duration(), connection.wait_until_ready());
    if ready.await == Ok(true) {
        upstream.put_idle(connection);
    }
}

/// Returns whether the upstream refused a request by load shedding.
fn is_shed(response: &Response<Incoming>) -> bool {
    let is_marked = response
        .headers()
        .get(outcome::OUTCOME_HEADER)
        .is_some_and(|value| value == outcome::NOT_RUN);
    is_marked && response.status() == StatusCode::SERVICE_UNAVAILABLE
}

fn to_failure(error: &connection::Error) -> Failure {
    match error {
        connection::Error::NotSent => Failure::NotSent,
        connection::Error::Failed(_) => Failure::Broken,
        connection::Error::TimedOut => Failure::TimedOut,
    }
}

/// Returns whether the outcome that another candidate reports also holds for the failed
/// attempt.
///
/// "Not run" is true only if the first attempt did not run either.
fn is_consistent(response: &Response<outcome::Body>, failure: Failure) -> bool {
    let is_not_run = response
        .headers()
        .get(outcome::OUTCOME_HEADER)
        .is_some_and(|value| value == outcome::NOT_RUN);
    !is_not_run || failure.outcome() == outcome::Outcome::NotRun
}

/// Combines the failures of two attempts: "not run" only if neither of them ran.
const fn combine(first: Failure, second: Failure) -> Failure {
    match (first, second) {
        (Failure::NotSent | Failure::Shed, _) => second,
        (_, Failure::NotSent | Failure::Shed) => first,
        _ => second,
    }
}
