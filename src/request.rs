//! Requests of callers: checks, rules, headers and bodies.

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

/// The largest body that is kept to be sent again, in bytes.
pub const MAX_REPLAY_BODY: usize = 64 * 1024;

/// The largest body that is kept whatever other requests keep, in bytes.
const SMALL_BODY: u64 = 4 * 1024;

/// The longest deadline.
const MAX_DEADLINE: clock::Millis = clock::Millis(24 * 60 * 60 * 1_000);

/// Headers that belong to one connection (RFC 9110, section 7.6.1).
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

/// How one request is treated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// How urgent it is.
    pub class: record::Class,
    /// Whether it may be run again after an unknown outcome.
    pub idempotent: bool,
    /// Whether its answer is an open feed.
    pub feed: bool,
    /// When its answer must have ended.
    pub deadline: clock::Millis,
}

/// A request that can be sent again.
#[derive(Clone, Debug)]
pub struct Replay {
    /// Method, target and headers.
    pub parts: request::Parts,
    /// The whole body.
    pub body: Bytes,
    /// How it is treated.
    pub policy: Policy,
}

/// Body of a caller's request.
#[derive(Debug)]
pub enum BufferedBody {
    /// Read to its end.
    Complete(Bytes),
    /// Longer than [`MAX_REPLAY_BODY`]: what was read, and the rest.
    Partial(Bytes, Incoming),
}

/// How a request is treated by the rules in force.
#[must_use]
pub fn policy(service: &record::Service, parts: &request::Parts, now: clock::Millis) -> Policy {
    let rule = service.rule(parts.method.as_str(), parts.uri.path());
    let limit = cap_deadline(rule.map_or(service.deadline, |rule| rule.deadline));
    let asked = parts.headers.get(outcome::DEADLINE_HEADER).and_then(millis);
    let left = asked.map_or(limit, |asked| asked.min(limit));
    Policy {
        class: rule.map_or(record::Class::default(), |rule| rule.class),
        idempotent: rule.map_or(parts.method.is_safe(), |rule| rule.idempotent),
        feed: rule.is_some_and(|rule| rule.feed),
        deadline: now + left,
    }
}

/// A deadline of a record within what clocks can add.
#[must_use]
pub fn cap_deadline(deadline: clock::Millis) -> clock::Millis {
    deadline.min(MAX_DEADLINE)
}

/// Refuses what could be framed in two ways or leaves HTTP.
pub fn validate(parts: &request::Parts) -> Result<(), StatusCode> {
    let headers = &parts.headers;
    if parts.method == Method::CONNECT {
        return Err(StatusCode::NOT_IMPLEMENTED);
    }
    let is_coded = headers.contains_key(header::TRANSFER_ENCODING);
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    if lengths > 1 || (is_coded && lengths > 0) || !has_known_coding(headers) {
        return Err(StatusCode::BAD_REQUEST);
    }
    let hosts = headers.get_all(header::HOST).iter().count();
    if hosts > 1 || (hosts == 0 && parts.version == Version::HTTP_11) {
        return Err(StatusCode::BAD_REQUEST);
    }
    Ok(())
}

/// Removes the headers that belong to one connection.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<_> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .filter(|name| !is_framing(name))
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Reads a body until its end or until it is too long to be kept.
///
/// A body that may be large is kept only under one of the `permits`, which
/// bound the memory of all. Returns the status that the caller gets if the body
/// does not arrive.
pub async fn read_body(
    body: Incoming,
    permits: &Arc<Semaphore>,
    end: time::Instant,
) -> Result<(BufferedBody, Option<OwnedSemaphorePermit>), StatusCode> {
    let is_small = body.size_hint().upper().is_some_and(|n| n <= SMALL_BODY);
    let permit = Arc::clone(permits).try_acquire_owned().ok();
    if permit.is_none() && !is_small {
        return Ok((BufferedBody::Partial(Bytes::new(), body), None));
    }
    let permit = permit.filter(|_| !is_small);
    match time::timeout_at(end, read_start(body)).await {
        Ok(Ok(content)) => Ok((content, permit)),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

/// The request as it goes to the upstream, with the time that is left for it.
#[must_use]
pub fn upstream_request(
    parts: &request::Parts,
    body: connection::RequestBody,
    left: clock::Millis,
) -> Request<connection::RequestBody> {
    let mut request = Request::new(body);
    *request.method_mut() = parts.method.clone();
    *request.uri_mut() = origin_form(&parts.uri);
    *request.headers_mut() = parts.headers.clone();
    let left = HeaderValue::from(left.0);
    request.headers_mut().insert(outcome::DEADLINE_HEADER, left);
    request
}

impl BufferedBody {
    /// The body for an upstream, which can be taken again if it is whole.
    #[must_use]
    pub fn upstream_body(&mut self) -> connection::RequestBody {
        match self {
            Self::Complete(bytes) => whole(bytes.clone()),
            Self::Partial(..) => {
                let taken = std::mem::replace(self, Self::Complete(Bytes::new()));
                let Self::Partial(start, rest) = taken else {
                    return whole(Bytes::new());
                };
                stream(start, rest)
            }
        }
    }

    /// The whole body, if it was kept.
    #[must_use]
    pub fn complete(&self) -> Option<&Bytes> {
        match self {
            Self::Complete(bytes) => Some(bytes),
            Self::Partial(..) => None,
        }
    }
}

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

fn whole(bytes: Bytes) -> connection::RequestBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

fn stream(start: Bytes, rest: Incoming) -> connection::RequestBody {
    let start = futures_util::stream::iter([Ok(Frame::data(start))]);
    StreamBody::new(start.chain(BodyStream::new(rest))).boxed_unsync()
}

fn millis(value: &HeaderValue) -> Option<clock::Millis> {
    value.to_str().ok()?.parse().ok().map(clock::Millis)
}

fn has_known_coding(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    codings
        .next()
        .is_none_or(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"))
        && codings.next().is_none()
}

fn is_framing(name: &HeaderName) -> bool {
    name == header::CONTENT_LENGTH || name == header::HOST
}

fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    let target = uri.path_and_query().map_or("/", |target| target.as_str());
    target.parse().unwrap_or_default()
}
