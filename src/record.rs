//! Service records: the configuration that operators write for each service.
//!
//! A record is a JSON object with a `schema` number. Schema 1 has `weights` (a map
//! from upstream name to weight) and the lists `urgent` and `bulk` of
//! `"METHOD /path"` entries; schema 2 has `upstreams` and `rules`. Both are parsed
//! into a [`Service`]. Unknown fields are ignored. A deleted record is stored as
//! the tombstone `{"deleted": true}`.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::{clock, former_addresses, validation};

/// The newest record schema that this program supports.
pub const LATEST_SCHEMA: u64 = 2;

/// Maximum length of a record, in bytes of compact JSON.
pub const MAX_LEN: usize = 64 * 1_024;

/// Maximum weight of an upstream.
pub const MAX_WEIGHT: f64 = 1_000.0;

const MAX_UPSTREAMS: usize = 1_024;
const MAX_RULES: usize = 256;
const MAX_NAME_LEN: usize = 64;
const MAX_METHOD_LEN: usize = 16;
const MAX_PATH_LEN: usize = 256;
const DEFAULT_DEADLINE: clock::Millis = clock::Millis(10_000);
const MAX_DEADLINE: clock::Millis = clock::Millis(600_000);
const IDEMPOTENT_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// The reason why a record was rejected.
#[derive(Debug, Error)]
pub enum Error {
    /// The schema is newer than [`LATEST_SCHEMA`].
    #[error("record has schema {0}; this program supports schemas up to {LATEST_SCHEMA}")]
    UnsupportedSchema(u64),
    /// The record is longer than [`MAX_LEN`] bytes.
    #[error("record is {0} bytes long; the limit is {MAX_LEN}")]
    TooLong(usize),
    /// The name is not a valid record name.
    #[error(
        "invalid name {0:?}: use 1 to 64 ASCII letters, digits, '-', '_' or '.', starting with a letter or digit"
    )]
    InvalidName(String),
    /// Fields are missing or invalid.
    #[error("record is invalid:{}", validation::format_errors(.0))]
    Invalid(Vec<validation::FieldError>),
}

/// The parsed content of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Document {
    /// Configuration of the service.
    Service(Service),
    /// Tombstone of a deleted service.
    Deleted,
}

/// The protocol by which an agent handles the flows of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// Flows are parsed as HTTP; each request has its own class, deadline and outcome.
    Http,
    /// Bytes are relayed unparsed; each flow is admitted as a whole.
    Tcp,
}

/// Priority class of a request.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Admitted before all other classes.
    Urgent,
    /// Admitted before bulk requests.
    #[default]
    Normal,
    /// Admitted last and shed first.
    Bulk,
}

/// Operator-defined weight of one upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Weight {
    /// Upstream name.
    pub name: String,
    /// Multiplier for the measured capacity, 0 to [`MAX_WEIGHT`]; 0 drains the upstream.
    pub weight: f64,
}

/// Handling of the requests with one method and path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rule {
    /// HTTP method, or `*` for any.
    pub method: String,
    /// Path prefix.
    pub path: String,
    /// Priority class of the request.
    pub class: Class,
    /// Whether the request may be retried after an unknown outcome.
    pub idempotent: bool,
    /// Whether the response is a long-lived stream, which occupies a connection but
    /// no admission slot.
    pub feed: bool,
    /// Maximum time from the arrival of the request to the end of its response.
    pub deadline: clock::Millis,
}

/// Configuration of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Service name.
    pub name: String,
    /// The virtual address that callers connect to.
    pub address: SocketAddrV4,
    /// Protocol of the flows.
    pub protocol: Protocol,
    /// Weights of the upstreams, sorted by name; an upstream without an entry has weight 1.
    pub weights: Vec<Weight>,
    /// Request rules; the first match applies.
    pub rules: Vec<Rule>,
    /// Deadline of requests that match no rule.
    pub deadline: clock::Millis,
    /// Previous addresses that established flows still use, see [`crate::former_addresses`].
    #[serde(default)]
    pub former: Vec<SocketAddrV4>,
}

impl Service {
    /// Returns the operator-defined weight of an upstream, 1 by default.
    #[must_use]
    pub fn weight(&self, upstream: &str) -> f64 {
        self.weights
            .binary_search_by(|entry| entry.name.as_str().cmp(upstream))
            .map_or(1.0, |index| self.weights[index].weight)
    }

    /// Returns the first rule that matches a request.
    #[must_use]
    pub fn rule(&self, method: &str, path: &str) -> Option<&Rule> {
        self.rules.iter().find(|rule| {
            (rule.method == "*" || rule.method == method) && path.starts_with(&rule.path)
        })
    }
}

/// Returns whether `name` is valid as the name of a record, service or upstream.
#[must_use]
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    name.len() <= MAX_NAME_LEN
        && name.bytes().all(is_allowed)
        && name
            .bytes()
            .next()
            .is_some_and(|byte| byte.is_ascii_alphanumeric())
}

/// Parses and validates the record `name`.
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
    parse_service(name, schema, document)
        .map(Document::Service)
        .map_err(Error::Invalid)
}

/// Returns whether a document is a tombstone.
#[must_use]
pub fn is_deleted(document: &Value) -> bool {
    document.get("deleted") == Some(&Value::Bool(true))
}

/// Returns the tombstone, which replaces the document of a deleted record.
#[must_use]
pub fn tombstone() -> Value {
    serde_json::json!({ "deleted": true })
}

fn parse_service(
    name: &str,
    schema: Option<u64>,
    document: &Value,
) -> Result<Service, Vec<validation::FieldError>> {
    let mut reader = validation::Reader::lenient(document, "");
    check_name(&mut reader, name);
    let address = reader.parse("address");
    let protocol = parse_protocol(&mut reader);
    let deadline = parse_deadline(&mut reader, DEFAULT_DEADLINE);
    let former = parse_former_addresses(&mut reader);
    let (mut weights, rules) = match schema {
        Some(1) => (
            parse_weight_map(&mut reader),
            parse_class_lists(&mut reader, deadline),
        ),
        Some(2) => (
            parse_weight_list(&mut reader),
            parse_rules(&mut reader, deadline),
        ),
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

fn parse_former_addresses(reader: &mut validation::Reader<'_>) -> Vec<SocketAddrV4> {
    let former = reader.parse_list(former_addresses::FIELD);
    if former.len() > former_addresses::MAX_LEN {
        let message = format!("must have at most {} addresses", former_addresses::MAX_LEN);
        reader.add_error(former_addresses::FIELD, &message);
    }
    former
}

fn check_name(reader: &mut validation::Reader<'_>, name: &str) {
    if reader.value("name").is_some_and(|value| value != name) {
        reader.add_error("name", &format!("must be {name:?} or absent"));
    }
}

/// Adds an error for each name that occurs twice in `weights`, which are sorted by name.
fn check_unique(reader: &mut validation::Reader<'_>, weights: &[Weight]) {
    let pairs = weights.windows(2);
    for pair in pairs.filter(|pair| pair[0].name == pair[1].name) {
        reader.add_error(
            "upstreams",
            &format!("contains the name {:?} twice", pair[0].name),
        );
    }
}

fn parse_protocol(reader: &mut validation::Reader<'_>) -> Option<Protocol> {
    match reader.value("protocol").map(Value::as_str) {
        None | Some(Some("http")) => Some(Protocol::Http),
        Some(Some("tcp")) => Some(Protocol::Tcp),
        Some(_) => {
            reader.add_error("protocol", "must be \"http\" or \"tcp\"");
            None
        }
    }
}

fn parse_deadline(reader: &mut validation::Reader<'_>, default: clock::Millis) -> clock::Millis {
    clock::Millis(reader.integer("deadline_ms", 1..=MAX_DEADLINE.0, default.0))
}

fn parse_weight_map(reader: &mut validation::Reader<'_>) -> Vec<Weight> {
    let Some(value) = reader.value("weights") else {
        return Vec::new();
    };
    let Some(entries) = value.as_object().filter(|map| map.len() <= MAX_UPSTREAMS) else {
        let message =
            format!("must be an object that maps at most {MAX_UPSTREAMS} names to weights");
        reader.add_error("weights", &message);
        return Vec::new();
    };
    let mut weights = Vec::with_capacity(entries.len());
    for (name, value) in entries {
        let path = format!("weights.{name}");
        if !is_valid_name(name) {
            reader.add_error(&path, "must be a valid upstream name");
        }
        weights.extend(parse_weight(reader, &path, name, Some(value)));
    }
    weights
}

fn parse_weight_list(reader: &mut validation::Reader<'_>) -> Vec<Weight> {
    let items = reader.items("upstreams", MAX_UPSTREAMS);
    let mut weights = Vec::with_capacity(items.len());
    for (path, item) in items {
        let mut entry = validation::Reader::lenient(item, &path);
        let name = entry.value("name").and_then(Value::as_str);
        let name = name.filter(|name| is_valid_name(name));
        if name.is_none() {
            entry.add_error("name", "must be a valid upstream name");
        }
        let value = entry.value("weight");
        weights.extend(parse_weight(
            &mut entry,
            "weight",
            name.unwrap_or_default(),
            value,
        ));
        reader.merge_errors(entry);
    }
    weights
}

fn parse_weight(
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

fn parse_class_lists(reader: &mut validation::Reader<'_>, deadline: clock::Millis) -> Vec<Rule> {
    let mut rules = Vec::new();
    for (list, class) in [("urgent", Class::Urgent), ("bulk", Class::Bulk)] {
        for (path, item) in reader.items(list, MAX_RULES) {
            let parts = item.as_str().and_then(|text| text.split_once(' '));
            let parts =
                parts.filter(|(method, path)| is_valid_method(method) && is_valid_path(path));
            match parts {
                Some((method, path)) => rules.push(class_rule(method, path, class, deadline)),
                None => reader.add_error(
                    &path,
                    "must be a method and a path, such as \"POST /pickups\"",
                ),
            }
        }
    }
    rules
}

fn class_rule(method: &str, path: &str, class: Class, deadline: clock::Millis) -> Rule {
    Rule {
        method: method.to_owned(),
        path: path.to_owned(),
        class,
        idempotent: is_idempotent(method),
        feed: false,
        deadline,
    }
}

fn parse_rules(reader: &mut validation::Reader<'_>, default: clock::Millis) -> Vec<Rule> {
    let items = reader.items("rules", MAX_RULES);
    let mut rules = Vec::with_capacity(items.len());
    for (path, item) in items {
        let mut entry = validation::Reader::lenient(item, &path);
        rules.extend(parse_rule(&mut entry, default));
        reader.merge_errors(entry);
    }
    rules
}

fn parse_rule(reader: &mut validation::Reader<'_>, default: clock::Millis) -> Option<Rule> {
    let method = reader.value("method").map_or(Some("*"), Value::as_str);
    let method = method.filter(|method| is_valid_method(method));
    if method.is_none() {
        reader.add_error("method", "must be a method in upper case, or \"*\"");
    }
    let path = reader.value("path").and_then(Value::as_str);
    let path = path.filter(|path| is_valid_path(path));
    if path.is_none() {
        reader.add_error("path", "must be a path that starts with '/'");
    }
    let class = parse_class(reader);
    let idempotent = reader.boolean("idempotent", method.is_some_and(is_idempotent));
    let feed = reader.boolean("feed", false);
    let deadline = parse_deadline(reader, default);
    Some(Rule {
        method: method?.to_owned(),
        path: path?.to_owned(),
        class: class?,
        idempotent,
        feed,
        deadline,
    })
}

fn parse_class(reader: &mut validation::Reader<'_>) -> Option<Class> {
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

fn is_valid_method(method: &str) -> bool {
    let is_uppercase = method.bytes().all(|byte| byte.is_ascii_uppercase());
    method == "*" || (is_uppercase && (1..=MAX_METHOD_LEN).contains(&method.len()))
}

fn is_valid_path(path: &str) -> bool {
    let is_graphic = path.bytes().all(|byte| byte.is_ascii_graphic());
    path.starts_with('/') && path.len() <= MAX_PATH_LEN && is_graphic
}

fn is_idempotent(method: &str) -> bool {
    IDEMPOTENT_METHODS.contains(&method)
}
