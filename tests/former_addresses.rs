//! Tests for the former addresses that a record keeps after an address change.

use cassiacross::{former_addresses, record};
use serde_json::{Value, json};
use yare::parameterized;

fn record_with_former(address: &str, former: &Value) -> Value {
    json!({ "schema": 2, "address": address, "former": former })
}

#[parameterized(
    same_address = { json!({"address": "10.0.0.1:80"}), json!({"address": "10.0.0.1:80"}), Value::Null },
    address_changed = {
        json!({"address": "10.0.0.1:80"}), json!({"address": "10.0.0.2:80"}),
        json!(["10.0.0.1:80"])
    },
    address_changed_again = {
        record_with_former("10.0.0.2:80", &json!(["10.0.0.1:80"])), json!({"address": "10.0.0.3:80"}),
        json!(["10.0.0.1:80", "10.0.0.2:80"])
    },
    address_changed_back = {
        record_with_former("10.0.0.2:80", &json!(["10.0.0.1:80"])), json!({"address": "10.0.0.1:80"}),
        json!(["10.0.0.2:80"])
    },
    list_in_the_new_record = {
        record_with_former("10.0.0.2:80", &json!(["10.0.0.1:80"])), record_with_former("10.0.0.2:80", &json!([])),
        json!([])
    },
    record_was_deleted = { json!({"deleted": true}), json!({"address": "10.0.0.2:80"}), Value::Null },
)]
fn former_addresses_are_carried_over(before: Value, after: Value, expected: Value) {
    let mut after = after;
    former_addresses::carry_over(&before, &mut after);
    assert_eq!(
        after.get(former_addresses::FIELD).unwrap_or(&Value::Null),
        &expected
    );
}

#[test]
fn full_list_drops_the_oldest_address() {
    let mut record = json!({ "address": "10.0.0.1:80" });
    for host in 2..20 {
        let mut next = json!({ "schema": 2, "address": format!("10.0.0.{host}:80") });
        former_addresses::carry_over(&record, &mut next);
        record = next;
    }
    let former = record[former_addresses::FIELD]
        .as_array()
        .expect("list of former addresses");
    assert_eq!(former.len(), former_addresses::MAX_LEN);
    assert_eq!(former.last(), Some(&json!("10.0.0.18:80")));
    let parsed = record::parse("ledger", &record).expect("valid record");
    assert!(matches!(parsed, record::Document::Service(_)));
}

#[test]
fn too_long_list_is_rejected() {
    let former = vec!["10.0.0.1:80"; former_addresses::MAX_LEN + 1];
    let record = record_with_former("10.0.0.2:80", &json!(former));
    assert!(matches!(
        record::parse("ledger", &record),
        Err(record::Error::Invalid(_))
    ));
}
