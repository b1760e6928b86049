//! Construction of callers' HTTP requests and validation of the responses.

use std::net::SocketAddr;

use cassiacross::clock;
use reqwest::{Method, header};

use crate::history::{self, Outcome, Safety};

/// Header that carries the request ID.
pub const ID_HEADER: &str = "x-request-id";

const ANSWER_LEN_HEADER: &str = "x-answer-bytes";
const WORK_HEADER: &str = "x-work-ms";
const SERVICE_HEADER: &str = "x-service";
const UPSTREAM_HEADER: &str = "x-upstream";
const DEADLINE_HEADER: &str = "cassiacross-deadline-ms";
const OUTCOME_HEADER: &str = "cassiacross-outcome";
const NOT_RUN: &str = "not-run";

/// A kind of request.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Name used in reports.
    pub name: &'static str,
    /// Name of the target service.
    pub service: &'static str,
    /// HTTP method.
    pub method: Method,
    /// Path with query string.
    pub path: &'static str,
    /// Length of the request body in bytes.
    pub body_len: usize,
    /// Requested length of the response body in bytes; `None` requests a single line with the
    /// request ID.
    pub answer_len: Option<usize>,
    /// Service time at an upstream with speed factor 1.
    pub work: clock::Millis,
    /// Deadline that the caller sends with the request.
    pub deadline: Option<clock::Millis>,
    /// Whether the request may be executed more than once.
    pub safety: Safety,
}

/// Builds a request of the given kind to the address of a service.
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
        request = request.header(ANSWER_LEN_HEADER, len);
    }
    if kind.body_len > 0 {
        request = request.body(vec![b'x'; kind.body_len]);
    }
    request
}

/// Returns the outcome of a response with an error status, or `None` for a success status.
#[must_use]
pub fn status_outcome(response: &reqwest::Response) -> Option<Outcome> {
    if response.status().is_success() {
        return None;
    }
    let not_run = header_text(response.headers(), OUTCOME_HEADER) == NOT_RUN;
    if not_run {
        return Some(Outcome::Refused);
    }
    Some(Outcome::Unknown(format!("status {}", response.status())))
}

/// Parses the identification headers of a response; `whole` is false until the body is checked.
#[must_use]
pub fn parse_answer(response: &reqwest::Response) -> history::Answer {
    let headers = response.headers();
    history::Answer {
        id: header_text(headers, ID_HEADER).to_owned(),
        service: header_text(headers, SERVICE_HEADER).to_owned(),
        upstream: header_text(headers, UPSTREAM_HEADER).to_owned(),
        whole: false,
    }
}

fn header_text<'a>(headers: &'a header::HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Returns whether a body has the requested length and consists of lines with the request ID.
#[must_use]
pub fn is_complete_body(body: &[u8], id: &str, len: Option<usize>) -> bool {
    let line = format!("{id}\n");
    let expected = line.bytes().cycle().take(len.unwrap_or(line.len()));
    body.iter().copied().eq(expected)
}

/// Returns whether a feed line (without newline) has the given request ID and line number.
#[must_use]
pub fn is_feed_line(line: &[u8], id: &str, number: u64) -> bool {
    line == format!("{id} {number}").as_bytes()
}

/// Returns the outcome of a request that failed without a complete response.
#[must_use]
pub fn failure(error: &reqwest::Error) -> Outcome {
    Outcome::Unknown(error_chain(error))
}

/// Formats an error with all its sources, separated by colons.
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
