//! Records: what operators write about their services.
//!
//! A record is a JSON object with a `schema`. Schema 1 has `weights` (upstream
//! to number) and the lists `urgent` and `bulk` of `"METHOD /path"`; schema 2
//! has `upstreams` and `rules`. Both turn into a [`Service`]. Fields that this
//! code does not know are let be. A deletion is a record too, `{"deleted": true}`.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::{clock, former_addresses, validation};

/// The newest schema that this code reads.
pub const LATEST_SCHEMA: u64 = 2;

/// Bytes of the longest record.
pub const MAX_LEN: usize = 64 * 1_024;

/// The largest weight of an upstream.
pub const MAX_WEIGHT: f64 = 1_000.0;

const MAX_UPSTREAMS: usize = 1_024;
const MAX_RULES: usize = 256;
const MAX_NAME_LEN: usize = 64;
const MAX_METHOD_LEN: usize = 16;
const MAX_PATH_LEN: usize = 256;
const DEFAULT_DEADLINE: clock::Millis = clock::Millis(10_000);
const MAX_DEADLINE: clock::Millis = clock::Millis(600_000);
const IDEMPOTENT: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// Why a record was refused.
#[derive(Debug, Error)]
pub enum Error {
    /// Written for a later version of this code.
    #[error("record is of schema {0}, newer than {LATEST_SCHEMA}")]
    UnsupportedSchema(u64),
    /// Longer than [`MAX_LEN`].
    #[error("record has {0} bytes, more than {MAX_LEN}")]
    TooLong(usize),
    /// The name cannot be the name of a record.
    #[error(
        "{0:?} is not a name: 1 to 64 letters, digits, '-', '_' or '.', the first a letter or digit"
    )]
    InvalidName(String),
    /// Fields are missing or wrong.
    #[error("record has faults:{}", validation::format_errors(.0))]
    Invalid(Vec<validation::FieldError>),
}

/// What a record says.
#[derive(Clone, Debug, PartialEq)]
pub enum Document {
    /// The service is to run like this.
    Service(Service),
    /// The service is gone.
    Deleted,
}

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
    /// Addresses that flows from before a move still use, see [`crate::former_addresses`].
    #[serde(default)]
    pub former: Vec<SocketAddrV4>,
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

/// Whether `name` can name a record, a service or an upstream.
#[must_use]
pub fn is_valid_name(name: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    name.len() <= MAX_NAME_LEN
        && name.bytes().all(plain)
        && name
            .bytes()
            .next()
            .is_some_and(|byte| byte.is_ascii_alphanumeric())
}

/// Reads and checks the record `name`.
pub fn parse(name: &str, document: &Value) -> Result<Document, Error> {
    if !is_valid_name(name) {
        return Err(Error::InvalidName(name.to_owned()));
    }
    let len = document.to_string().len();
    if len > MAX_LEN {
        return Err(Error::TooLong(len));
    }
    let schema = document.get("schema").and_then(Value::as_u64);
    if let Some(schema) = schema.filter(|schema| *schema > LATEST_SCHEMA) {
        return Err(Error::UnsupportedSchema(schema));
    }
    if is_deleted(document) {
        return Ok(Document::Deleted);
    }
    service(name, schema, document)
        .map(Document::Service)
        .map_err(Error::Invalid)
}

/// Whether a document deletes its record.
#[must_use]
pub fn is_deleted(document: &Value) -> bool {
    document.get("deleted") == Some(&Value::Bool(true))
}

/// The document that deletes a record.
#[must_use]
pub fn tombstone() -> Value {
    serde_json::json!({ "deleted": true })
}

fn service(
    name: &str,
    schema: Option<u64>,
    document: &Value,
) -> Result<Service, Vec<validation::FieldError>> {
    let mut reader = validation::Reader::lenient(document, "");
    check_name(&mut reader, name);
    let address = reader.parse("address");
    let protocol = protocol(&mut reader);
    let deadline = deadline(&mut reader, DEFAULT_DEADLINE);
    let former = former(&mut reader);
    let (mut weights, rules) = match schema {
        Some(1) => (
            named_weights(&mut reader),
            listed_rules(&mut reader, deadline),
        ),
        Some(2) => (upstreams(&mut reader), rules(&mut reader, deadline)),
        _ => {
            reader.add_error(
                "schema",
                &format!("must be a number from 1 to {LATEST_SCHEMA}"),
            );
            (Vec::new(), Vec::new())
        }
    };
    weights.sort_by(|a, b| a.name.cmp(&b.name));
    check_unique(&mut reader, &weights);
    reader.finish(|| {
        Some(Service {
            name: name.to_owned(),
            address: address?,
            protocol: protocol?,
            weights,
            rules,
            deadline,
            former,
        })
    })
}

fn former(reader: &mut validation::Reader<'_>) -> Vec<SocketAddrV4> {
    let former = reader.parse_list(former_addresses::FIELD);
    if former.len() > former_addresses::MAX_LEN {
        let what = format!("must be at most {} addresses", former_addresses::MAX_LEN);
        reader.add_error(former_addresses::FIELD, &what);
    }
    former
}

fn check_name(reader: &mut validation::Reader<'_>, name: &str) {
    if reader.value("name").is_some_and(|value| value != name) {
        reader.add_error("name", &format!("must be {name:?} or left out"));
    }
}

fn check_unique(reader: &mut validation::Reader<'_>, weights: &[Weight]) {
    let pairs = weights.windows(2);
    for pair in pairs.filter(|pair| pair[0].name == pair[1].name) {
        reader.add_error("upstreams", &format!("name {:?} twice", pair[0].name));
    }
}

fn protocol(reader: &mut validation::Reader<'_>) -> Option<Protocol> {
    match reader.value("protocol").map(Value::as_str) {
        None | Some(Some("http")) => Some(Protocol::Http),
        Some(Some("tcp")) => Some(Protocol::Tcp),
        Some(_) => {
            reader.add_error("protocol", "must be \"http\" or \"tcp\"");
            None
        }
    }
}

fn deadline(reader: &mut validation::Reader<'_>, default: clock::Millis) -> clock::Millis {
    clock::Millis(reader.integer("deadline_ms", 1..=MAX_DEADLINE.0, default.0))
}

fn named_weights(reader: &mut validation::Reader<'_>) -> Vec<Weight> {
    let Some(value) = reader.value("weights") else {
        return Vec::new();
    };
    let Some(entries) = value.as_object().filter(|map| map.len() <= MAX_UPSTREAMS) else {
        let what = format!("must be an object of at most {MAX_UPSTREAMS} names with weights");
        reader.add_error("weights", &what);
        return Vec::new();
    };
    let mut weights = Vec::with_capacity(entries.len());
    for (name, value) in entries {
        let path = format!("weights.{name}");
        if !is_valid_name(name) {
            reader.add_error(&path, "must be a name");
        }
        weights.extend(weight(reader, &path, name, Some(value)));
    }
    weights
}

fn upstreams(reader: &mut validation::Reader<'_>) -> Vec<Weight> {
    let items = reader.items("upstreams", MAX_UPSTREAMS);
    let mut weights = Vec::with_capacity(items.len());
    for (path, item) in items {
        let mut entry = validation::Reader::lenient(item, &path);
        let name = entry.value("name").and_then(Value::as_str);
        let name = name.filter(|name| is_valid_name(name));
        if name.is_none() {
            entry.add_error("name", "must be a name");
        }
        let value = entry.value("weight");
        weights.extend(weight(
            &mut entry,
            "weight",
            name.unwrap_or_default(),
            value,
        ));
        reader.merge_errors(entry);
    }
    weights
}

fn weight(
    reader: &mut validation::Reader<'_>,
    path: &str,
    name: &str,
    value: Option<&Value>,
) -> Option<Weight> {
    let weight = value.map_or(Some(1.0), Value::as_f64);
    let weight = weight.filter(|weight| (0.0..=MAX_WEIGHT).contains(weight));
    if weight.is_none() {
        reader.add_error(path, &format!("must be a number from 0 to {MAX_WEIGHT}"));
    }
    Some(Weight {
        name: name.to_owned(),
        weight: weight?,
    })
}

fn listed_rules(reader: &mut validation::Reader<'_>, deadline: clock::Millis) -> Vec<Rule> {
    let mut rules = Vec::new();
    for (list, class) in [("urgent", Class::Urgent), ("bulk", Class::Bulk)] {
        for (path, item) in reader.items(list, MAX_RULES) {
            let parts = item.as_str().and_then(|text| text.split_once(' '));
            let parts = parts.filter(|(method, path)| is_method(method) && is_path(path));
            match parts {
                Some((method, path)) => rules.push(plain_rule(method, path, class, deadline)),
                None => reader.add_error(
                    &path,
                    "must be a method and a path, such as \"POST /pickups\"",
                ),
            }
        }
    }
    rules
}

fn plain_rule(method: &str, path: &str, class: Class, deadline: clock::Millis) -> Rule {
    Rule {
        method: method.to_owned(),
        path: path.to_owned(),
        class,
        idempotent: is_idempotent(method),
        feed: false,
        deadline,
    }
}

fn rules(reader: &mut validation::Reader<'_>, default: clock::Millis) -> Vec<Rule> {
    let items = reader.items("rules", MAX_RULES);
    let mut rules = Vec::with_capacity(items.len());
    for (path, item) in items {
        let mut entry = validation::Reader::lenient(item, &path);
        rules.extend(rule(&mut entry, default));
        reader.merge_errors(entry);
    }
    rules
}

fn rule(reader: &mut validation::Reader<'_>, default: clock::Millis) -> Option<Rule> {
    let method = reader.value("method").map_or(Some("*"), Value::as_str);
    let method = method.filter(|method| is_method(method));
    if method.is_none() {
        reader.add_error("method", "must be a method in capitals, or \"*\"");
    }
    let path = reader.value("path").and_then(Value::as_str);
    let path = path.filter(|path| is_path(path));
    if path.is_none() {
        reader.add_error("path", "must be a path that starts with /");
    }
    let class = class(reader);
    let idempotent = reader.boolean("idempotent", method.is_some_and(is_idempotent));
    let feed = reader.boolean("feed", false);
    let deadline = deadline(reader, default);
    Some(Rule {
        method: method?.to_owned(),
        path: path?.to_owned(),
        class: class?,
        idempotent,
        feed,
        deadline,
    })
}

fn class(reader: &mut validation::Reader<'_>) -> Option<Class> {
    match reader.value("class").map(Value::as_str) {
        None | Some(Some("normal")) => Some(Class::Normal),
        Some(Some("urgent")) => Some(Class::Urgent),
        Some(Some("bulk")) => Some(Class::Bulk),
        Some(_) => {
            reader.add_error("class", "must be \"urgent\", \"normal\" or \"bulk\"");
            None
        }
    }
}

fn is_method(method: &str) -> bool {
    let capitals = method.bytes().all(|byte| byte.is_ascii_uppercase());
    method == "*" || (capitals && (1..=MAX_METHOD_LEN).contains(&method.len()))
}

fn is_path(path: &str) -> bool {
    let plain = path.bytes().all(|byte| byte.is_ascii_graphic());
    path.starts_with('/') && path.len() <= MAX_PATH_LEN && plain
}

fn is_idempotent(method: &str) -> bool {
    IDEMPOTENT.contains(&method)
}
