//! Drains single upstreams by an edit of the stored record.
//!
//! The weight that an upstream had is kept in the record under `drained`, so
//! that it comes back with the upstream. All other fields stay as they are.

use serde_json::{Map, Value};

use crate::record;

const DRAINED: &str = "drained";

/// Sets an upstream's weight to 0 and keeps its weight under `drained`.
pub fn drain(document: &mut Value, upstream: &str) {
    let weight = weight_of(document, upstream);
    if weight.as_f64() == Some(0.0) {
        return;
    }
    set_weight(document, upstream, Value::from(0));
    let Some(fields) = document.as_object_mut() else {
        return;
    };
    let drained = fields
        .entry(DRAINED)
        .or_insert_with(|| Value::Object(Map::new()));
    if let Some(drained) = drained.as_object_mut() {
        drained.insert(upstream.to_owned(), weight);
    }
}

/// Gives an upstream the weight that it had before [`drain`], or 1.
pub fn undrain(document: &mut Value, upstream: &str) {
    if weight_of(document, upstream).as_f64() != Some(0.0) {
        return;
    }
    let drained = document.get_mut(DRAINED).and_then(Value::as_object_mut);
    let weight = drained.and_then(|drained| drained.remove(upstream));
    let weight = weight.filter(is_weight);
    set_weight(document, upstream, weight.unwrap_or(Value::from(1)));
}

/// Whether a document names an upstream.
#[must_use]
pub fn contains_upstream(document: &Value, upstream: &str) -> bool {
    let weights = document.get("weights").and_then(Value::as_object);
    weights.is_some_and(|weights| weights.contains_key(upstream))
        || listed(document, upstream).is_some()
}

fn weight_of(document: &Value, upstream: &str) -> Value {
    let weight = if is_listed(document) {
        listed(document, upstream).and_then(|entry| entry.get("weight"))
    } else {
        document
            .get("weights")
            .and_then(|weights| weights.get(upstream))
    };
    weight.cloned().unwrap_or(Value::from(1))
}

fn set_weight(document: &mut Value, upstream: &str, weight: Value) {
    let list = is_listed(document);
    let Some(fields) = document.as_object_mut() else {
        return;
    };
    if list {
        let entries = fields
            .entry("upstreams")
            .or_insert_with(|| Value::Array(Vec::new()));
        if let Some(entries) = entries.as_array_mut() {
            set_listed(entries, upstream, weight);
        }
    } else {
        let entries = fields
            .entry("weights")
            .or_insert_with(|| Value::Object(Map::new()));
        if let Some(entries) = entries.as_object_mut() {
            entries.insert(upstream.to_owned(), weight);
        }
    }
}

fn set_listed(entries: &mut Vec<Value>, upstream: &str, weight: Value) {
    let named = |entry: &&mut Value| entry.get("name").is_some_and(|name| name == upstream);
    match entries
        .iter_mut()
        .find(named)
        .and_then(Value::as_object_mut)
    {
        Some(entry) => {
            entry.insert("weight".to_owned(), weight);
        }
        None => entries.push(serde_json::json!({ "name": upstream, "weight": weight })),
    }
}

fn listed<'a>(document: &'a Value, upstream: &str) -> Option<&'a Value> {
    let entries = document.get("upstreams").and_then(Value::as_array)?;
    let named = |entry: &&Value| entry.get("name").is_some_and(|name| name == upstream);
    entries.iter().find(named)
}

fn is_listed(document: &Value) -> bool {
    document.get("schema").and_then(Value::as_u64) != Some(1)
}

fn is_weight(value: &Value) -> bool {
    let weight = value.as_f64();
    weight.is_some_and(|weight| weight > 0.0 && weight <= record::MAX_WEIGHT)
}
