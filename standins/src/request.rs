//! What a caller sends with a request, and what it makes of the answer.

use std::net::SocketAddr;

use cassiacross::clock;
use reqwest::{Method, header};

use crate::history::{self, Outcome, Safety};

/// Header with the identity of a request.
pub const ID_HEADER: &str = "x-request-id";

const ANSWER_HEADER: &str = "x-answer-bytes";
const WORK_HEADER: &str = "x-work-ms";
const SERVICE_HEADER: &str = "x-service";
const UPSTREAM_HEADER: &str = "x-upstream";
const DEADLINE_HEADER: &str = "cassiacross-deadline-ms";
const OUTCOME_HEADER: &str = "cassiacross-outcome";
const NOT_RUN: &str = "not-run";

/// A kind of request.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Name in reports.
    pub name: &'static str,
    /// The service that is asked.
    pub service: &'static str,
    /// HTTP method.
    pub method: Method,
    /// Path with query.
    pub path: &'static str,
    /// Bytes of the body.
    pub body_len: usize,
    /// Bytes of the answer's body; one line with the identity where none are asked for.
    pub answer_len: Option<usize>,
    /// Work at an upstream of speed 1.
    pub work: clock::Millis,
    /// Deadline that the caller states, if any.
    pub deadline: Option<clock::Millis>,
    /// Whether a second run does harm.
    pub safety: Safety,
}

/// A request of a kind to a service's address.
pub fn build(
    client: &reqwest::Client,
    addr: SocketAddr,
    kind: &Kind,
    id: &str,
) -> reqwest::RequestBuilder {
    let url = format!("http://{addr}{}", kind.path);
    let mut request = client
        .request(kind.method.clone(), url)
        .header(ID_HEADER, id)
        .header(WORK_HEADER, kind.work.0);
    if let Some(deadline) = kind.deadline {
        request = request.header(DEADLINE_HEADER, deadline.0);
    }
    if let Some(len) = kind.answer_len {
        request = request.header(ANSWER_HEADER, len);
    }
    if kind.body_len > 0 {
        request = request.body(vec![b'x'; kind.body_len]);
    }
    request
}

/// The outcome of an answer that is none, if its status says so.
#[must_use]
pub fn status_outcome(response: &reqwest::Response) -> Option<Outcome> {
    if response.status().is_success() {
        return None;
    }
    let not_run = text(response.headers(), OUTCOME_HEADER) == NOT_RUN;
    if not_run {
        return Some(Outcome::Refused);
    }
    Some(Outcome::Unknown(format!("status {}", response.status())))
}

/// What the head of an answer says about itself; its body is not read yet.
#[must_use]
pub fn parse_answer(response: &reqwest::Response) -> history::Answer {
    let headers = response.headers();
    history::Answer {
        id: text(headers, ID_HEADER).to_owned(),
        service: text(headers, SERVICE_HEADER).to_owned(),
        upstream: text(headers, UPSTREAM_HEADER).to_owned(),
        whole: false,
    }
}

fn text<'a>(headers: &'a header::HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Whether a body is whole: lines of the request's identity, as long as was asked for.
#[must_use]
pub fn is_complete_body(body: &[u8], id: &str, len: Option<usize>) -> bool {
    let line = format!("{id}\n");
    let expected = line.bytes().cycle().take(len.unwrap_or(line.len()));
    body.iter().copied().eq(expected)
}

/// Whether a feed's line is the one of a request and number.
#[must_use]
pub fn is_feed_line(line: &[u8], id: &str, number: u64) -> bool {
    line == format!("{id} {number}").as_bytes()
}

/// The outcome of a call that failed.
#[must_use]
pub fn failure(error: &reqwest::Error) -> Outcome {
    Outcome::Unknown(error_chain(error))
}

/// An error with its causes.
#[must_use]
pub fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        text.push_str(": ");
        text.push_str(&error.to_string());
        source = error.source();
    }
    text
}
