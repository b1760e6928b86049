//! What a caller is told about its request.

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

/// Header that says whether a request ran, where no answer does.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("cassiacross-outcome");

/// Header with the time that is left for a request, in milliseconds.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("cassiacross-deadline-ms");

/// Value of [`OUTCOME_HEADER`] for a request that certainly did not run.
pub const NOT_RUN: HeaderValue = HeaderValue::from_static("not-run");

/// Value of [`OUTCOME_HEADER`] for a request that may have run.
pub const UNKNOWN: HeaderValue = HeaderValue::from_static("unknown");

const MILLIS_PER_SECOND: u64 = 1_000;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// The upstream's answer began.
    Answered,
    /// Certainly not run: no byte reached an upstream, or the upstream says so.
    NotRun,
    /// It may have run: the upstream failed after bytes of the request were written.
    Broken,
    /// It may have run: no answer began before the deadline.
    TimedOut,
}

impl Outcome {
    /// Whether the request may be sent again.
    #[must_use]
    pub const fn may_retry(self, idempotent: bool) -> bool {
        match self {
            Self::Answered => false,
            Self::NotRun => true,
            Self::Broken | Self::TimedOut => idempotent,
        }
    }

    /// Name for metrics and logs.
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

/// Why an answer breaks off after its head was sent.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("answer broke off")]
pub struct Truncated;

/// Body of an answer to a caller.
#[derive(Debug)]
pub struct Body(Source);

#[derive(Debug)]
enum Source {
    Whole(Option<Bytes>),
    Stream(mpsc::Receiver<BodyEvent>),
}

/// A piece of an answer that arrives.
#[derive(Debug)]
pub enum BodyEvent {
    /// Data or trailers.
    Frame(Frame<Bytes>),
    /// The answer is whole.
    End,
}

impl Body {
    /// A body that is at hand.
    #[must_use]
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self(Source::Whole((!bytes.is_empty()).then_some(bytes)))
    }

    /// A body whose pieces arrive; without [`BodyEvent::End`] it breaks off.
    #[must_use]
    pub const fn stream(pieces: mpsc::Receiver<BodyEvent>) -> Self {
        Self(Source::Stream(pieces))
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
            Source::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Source::Stream(pieces) => pieces.poll_recv(cx).map(|piece| match piece {
                Some(BodyEvent::Frame(frame)) => Some(Ok(frame)),
                Some(BodyEvent::End) => None,
                None => Some(Err(Truncated)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.0 {
            Source::Whole(bytes) => bytes.is_none(),
            Source::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.0 {
            Source::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Source::Stream(_) => SizeHint::default(),
        }
    }
}

/// The answer to a request that certainly did not run.
#[must_use]
pub fn not_run(retry_after: clock::Millis) -> Response<Body> {
    let seconds = retry_after.0.div_ceil(MILLIS_PER_SECOND);
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "not run\n");
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, NOT_RUN);
    headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    response
}

/// The answer to a request that may have run.
#[must_use]
pub fn unknown(status: StatusCode) -> Response<Body> {
    let mut response = plain(status, "outcome unknown\n");
    response.headers_mut().insert(OUTCOME_HEADER, UNKNOWN);
    response
}

/// The answer to a request that is refused for its form; it did not run.
#[must_use]
pub fn rejected(status: StatusCode) -> Response<Body> {
    let mut response = plain(status, "rejected\n");
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, NOT_RUN);
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::full(text));
    *response.status_mut() = status;
    response
}
