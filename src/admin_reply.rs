//! Answers of the administration API, as balancers write and the tool reads them.

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

/// Where a record was read.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// From the platform.
    Platform,
    /// From the balancer, while the platform is not available.
    Memory,
}

/// A record as it is stored.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredRecord {
    /// The record's name.
    pub name: String,
    /// Its version.
    pub version: u64,
    /// The record as it was written.
    pub record: Value,
    /// Where it was read.
    pub source: Source,
}

/// What came of a change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// It has taken effect.
    Accepted,
    /// Nothing was written.
    Conflict,
    /// Nobody can say yet.
    Undecided,
}

/// The answer to a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeResult {
    /// What came of it.
    pub outcome: Outcome,
    /// The record's version, where it is known.
    pub version: Option<u64>,
    /// The change's id.
    pub change: String,
}

/// The record that an upstream belongs to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamRecord {
    /// The upstream's name.
    pub upstream: String,
    /// The record's name.
    pub record: String,
}

/// A record without faults.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ValidRecord {
    /// The record's name.
    pub name: String,
}

/// Why a call was refused.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// The reason.
    pub error: String,
    /// Faults of the record, if it has some.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<String>,
    /// The version that deleted the record, if one did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
}

/// A status and a body.
#[derive(Clone, Debug, Error)]
#[error("{status} {body}")]
pub struct Reply {
    status: StatusCode,
    body: Value,
}

impl Reply {
    /// A success with a body.
    ///
    /// # Panics
    ///
    /// Never: the bodies are plain values.
    #[must_use]
    pub fn ok(body: &impl Serialize) -> Self {
        Self::new(StatusCode::OK, body)
    }

    /// A refusal for a reason.
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

    /// A refusal for the faults of a record.
    #[must_use]
    pub fn invalid_record(error: &record::Error) -> Self {
        let faults = match error {
            record::Error::Invalid(faults) => faults.iter().map(ToString::to_string).collect(),
            other => vec![other.to_string()],
        };
        let refusal = ErrorBody {
            error: "the record has faults".to_owned(),
            faults,
            version: None,
        };
        Self::new(StatusCode::UNPROCESSABLE_ENTITY, &refusal)
    }

    /// The answer to a change.
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

    /// A stored record, or where it was deleted.
    #[must_use]
    pub fn stored_record(name: &str, version: u64, document: &Value, source: Source) -> Self {
        if record::is_deleted(document) {
            let refusal = ErrorBody {
                error: "the record has been deleted".to_owned(),
                faults: Vec::new(),
                version: Some(version),
            };
            return Self::new(StatusCode::NOT_FOUND, &refusal);
        }
        Self::ok(&StoredRecord {
            name: name.to_owned(),
            version,
            record: document.clone(),
            source,
        })
    }

    /// Answers a call.
    #[must_use]
    pub fn into_response(self, state: State) -> (State, Response<Body>) {
        let body = self.body.to_string();
        let response = response::create_response(&state, self.status, mime::APPLICATION_JSON, body);
        (state, response)
    }

    fn new(status: StatusCode, body: &impl Serialize) -> Self {
        let body = serde_json::to_value(body).expect("plain values can be written");
        Self { status, body }
    }
}
