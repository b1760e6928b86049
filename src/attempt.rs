//! Runs one request: admission, upstream connection, retry, answer.

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

use crate::{admission, clock, connection, outcome, queue, relay, request};

/// Frames of an answer that wait for a slow caller.
const BUFFERED_FRAMES: usize = 16;

/// The largest body of an upstream's refusal that is read to keep the connection, in bytes.
const MAX_REFUSAL: usize = 16 * 1024;

/// How long an exchange may take to settle after its answer ended.
const SETTLE_TIMEOUT: clock::Millis = clock::Millis(1_000);

/// What a request holds at its upstream.
#[derive(Debug)]
enum Hold {
    Slot(admission::Slot),
    Feed(admission::Feed),
}

impl Hold {
    /// Frees what is held; only a success says how long the work takes, as
    /// an upstream that fails fast must not seem strong.
    fn end(self, is_success: bool) {
        match self {
            Self::Slot(slot) if is_success => slot.complete(),
            Self::Slot(slot) => drop(slot),
            Self::Feed(feed) => drop(feed),
        }
    }
}

/// An answer whose head arrived, and the connection that it arrives on.
struct Answer {
    response: Response<Incoming>,
    connection: connection::Connection,
}

/// Why an attempt has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
    NotSent,
    Shed,
    Broken,
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

/// One request and what its attempts share.
struct Exchange<'a> {
    upstream: &'a Arc<relay::Upstream>,
    parts: Parts,
    body: request::BufferedBody,
    _permit: Option<OwnedSemaphorePermit>,
    policy: request::Policy,
    end: time::Instant,
    open: relay::OpenGuard,
}

/// Runs a caller's request and gives the answer that the caller gets.
pub async fn run(
    upstream: &Arc<relay::Upstream>,
    request: Request<Incoming>,
) -> Response<outcome::Body> {
    let open = upstream.count_request();
    let (mut parts, body) = request.into_parts();
    if let Err(status) = request::validate(&parts) {
        return outcome::rejected(status);
    }
    let now = upstream.clock.now();
    let policy = request::policy(&upstream.service(), &parts, now);
    let end = upstream.clock.instant(policy.deadline).into();
    let (body, permit) = match request::read_body(body, &upstream.replay_permits, end).await {
        Ok(read) => read,
        Err(status) => return outcome::rejected(status),
    };
    request::strip_hop_by_hop(&mut parts.headers);
    parts.headers.remove(hyper::header::EXPECT);
    let exchange = Exchange {
        upstream,
        parts,
        body,
        _permit: permit,
        policy,
        end,
        open,
    };
    exchange.run().await
}

impl Exchange<'_> {
    async fn run(mut self) -> Response<outcome::Body> {
        let hold = match self.admit().await {
            Ok(hold) => hold,
            Err(refusal) => return self.refused(refusal).await,
        };
        let failure = match self.attempt().await {
            Ok(answer) => return self.answer(answer, hold),
            Err(failure) => failure,
        };
        if !self.may_retry(failure) {
            return self.failed(failure, hold);
        }
        if self.upstream.failover.is_some() {
            drop(hold);
            let response = self.hand_over().await;
            let response = response.filter(|r| is_consistent(r, failure));
            return response.unwrap_or_else(|| self.unanswered(failure));
        }
        match self.attempt().await {
            Ok(answer) => self.answer(answer, hold),
            Err(second) => self.failed(worse(failure, second), hold),
        }
    }

    async fn admit(&self) -> Result<Hold, queue::Refusal> {
        let admission = &self.upstream.admission;
        if self.policy.feed {
            return admission.open_feed().map(Hold::Feed);
        }
        let slot = admission.admit(self.policy.class, self.policy.deadline);
        slot.await.map(Hold::Slot)
    }

    async fn attempt(&mut self) -> Result<Answer, Failure> {
        let mut connection = self.connect().await.map_err(|error| failure(&error))?;
        let left = self.policy.deadline.since(self.upstream.clock.now());
        if left == clock::Millis(0) {
            return Err(Failure::NotSent);
        }
        let body = self.body.upstream_body();
        let request = request::upstream_request(&self.parts, body, left);
        let response = connection
            .send(request, self.end)
            .await
            .map_err(|error| failure(&error))?;
        if is_shed(&response) {
            self.settle_refusal(response, connection);
            return Err(Failure::Shed);
        }
        Ok(Answer {
            response,
            connection,
        })
    }

    /// A connection at rest for a body that can be sent again, else a new one.
    async fn connect(&self) -> Result<connection::Connection, connection::Error> {
        if self.body.complete().is_some()
            && let Some(connection) = self.upstream.take_idle()
        {
            return Ok(connection);
        }
        connection::Connection::open(self.upstream.address(), self.end).await
    }

    fn may_retry(&self, failure: Failure) -> bool {
        let is_useful = failure != Failure::Shed || self.upstream.failover.is_some();
        let allowed = is_useful
            && failure.outcome().may_retry(self.policy.idempotent)
            && self.body.complete().is_some()
            && time::Instant::now() < self.end
            && self.upstream.try_retry();
        if allowed {
            self.upstream.metrics.record_retry();
        }
        allowed
    }

    async fn hand_over(&self) -> Option<Response<outcome::Body>> {
        let failover = self.upstream.failover.as_ref()?;
        let replay = request::Replay {
            parts: self.parts.clone(),
            body: self.body.complete()?.clone(),
            policy: self.policy,
        };
        failover(replay).await
    }

    async fn refused(&self, refusal: queue::Refusal) -> Response<outcome::Body> {
        let class = self.policy.class;
        self.upstream.metrics.record_refusal(class, refusal);
        if self.may_retry(Failure::Shed)
            && let Some(response) = self.hand_over().await
        {
            return response;
        }
        self.unanswered(Failure::Shed)
    }

    fn failed(&self, failure: Failure, hold: Hold) -> Response<outcome::Body> {
        if failure == Failure::TimedOut {
            hold.end(true);
        }
        self.unanswered(failure)
    }

    fn unanswered(&self, failure: Failure) -> Response<outcome::Body> {
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

    fn answer(self, answer: Answer, hold: Hold) -> Response<outcome::Body> {
        let is_success = !answer.response.status().is_server_error();
        self.upstream.record_result(is_success);
        if is_success {
            self.upstream.record_success();
        }
        let class = self.policy.class;
        self.upstream
            .metrics
            .record_outcome(class, outcome::Outcome::Answered);
        let (mut parts, incoming) = answer.response.into_parts();
        request::strip_hop_by_hop(&mut parts.headers);
        parts.headers.remove(outcome::OUTCOME_HEADER);
        let (pieces, body) = if incoming.is_end_stream() {
            (None, outcome::Body::full(""))
        } else {
            let (sender, receiver) = mpsc::channel(BUFFERED_FRAMES);
            (Some(sender), outcome::Body::stream(receiver))
        };
        let pump = Pump {
            upstream: Arc::clone(self.upstream),
            connection: answer.connection,
            hold,
            is_success,
            open: (!self.policy.feed).then_some(self.open),
            end: (!self.policy.feed).then_some(self.end),
        };
        tokio::spawn(pump.run(incoming, pieces));
        let mut response = Response::new(body);
        *response.status_mut() = parts.status;
        *response.headers_mut() = parts.headers;
        response
    }

    /// Reads the body of a refusal, so that its connection can be used again.
    fn settle_refusal(&self, response: Response<Incoming>, connection: connection::Connection) {
        let upstream = Arc::clone(self.upstream);
        tokio::spawn(async move {
            let body = Limited::new(response.into_body(), MAX_REFUSAL).collect();
            let reading = time::timeout(SETTLE_TIMEOUT.to_duration(), body).await;
            if matches!(reading, Ok(Ok(_))) {
                settle(&upstream, connection).await;
            }
        });
    }
}

/// Moves an answer's body from the upstream to the caller.
struct Pump {
    upstream: Arc<relay::Upstream>,
    connection: connection::Connection,
    hold: Hold,
    is_success: bool,
    open: Option<relay::OpenGuard>,
    end: Option<time::Instant>,
}

/// Why an answer's body did not arrive whole.
enum Stop {
    /// The caller hung up.
    Caller,
    /// The upstream failed.
    Upstream,
    /// The deadline passed.
    Deadline,
}

impl Pump {
    async fn run(self, body: Incoming, pieces: Option<mpsc::Sender<outcome::BodyEvent>>) {
        let moved = match &pieces {
            Some(pieces) => self.bounded(move_body(body, pieces)).await,
            None => Ok(()),
        };
        match moved {
            Ok(()) => {
                self.hold.end(self.is_success);
                drop(self.open);
                settle(&self.upstream, self.connection).await;
            }
            Err(Stop::Upstream) => self.upstream.metrics.record_truncated(),
            Err(Stop::Deadline) => {
                self.upstream.metrics.record_truncated();
                self.hold.end(true);
            }
            Err(Stop::Caller) => {}
        }
    }

    async fn bounded(&self, moving: impl Future<Output = Result<(), Stop>>) -> Result<(), Stop> {
        let Some(end) = self.end else {
            return moving.await;
        };
        let bounded = time::timeout_at(end, moving).await;
        bounded.unwrap_or(Err(Stop::Deadline))
    }
}

async fn move_body(
    mut body: Incoming,
    pieces: &mpsc::Sender<outcome::BodyEvent>,
) -> Result<(), Stop> {
    loop {
        let frame = tokio::select! {
            () = pieces.closed() => return Err(Stop::Caller),
            frame = body.frame() => frame,
        };
        let piece = match frame {
            Some(Ok(frame)) => outcome::BodyEvent::Frame(frame),
            Some(Err(_)) => return Err(Stop::Upstream),
            None => outcome::BodyEvent::End,
        };
        let is_end = matches!(piece, outcome::BodyEvent::End);
        if pieces.send(piece).await.is_err() && !is_end {
            return Err(Stop::Caller);
        }
        if is_end {
            return Ok(());
        }
    }
}

async fn settle(upstream: &relay::Upstream, mut connection: connection::Connection) {
    let settling = time::timeout(SETTLE_TIMEOUT.to_duration(), connection.wait_until_ready());
    if settling.await == Ok(true) {
        upstream.put_idle(connection);
    }
}

fn is_shed(response: &Response<Incoming>) -> bool {
    let is_marked = response
        .headers()
        .get(outcome::OUTCOME_HEADER)
        .is_some_and(|value| value == outcome::NOT_RUN);
    is_marked && response.status() == StatusCode::SERVICE_UNAVAILABLE
}

fn failure(error: &connection::Error) -> Failure {
    match error {
        connection::Error::NotSent => Failure::NotSent,
        connection::Error::Failed(_) => Failure::Broken,
        connection::Error::TimedOut => Failure::TimedOut,
    }
}

/// Whether an answer from another candidate also holds for the attempt before it.
fn is_consistent(response: &Response<outcome::Body>, failure: Failure) -> bool {
    let is_not_run = response
        .headers()
        .get(outcome::OUTCOME_HEADER)
        .is_some_and(|value| value == outcome::NOT_RUN);
    !is_not_run || failure.outcome() == outcome::Outcome::NotRun
}

/// The outcome of two attempts: not run only if neither was.
const fn worse(first: Failure, second: Failure) -> Failure {
    match (first, second) {
        (Failure::NotSent | Failure::Shed, _) => second,
        (_, Failure::NotSent | Failure::Shed) => first,
        _ => second,
    }
}
