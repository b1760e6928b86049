//! Callers' requests: validation, policy, headers and body buffering.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http_body_util::{BodyExt, BodyStream, Full, StreamBody};
use hyper::{
    HeaderMap, Method, Request, StatusCode, Version,
    body::{Body, Frame, Incoming},
    header::{self, HeaderName, HeaderValue},
    http::request,
};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time,
};

use crate::{clock, connection, outcome, record};

/// Maximum size of a request body that is buffered for retries, in bytes.
pub const MAX_REPLAY_BODY: usize = 64 * 1024;

/// Maximum size of a request body that is buffered without a permit, in bytes.
const MAX_SMALL_BODY: u64 = 4 * 1024;

/// Maximum time from the arrival of a request to its deadline.
const MAX_DEADLINE: clock::Millis = clock::Millis(24 * 60 * 60 * 1_000);

/// Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Admission and retry policy of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Priority class.
    pub class: record::Class,
    /// Whether the request may be retried after an unknown outcome.
    pub idempotent: bool,
    /// Whether the response is a feed, a long-lived stream that holds a connection but no slot.
    pub feed: bool,
    /// Time by which the response has to be complete.
    pub deadline: clock::Millis,
}

/// Complete copy of a request that can be sent again.
#[derive(Clone, Debug)]
pub struct Replay {
    /// Method, target and headers.
    pub parts: request::Parts,
    /// Complete body.
    pub body: Bytes,
    /// Admission and retry policy.
    pub policy: Policy,
}

/// Body of a caller's request, buffered as far as its size and the permits allow.
#[derive(Debug)]
pub enum BufferedBody {
    /// The complete body.
    Complete(Bytes),
    /// The start of a body that is not buffered as a whole, and the unread rest.
    Partial(Bytes, Incoming),
}

/// Returns the policy of a request that arrives at `now`.
///
/// It results from the matching rule of the service, and the deadline also from the
/// deadline header, which can only shorten it.
#[must_use]
pub fn policy(service: &record::Service, parts: &request::Parts, now: clock::Millis) -> Policy {
    let rule = service.rule(parts.method.as_str(), parts.uri.path());
    let max = cap_deadline(rule.map_or(service.deadline, |rule| rule.deadline));
    let requested = parts
        .headers
        .get(outcome::DEADLINE_HEADER)
        .and_then(parse_millis);
    let remaining = requested.map_or(max, |requested| requested.min(max));
    Policy {
        class: rule.map_or(record::Class::default(), |rule| rule.class),
        idempotent: rule.map_or(parts.method.is_safe(), |rule| rule.idempotent),
        feed: rule.is_some_and(|rule| rule.feed),
        deadline: now + remaining,
    }
}

/// Limits a deadline from the service record so that adding it to a time cannot overflow.
#[must_use]
pub fn cap_deadline(deadline: clock::Millis) -> clock::Millis {
    deadline.min(MAX_DEADLINE)
}

/// Rejects requests with ambiguous framing or an invalid number of Host headers, and
/// `CONNECT`, which switches from HTTP to a tunnel.
///
/// Returns the status of the response to a rejected request as error.
pub fn validate(parts: &request::Parts) -> Result<(), StatusCode> {
    let headers = &parts.headers;
    if parts.method == Method::CONNECT {
        return Err(StatusCode::NOT_IMPLEMENTED);
    }
    let has_coding = headers.contains_key(header::TRANSFER_ENCODING);
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    if lengths > 1 || (has_coding && lengths > 0) || !has_known_coding(headers) {
        return Err(StatusCode::BAD_REQUEST);
    }
    let hosts = headers.get_all(header::HOST).iter().count();
    if hosts > 1 || (hosts == 0 && parts.version == Version::HTTP_11) {
        return Err(StatusCode::BAD_REQUEST);
    }
    Ok(())
}

/// Removes the hop-by-hop headers, including those listed in the Connection header.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<_> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .filter(|name| !is_end_to_end(name))
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Reads a body until it is complete or too large to be buffered.
///
/// A body that may be large is buffered only with one of the `permits`, which limit
/// the total memory. If the body is malformed or does not arrive before `deadline`, returns
/// the status of the response to the caller as error.
pub async fn read_body(
    body: Incoming,
    permits: &Arc<Semaphore>,
    deadline: time::Instant,
) -> Result<(BufferedBody, Option<OwnedSemaphorePermit>), StatusCode> {
    let is_small = body
        .size_hint()
        .upper()
        .is_some_and(|n| n <= MAX_SMALL_BODY);
    let permit = Arc::clone(permits).try_acquire_owned().ok();
    if permit.is_none() && !is_small {
        return Ok((BufferedBody::Partial(Bytes::new(), body), None));
    }
    let permit = permit.filter(|_| !is_small);
    match time::timeout_at(deadline, read_start(body)).await {
        Ok(Ok(buffered)) => Ok((buffered, permit)),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

/// Builds the request to the upstream, with the time `remaining` until the deadline as header.
#[must_use]
pub fn upstream_request(
    parts: &request::Parts,
    body: connection::RequestBody,
    remaining: clock::Millis,
) -> Request<connection::RequestBody> {
    let mut request = Request::new(body);
    *request.method_mut() = parts.method.clone();
    *request.uri_mut() = origin_form(&parts.uri);
    *request.headers_mut() = parts.headers.clone();
    let remaining = HeaderValue::from(remaining.0);
    request
        .headers_mut()
        .insert(outcome::DEADLINE_HEADER, remaining);
    request
}

impl BufferedBody {
    /// Returns the body to send to an upstream.
    ///
    /// A complete body can be sent repeatedly; a partial one is consumed by the first call.
    #[must_use]
    pub fn upstream_body(&mut self) -> connection::RequestBody {
        match self {
            Self::Complete(bytes) => full_body(bytes.clone()),
            Self::Partial(..) => {
                let partial = std::mem::replace(self, Self::Complete(Bytes::new()));
                let Self::Partial(start, rest) = partial else {
                    return full_body(Bytes::new());
                };
                stream_body(start, rest)
            }
        }
    }

    /// Returns the complete body if it is buffered.
    #[must_use]
    pub fn complete(&self) -> Option<&Bytes> {
        match self {
            Self::Complete(bytes) => Some(bytes),
            Self::Partial(..) => None,
        }
    }
}

/// Reads a body until it is complete or longer than [`MAX_REPLAY_BODY`].
async fn read_start(mut body: Incoming) -> Result<BufferedBody, hyper::Error> {
    let mut start = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            start.extend_from_slice(&data);
        }
        if start.len() > MAX_REPLAY_BODY {
            return Ok(BufferedBody::Partial(start.freeze(), body));
        }
    }
    Ok(BufferedBody::Complete(start.freeze()))
}

fn full_body(bytes: Bytes) -> connection::RequestBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

fn stream_body(start: Bytes, rest: Incoming) -> connection::RequestBody {
    let start = futures_util::stream::iter([Ok(Frame::data(start))]);
    StreamBody::new(start.chain(BodyStream::new(rest))).boxed_unsync()
}

fn parse_millis(value: &HeaderValue) -> Option<clock::Millis> {
    value.to_str().ok()?.parse().ok().map(clock::Millis)
}

/// Returns whether the transfer coding is absent or exactly `chunked`.
fn has_known_coding(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    codings
        .next()
        .is_none_or(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"))
        && codings.next().is_none()
}

/// Returns whether a header must stay even if the Connection header lists it.
fn is_end_to_end(name: &HeaderName) -> bool {
    name == header::CONTENT_LENGTH || name == header::HOST
}

/// Reduces a request target to its path and query.
fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    let target = uri.path_and_query().map_or("/", |target| target.as_str());
    target.parse().unwrap_or_default()
}
