//! Tests for the record table: the highest valid version becomes active, regardless of the
//! order in which versions are delivered.

use cassiacross::record_table;
use proptest::prelude::*;
use serde_json::{Value, json};

const NAMES: [&str; 2] = ["ledger", "sheets"];

fn valid_document(port: u64) -> Value {
    json!({"schema": 2, "address": format!("10.9.0.1:{port}")})
}

#[test]
fn invalid_versions_are_stored_but_not_activated() {
    let mut table = record_table::Table::default();
    assert_eq!(
        table.apply("ledger", 3, &valid_document(80)),
        record_table::ApplyResult::Activated
    );
    assert_eq!(
        table.apply("ledger", 5, &json!({"schema": 9})),
        record_table::ApplyResult::Rejected
    );
    assert_eq!(
        table.apply("ledger", 6, &json!({"schema": 2})),
        record_table::ApplyResult::Rejected
    );
    let status = table.statuses().next().expect("one record in the table");
    assert_eq!((status.seen, status.in_force), (6, 3));
    assert!(
        status
            .fault
            .is_some_and(|error| error.contains("address must"))
    );
    assert_eq!(table.services().len(), 1);
    assert_eq!(
        table.apply("ledger", 4, &valid_document(81)),
        record_table::ApplyResult::Activated
    );
    assert_eq!(
        table
            .service("ledger")
            .expect("active service")
            .address
            .port(),
        81
    );
}

#[test]
fn older_record_does_not_undo_a_deletion() {
    let mut table = record_table::Table::default();
    table.apply("ledger", 7, &json!({"deleted": true}));
    assert_eq!(
        table.apply("ledger", 6, &valid_document(80)),
        record_table::ApplyResult::Stale
    );
    assert_eq!(table.services(), []);
    table.apply("ledger", 8, &valid_document(80));
    assert_eq!(table.services().len(), 1);
}

#[test]
fn peers_exchange_the_versions_they_miss() {
    let mut old = record_table::Table::default();
    old.apply("ledger", 1, &valid_document(80));
    let mut new = record_table::Table::default();
    new.apply("ledger", 2, &valid_document(81));
    new.apply("ledger", 3, &json!({"schema": 9}));
    new.apply("sheets", 4, &json!({"deleted": true}));
    let missing = old.missing(&new.versions());
    assert_eq!(missing.len(), 3);
    assert_eq!(new.missing(&old.versions()), []);
    let selected: Vec<_> = new.select(&missing).collect();
    let bytes = rmp_serde::to_vec(&selected).expect("records are serialized");
    let received: Vec<record_table::VersionedRecord> =
        rmp_serde::from_slice(&bytes).expect("records are deserialized");
    for record in received {
        old.apply(&record.name, record.version, &record.document);
    }
    assert_eq!(old.digest(), new.digest());
    assert_eq!(old.missing(&new.versions()), []);
}

/// Returns a tombstone, an unsupported schema, an invalid record or a valid record.
fn document(kind: u64, version: u64) -> Value {
    match kind {
        0 => json!({"deleted": true}),
        1 => json!({"schema": 9, "address": version}),
        2 => json!({"schema": 2, "address": version}),
        _ => valid_document(version),
    }
}

/// Generates writes (index of the name, version, document) and the order of their delivery,
/// in which a write may occur several times.
fn deliveries() -> impl Strategy<Value = (Vec<(usize, u64, Value)>, Vec<usize>)> {
    let names_and_kinds = prop::collection::vec((0..NAMES.len(), 0_u64..6), 1..12);
    let writes = names_and_kinds.prop_map(|names_and_kinds| {
        let versions = (1_u64..).zip(names_and_kinds);
        versions
            .map(|(version, (name, kind))| (name, version, document(kind, version)))
            .collect::<Vec<_>>()
    });
    writes.prop_flat_map(|writes| {
        let all: Vec<_> = (0..writes.len()).collect();
        let repeats = prop::collection::vec(0..writes.len(), 0..12);
        let order = repeats
            .prop_map(move |repeats| [all.clone(), repeats].concat())
            .prop_shuffle();
        (Just(writes), order)
    })
}

proptest! {
    #[test]
    fn every_delivery_order_converges_and_never_reverts((writes, order) in deliveries()) {
        let mut expected = record_table::Table::default();
        for (name, version, document) in &writes {
            expected.apply(NAMES[*name], *version, document);
        }
        let mut table = record_table::Table::default();
        for index in order {
            let (name, version, document) = &writes[index];
            let before = NAMES.map(|name| table.active_version(name));
            table.apply(NAMES[*name], *version, document);
            let after = NAMES.map(|name| table.active_version(name));
            prop_assert!(before.iter().zip(&after).all(|(before, after)| before <= after));
        }
        prop_assert_eq!(table.digest(), expected.digest());
        prop_assert_eq!(table.services(), expected.services());
        prop_assert_eq!(table.statuses().collect::<Vec<_>>(), expected.statuses().collect::<Vec<_>>());
    }
}
