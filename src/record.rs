//! Records: what operators write about their services.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::clock;

/// How an agent treats the flows of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// Requests are known: classes, deadlines and outcomes apply to each.
    Http,
    /// Bytes are relayed; the flow is the unit of admission.
    Tcp,
}

/// How urgent a request is.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Goes first.
    Urgent,
    /// Goes before bulk work.
    #[default]
    Normal,
    /// Goes last and is refused first.
    Bulk,
}

/// An operator's weight for one upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Weight {
    /// The upstream's name.
    pub name: String,
    /// Factor on the measured capacity; 0 drains the upstream.
    pub weight: f64,
}

/// How requests of one method and path prefix are treated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rule {
    /// HTTP method, or `*` for each.
    pub method: String,
    /// Prefix of the path.
    pub path: String,
    /// Class of the request.
    pub class: Class,
    /// Whether the request may be run again after an unknown outcome.
    pub idempotent: bool,
    /// Whether the answer is an open feed, which holds a connection but no slot.
    pub feed: bool,
    /// Time from the request's arrival to the end of its answer.
    pub deadline: clock::Millis,
}

/// One service as it is in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// The address that callers use.
    pub address: SocketAddrV4,
    /// How flows are treated.
    pub protocol: Protocol,
    /// Weights of the upstreams, sorted by name; 1 where none is given.
    pub weights: Vec<Weight>,
    /// Rules, the first that fits counts.
    pub rules: Vec<Rule>,
    /// Deadline of requests that no rule names.
    pub deadline: clock::Millis,
}

impl Service {
    /// The operator's weight for an upstream.
    #[must_use]
    pub fn weight(&self, upstream: &str) -> f64 {
        self.weights
            .binary_search_by(|entry| entry.name.as_str().cmp(upstream))
            .map_or(1.0, |index| self.weights[index].weight)
    }

    /// The first rule for a request, if any.
    #[must_use]
    pub fn rule(&self, method: &str, path: &str) -> Option<&Rule> {
        self.rules.iter().find(|rule| {
            (rule.method == "*" || rule.method == method) && path.starts_with(&rule.path)
        })
    }
}
