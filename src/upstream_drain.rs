//! Drains and undrains single upstreams by editing the service record.
//!
//! The previous weight of a drained upstream is saved in the record under
//! `drained`, so that it can be restored. All other fields are unchanged.

use serde_json::{Map, Value};

use crate::record;

const DRAINED_FIELD: &str = "drained";

/// Sets the weight of an upstream to 0 and saves its previous weight under `drained`;
/// changes nothing if the weight is already 0.
pub fn drain(document: &mut Value, upstream: &str) {
    let weight = upstream_weight(document, upstream);
    if weight.as_f64() == Some(0.0) {
        return;
    }
    set_weight(document, upstream, Value::from(0));
    let Some(fields) = document.as_object_mut() else {
        return;
    };
    let drained = fields
        .entry(DRAINED_FIELD)
        .or_insert_with(|| Value::Object(Map::new()));
    if let Some(drained) = drained.as_object_mut() {
        drained.insert(upstream.to_owned(), weight);
    }
}

/// Restores the weight that an upstream had before [`drain`], or sets it to 1 if no valid
/// weight is saved; changes nothing if the weight is not 0.
pub fn undrain(document: &mut Value, upstream: &str) {
    if upstream_weight(document, upstream).as_f64() != Some(0.0) {
        return;
    }
    let drained = document
        .get_mut(DRAINED_FIELD)
        .and_then(Value::as_object_mut);
    let weight = drained.and_then(|drained| drained.remove(upstream));
    let weight = weight.filter(is_restorable_weight);
    set_weight(document, upstream, weight.unwrap_or(Value::from(1)));
}

/// Returns whether a record document contains an entry for an upstream.
#[must_use]
pub fn contains_upstream(document: &Value, upstream: &str) -> bool {
    let weights = document.get("weights").and_then(Value::as_object);
    weights.is_some_and(|weights| weights.contains_key(upstream))
        || find_entry(document, upstream).is_some()
}

fn upstream_weight(document: &Value, upstream: &str) -> Value {
    let weight = if uses_list(document) {
        find_entry(document, upstream).and_then(|entry| entry.get("weight"))
    } else {
        document
            .get("weights")
            .and_then(|weights| weights.get(upstream))
    };
    weight.cloned().unwrap_or(Value::from(1))
}

fn set_weight(document: &mut Value, upstream: &str, weight: Value) {
    let uses_list = uses_list(document);
    let Some(fields) = document.as_object_mut() else {
        return;
    };
    if uses_list {
        let entries = fields
            .entry("upstreams")
            .or_insert_with(|| Value::Array(Vec::new()));
        if let Some(entries) = entries.as_array_mut() {
            set_entry_weight(entries, upstream, weight);
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

fn set_entry_weight(entries: &mut Vec<Value>, upstream: &str, weight: Value) {
    let has_name = |entry: &&mut Value| entry.get("name").is_some_and(|name| name == upstream);
    match entries
        .iter_mut()
        .find(has_name)
        .and_then(Value::as_object_mut)
    {
        Some(entry) => {
            entry.insert("weight".to_owned(), weight);
        }
        None => entries.push(serde_json::json!({ "name": upstream, "weight": weight })),
    }
}

fn find_entry<'a>(document: &'a Value, upstream: &str) -> Option<&'a Value> {
    let entries = document.get("upstreams").and_then(Value::as_array)?;
    let has_name = |entry: &&Value| entry.get("name").is_some_and(|name| name == upstream);
    entries.iter().find(has_name)
}

/// Returns whether the weights are in the list `upstreams` instead of the map `weights`
/// of schema 1.
fn uses_list(document: &Value) -> bool {
    document.get("schema").and_then(Value::as_u64) != Some(1)
}

fn is_restorable_weight(value: &Value) -> bool {
    let weight = value.as_f64();
    weight.is_some_and(|weight| weight > 0.0 && weight <= record::MAX_WEIGHT)
}
