//! Previous addresses of a service, kept in its record after an address change.
//!
//! Flows that were established to a previous address continue after the service
//! gets a new one. The list is part of the record, so that a process that starts
//! after the change also routes these flows.

use std::net::SocketAddrV4;

use serde_json::Value;

/// Maximum number of addresses in the list; the oldest is dropped first.
pub const MAX_LEN: usize = 8;

/// Name of the record field that holds the list, oldest address first.
pub const FIELD: &str = "former";

const ADDRESS_FIELD: &str = "address";

/// Copies the former addresses of a record to its replacement, and appends the
/// old address if the replacement changes it.
///
/// A list in the new record replaces the list of the old one.
pub fn carry_over(before: &Value, after: &mut Value) {
    let Some(new) = parse_address(after.get(ADDRESS_FIELD)) else {
        return;
    };
    let kept = after.get(FIELD).or_else(|| before.get(FIELD));
    let mut former: Vec<_> = kept.into_iter().flat_map(parse_list).collect();
    former.extend(parse_address(before.get(ADDRESS_FIELD)));
    former.retain(|address| *address != new);
    remove_earlier_duplicates(&mut former);
    former.drain(..former.len().saturating_sub(MAX_LEN));
    let fields = after.as_object_mut().filter(|_| !former.is_empty());
    if let Some(fields) = fields {
        let texts: Vec<_> = former.iter().map(SocketAddrV4::to_string).collect();
        fields.insert(FIELD.to_owned(), Value::from(texts));
    }
}

fn parse_list(value: &Value) -> impl Iterator<Item = SocketAddrV4> {
    let items = value.as_array().into_iter().flatten();
    items.filter_map(|item| parse_address(Some(item)))
}

fn parse_address(value: Option<&Value>) -> Option<SocketAddrV4> {
    value?.as_str()?.parse().ok()
}

/// Removes all but the last occurrence of each address.
fn remove_earlier_duplicates(former: &mut Vec<SocketAddrV4>) {
    let all = former.clone();
    let mut index = 0;
    former.retain(|address| {
        index += 1;
        !all[index..].contains(address)
    });
}
