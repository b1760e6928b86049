//! Responses of the administration API, serialized by balancers and parsed by the
//! command-line tool.

use gotham::{
    helpers::http::{Body, response},
    hyper::{Response, StatusCode},
    mime,
    state::State,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::{change, record};

/// Source of a returned record.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// Read from the platform store.
    Platform,
    /// Copy of the balancer, returned while the platform store is not available.
    Memory,
}

/// A stored record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredRecord {
    /// Record name.
    pub name: String,
    /// Record version.
    pub version: u64,
    /// JSON document as it was written.
    pub record: Value,
    /// Source of the record.
    pub source: Source,
}

/// Outcome of a change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// The change took effect.
    Accepted,
    /// Nothing was written.
    Conflict,
    /// The outcome is unknown; it can be queried with the change id.
    Undecided,
}

/// Response to a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeResult {
    /// Outcome of the change.
    pub outcome: Outcome,
    /// Record version, if known.
    pub version: Option<u64>,
    /// Change id.
    pub change: String,
}

/// The record that an upstream belongs to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamRecord {
    /// Upstream name.
    pub upstream: String,
    /// Record name.
    pub record: String,
}

/// Response to the validation of a valid record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ValidRecord {
    /// Record name.
    pub name: String,
}

/// Body of an error response.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// Error message.
    pub error: String,
    /// Validation errors of the record, if any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<String>,
    /// Version of the tombstone, if the record has been deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
}

/// HTTP status and JSON body of a response.
#[derive(Clone, Debug, Error)]
#[error("{status} {body}")]
pub struct Reply {
    status: StatusCode,
    body: Value,
}

impl Reply {
    /// Creates a success response.
    ///
    /// # Panics
    ///
    /// Never, because all bodies can be serialized to JSON.
    #[must_use]
    pub fn ok(body: &impl Serialize) -> Self {
        Self::new(StatusCode::OK, body)
    }

    /// Creates an error response with a message.
    #[must_use]
    pub fn error(status: StatusCode, error: &str) -> Self {
        let error = error.to_owned();
        Self::new(
            status,
            &ErrorBody {
                error,
                ..ErrorBody::default()
            },
        )
    }

    /// Creates an error response for an invalid record.
    #[must_use]
    pub fn invalid_record(error: &record::Error) -> Self {
        let faults = match error {
            record::Error::Invalid(errors) => errors.iter().map(ToString::to_string).collect(),
            other => vec![other.to_string()],
        };
        let body = ErrorBody {
            error: "record is invalid".to_owned(),
            faults,
            version: None,
        };
        Self::new(StatusCode::UNPROCESSABLE_ENTITY, &body)
    }

    /// Creates the response to a change.
    #[must_use]
    pub fn change_result(id: &str, outcome: change::Outcome) -> Self {
        let (status, outcome, version) = match outcome {
            change::Outcome::Accepted(version) => {
                (StatusCode::OK, Outcome::Accepted, Some(version))
            }
            change::Outcome::Conflict(version) => (
                StatusCode::PRECONDITION_FAILED,
                Outcome::Conflict,
                Some(version),
            ),
            change::Outcome::Undecided => (StatusCode::GATEWAY_TIMEOUT, Outcome::Undecided, None),
        };
        let change = id.to_owned();
        Self::new(
            status,
            &ChangeResult {
                outcome,
                version,
                change,
            },
        )
    }

    /// Creates the response with a stored record, or an error response if it has been deleted.
    #[must_use]
    pub fn stored_record(name: &str, version: u64, document: &Value, source: Source) -> Self {
        if record::is_deleted(document) {
            let body = ErrorBody {
                error: "record has been deleted".to_owned(),
                faults: Vec::new(),
                version: Some(version),
            };
            return Self::new(StatusCode::NOT_FOUND, &body);
        }
        Self::ok(&StoredRecord {
            name: name.to_owned(),
            version,
            record: document.clone(),
            source,
        })
    }

    /// Converts this reply into an HTTP response for a gotham handler.
    #[must_use]
    pub fn into_response(self, state: State) -> (State, Response<Body>) {
        let body = self.body.to_string();
        let response = response::create_response(&state, self.status, mime::APPLICATION_JSON, body);
        (state, response)
    }

    fn new(status: StatusCode, body: &impl Serialize) -> Self {
        let body = serde_json::to_value(body).expect("response body can be serialized");
        Self { status, body }
    }
}
