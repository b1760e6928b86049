//! Execution of requests by an upstream, with its injected faults, and its feeds.

use std::{
    convert::Infallible,
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use cassiacross::{mutex, outcome};
use futures_util::stream;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::{Frame, Incoming},
    header,
};
use tokio::time;

use super::{Body, Faults, State, response};

/// Service time of a request that gives none, in milliseconds.
const DEFAULT_WORK_MS: f64 = 20.0;
/// Factor of the service time after a cold start.
const COLD_FACTOR: f64 = 10.0;
/// Time between two lines of a feed.
const FEED_PERIOD: Duration = Duration::from_millis(100);
/// Time between the last bytes of a truncated response and the close of its connection.
const CLOSE_DELAY: Duration = Duration::from_millis(20);

/// Increments a counter, and decrements it when dropped.
pub(super) struct CountGuard {
    state: Arc<State>,
    count: fn(&State) -> &AtomicUsize,
}

impl CountGuard {
    pub(super) fn new(state: &Arc<State>, count: fn(&State) -> &AtomicUsize) -> Self {
        count(state).fetch_add(1, Ordering::SeqCst);
        Self {
            state: Arc::clone(state),
            count,
        }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.count)(&self.state).fetch_sub(1, Ordering::SeqCst);
    }
}

/// Responds to a request, a feed or a query of the load.
pub(super) async fn serve(
    state: Arc<State>,
    request: Request<Incoming>,
) -> io::Result<Response<Body>> {
    let path = request.uri().path();
    if path == "/load" {
        return Ok(response::json_response(
            StatusCode::OK,
            &state.load_report(),
        ));
    }
    if request.method() == Method::GET && path.starts_with("/feed") {
        return Ok(feed_response(&state, &request));
    }
    execute(&state, request).await
}

async fn execute(state: &Arc<State>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let faults = *mutex::lock(&state.faults);
    if faults.close_before {
        return Err(response::connection_closed());
    }
    if faults.shed {
        return Ok(response::shed_response());
    }
    if faults.wrong_fast {
        return Ok(response::text_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            "wrong\n",
        ));
    }
    let guard = CountGuard::new(state, |state| &state.requests);
    let (parts, body) = request.into_parts();
    let received = body.collect().await.map_err(io::Error::other)?;
    let received = received.to_bytes().len();
    let slot = state.slots.acquire().await.map_err(io::Error::other)?;
    let index = state.record_start(&parts.headers)?;
    time::sleep(state.service_time(&parts.headers, faults)).await;
    state.ledger.record_end(index);
    drop(slot);
    let text = response::body_text(&parts.headers);
    let len = text.len();
    let mut response = Response::new(faulty_body(text, faults, guard).await?);
    if !parts.headers.contains_key("x-chunked") {
        let length = len.into();
        response
            .headers_mut()
            .insert(header::CONTENT_LENGTH, length);
    }
    state.add_headers(response.headers_mut(), &parts.headers);
    response.headers_mut().insert("x-received", received.into());
    Ok(response)
}

/// Builds the response body with the injected faults; an error closes the connection without a
/// response head.
async fn faulty_body(text: Bytes, faults: Faults, guard: CountGuard) -> io::Result<Body> {
    if faults.silent_after == Some(0) {
        drop(guard);
        return std::future::pending().await;
    }
    if faults.close_after == Some(0) {
        return Err(response::connection_closed());
    }
    if let Some(len) = faults.silent_after {
        drop(guard);
        return Ok(response::truncated_body(&text, len, stream::pending()));
    }
    if let Some(len) = faults.close_after {
        let end = stream::once(async {
            time::sleep(CLOSE_DELAY).await;
            Err(response::connection_closed())
        });
        return Ok(response::truncated_body(&text, len, end));
    }
    let whole = Full::new(text).map_frame(move |frame| {
        let _guard = &guard;
        frame
    });
    Ok(whole
        .map_err(|never: Infallible| match never {})
        .boxed_unsync())
}

fn feed_response(state: &Arc<State>, request: &Request<Incoming>) -> Response<Body> {
    let guard = CountGuard::new(state, |state| &state.feeds);
    let id = response::header_text(request.headers(), "x-request-id").to_owned();
    let drained = state.drained.subscribe();
    let lines = stream::unfold((0_u64, guard, drained), move |(n, guard, mut drained)| {
        let line = Bytes::from(format!("{id} {n}\n"));
        async move {
            let is_drained = *drained.borrow_and_update();
            if is_drained {
                return None;
            }
            time::sleep(FEED_PERIOD).await;
            Some((Ok(Frame::data(line)), (n + 1, guard, drained)))
        }
    });
    let mut response = Response::new(StreamBody::new(lines).boxed_unsync());
    state.add_headers(response.headers_mut(), request.headers());
    response
}

impl State {
    fn record_start(&self, headers: &HeaderMap) -> io::Result<usize> {
        let id = response::header_text(headers, "x-request-id");
        let deadline = response::header_text(headers, outcome::DEADLINE_HEADER.as_str());
        self.ledger
            .record_start(id, &self.options.service, deadline.parse().ok())
    }

    fn service_time(&self, headers: &HeaderMap, faults: Faults) -> Duration {
        let work: f64 = response::header_text(headers, "x-work-ms")
            .parse()
            .unwrap_or(DEFAULT_WORK_MS);
        let warm = self
            .cold_left
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1))
            .is_err();
        let cold = if warm { 1.0 } else { COLD_FACTOR };
        let factor = cold * faults.slow.unwrap_or(1.0) / self.options.speed;
        Duration::from_secs_f64((work * factor).max(0.0) / 1_000.0)
    }

    fn add_headers(&self, headers: &mut HeaderMap, request: &HeaderMap) {
        if let Some(id) = request.get("x-request-id") {
            headers.insert("x-request-id", id.clone());
        }
        let names = [
            ("x-upstream", &self.options.name),
            ("x-service", &self.options.service),
        ];
        for (header, name) in names {
            if let Ok(value) = name.parse() {
                headers.insert(header, value);
            }
        }
    }
}
