//! Responses of the simulated upstream, and the request headers that set them.

use std::io;

use bytes::Bytes;
use cassiacross::outcome;
use futures_util::{Stream, StreamExt, stream};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::{HeaderMap, Response, StatusCode, body::Frame};
use serde::Serialize;

use super::Body;

/// Returns lines with the request ID, cut to the length given by `x-answer-bytes`.
pub(super) fn body_text(headers: &HeaderMap) -> Bytes {
    let line = format!("{}\n", header_text(headers, "x-request-id"));
    let len = header_text(headers, "x-answer-bytes")
        .parse()
        .unwrap_or(line.len());
    let mut body = line.repeat(len.div_ceil(line.len()));
    body.truncate(len);
    body.into()
}

pub(super) fn shed_response() -> Response<Body> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "shed\n");
    let headers = response.headers_mut();
    headers.insert(outcome::OUTCOME_HEADER, outcome::NOT_RUN);
    response
}

pub(super) fn text_response(status: StatusCode, text: &'static str) -> Response<Body> {
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

pub(super) fn json_response(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

pub(super) fn connection_closed() -> io::Error {
    io::ErrorKind::ConnectionAborted.into()
}

/// Returns the first `len` bytes of a body, which then ends as given.
pub(super) fn truncated_body(
    text: &Bytes,
    len: usize,
    end: impl Stream<Item = io::Result<Frame<Bytes>>> + Send + 'static,
) -> Body {
    let start = text.slice(..len.min(text.len()));
    let start = stream::iter([Ok(Frame::data(start))]);
    StreamBody::new(start.chain(end)).boxed_unsync()
}
