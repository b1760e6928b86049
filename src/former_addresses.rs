//! Former addresses of services.
//!
//! Flows to an address live on after a record has moved its service to another
//! one. The record itself names the former addresses, so that each process knows
//! them, however late it starts.

use std::net::SocketAddrV4;

use serde_json::Value;

/// Former addresses that a record keeps; the oldest goes first.
pub const MAX_LEN: usize = 8;

/// Field of the record that holds them, oldest first.
pub const FIELD: &str = "former";

const ADDRESS: &str = "address";

/// Carries the former addresses of a record over into the one that replaces it.
///
/// A list that the new record has of its own takes the place of the old one.
pub fn carry_over(before: &Value, after: &mut Value) {
    let Some(new) = address(after.get(ADDRESS)) else {
        return;
    };
    let kept = after.get(FIELD).or_else(|| before.get(FIELD));
    let mut former: Vec<_> = kept.into_iter().flat_map(listed).collect();
    former.extend(address(before.get(ADDRESS)));
    former.retain(|address| *address != new);
    dedup_oldest(&mut former);
    former.drain(..former.len().saturating_sub(MAX_LEN));
    let fields = after.as_object_mut().filter(|_| !former.is_empty());
    if let Some(fields) = fields {
        let texts: Vec<_> = former.iter().map(SocketAddrV4::to_string).collect();
        fields.insert(FIELD.to_owned(), Value::from(texts));
    }
}

fn listed(value: &Value) -> impl Iterator<Item = SocketAddrV4> {
    let items = value.as_array().into_iter().flatten();
    items.filter_map(|item| address(Some(item)))
}

fn address(value: Option<&Value>) -> Option<SocketAddrV4> {
    value?.as_str()?.parse().ok()
}

/// Keeps the newest place of an address that stands more than once.
fn dedup_oldest(former: &mut Vec<SocketAddrV4>) {
    let all = former.clone();
    let mut index = 0;
    former.retain(|address| {
        index += 1;
        !all[index..].contains(address)
    });
}
