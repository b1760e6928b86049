//! Outcome of a request, and the responses and headers that report it to the caller.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    body::{self, Frame, SizeHint},
    header::{self, HeaderName, HeaderValue},
};
use thiserror::Error;
use tokio::sync::mpsc;

use crate::clock;

/// Response header that states whether a request ran, for responses that do not
/// come from the upstream.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("cassiacross-outcome");

/// Request header with the remaining time until the deadline, in milliseconds.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("cassiacross-deadline-ms");

/// Value of [`OUTCOME_HEADER`] for a request that certainly did not run.
pub const NOT_RUN: HeaderValue = HeaderValue::from_static("not-run");

/// Value of [`OUTCOME_HEADER`] for a request that may have run.
pub const UNKNOWN: HeaderValue = HeaderValue::from_static("unknown");

const MILLIS_PER_SECOND: u64 = 1_000;

/// Result of a request: whether it ran, as far as it is known.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// The upstream sent a response head.
    Answered,
    /// Certainly not run: no byte reached an upstream, or the upstream reported that it
    /// refused the request.
    NotRun,
    /// May have run: the upstream failed after bytes of the request were written.
    Broken,
    /// May have run: no response head arrived before the deadline.
    TimedOut,
}

impl Outcome {
    /// Returns whether the request may be retried.
    #[must_use]
    pub const fn may_retry(self, idempotent: bool) -> bool {
        match self {
            Self::Answered => false,
            Self::NotRun => true,
            Self::Broken | Self::TimedOut => idempotent,
        }
    }

    /// Returns the name used in metrics and logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::Broken => "broken",
            Self::TimedOut => "timed_out",
        }
    }
}

/// Error of a response body that ends before it is complete.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("response body was truncated")]
pub struct Truncated;

/// Body of a response to a caller.
#[derive(Debug)]
pub struct Body(Source);

#[derive(Debug)]
enum Source {
    Full(Option<Bytes>),
    Stream(mpsc::Receiver<BodyEvent>),
}

/// Event of a streamed response body.
#[derive(Debug)]
pub enum BodyEvent {
    /// Data or trailers.
    Frame(Frame<Bytes>),
    /// The body is complete.
    End,
}

impl Body {
    /// Creates a body from bytes in memory.
    #[must_use]
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self(Source::Full((!bytes.is_empty()).then_some(bytes)))
    }

    /// Creates a body that is streamed from a channel.
    ///
    /// If the channel closes before [`BodyEvent::End`], the body fails with [`Truncated`].
    #[must_use]
    pub const fn stream(events: mpsc::Receiver<BodyEvent>) -> Self {
        Self(Source::Stream(events))
    }
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut self.0 {
            Source::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Source::Stream(events) => events.poll_recv(cx).map(|event| match event {
                Some(BodyEvent::Frame(frame)) => Some(Ok(frame)),
                Some(BodyEvent::End) => None,
                None => Some(Err(Truncated)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.0 {
            Source::Full(bytes) => bytes.is_none(),
            Source::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.0 {
            Source::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Source::Stream(_) => SizeHint::default(),
        }
    }
}

/// Creates the response to a request that certainly did not run.
#[must_use]
pub fn not_run(retry_after: clock::Millis) -> Response<Body> {
    let seconds = retry_after.0.div_ceil(MILLIS_PER_SECOND);
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "not run\n");
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, NOT_RUN);
    headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    response
}

/// Creates the response to a request that may have run.
#[must_use]
pub fn unknown(status: StatusCode) -> Response<Body> {
    let mut response = plain(status, "outcome unknown\n");
    response.headers_mut().insert(OUTCOME_HEADER, UNKNOWN);
    response
}

/// Creates the response to a malformed request, which did not run.
#[must_use]
pub fn rejected(status: StatusCode) -> Response<Body> {
    let mut response = plain(status, "rejected\n");
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, NOT_RUN);
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Creates a response with a short text as body.
fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::full(text));
    *response.status_mut() = status;
    response
}
