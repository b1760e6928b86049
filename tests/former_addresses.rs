//! Former addresses of moved services.

use cassiacross::{former_addresses, record};
use serde_json::{Value, json};
use yare::parameterized;

fn stored(address: &str, former: &Value) -> Value {
    json!({ "schema": 2, "address": address, "former": former })
}

#[parameterized(
    same = { json!({"address": "10.0.0.1:80"}), json!({"address": "10.0.0.1:80"}), Value::Null },
    moved = {
        json!({"address": "10.0.0.1:80"}), json!({"address": "10.0.0.2:80"}),
        json!(["10.0.0.1:80"])
    },
    moved_again = {
        stored("10.0.0.2:80", &json!(["10.0.0.1:80"])), json!({"address": "10.0.0.3:80"}),
        json!(["10.0.0.1:80", "10.0.0.2:80"])
    },
    moved_back = {
        stored("10.0.0.2:80", &json!(["10.0.0.1:80"])), json!({"address": "10.0.0.1:80"}),
        json!(["10.0.0.2:80"])
    },
    given_list = {
        stored("10.0.0.2:80", &json!(["10.0.0.1:80"])), stored("10.0.0.2:80", &json!([])),
        json!([])
    },
    deleted_before = { json!({"deleted": true}), json!({"address": "10.0.0.2:80"}), Value::Null },
)]
fn carry(before: Value, after: Value, expected: Value) {
    let mut after = after;
    former_addresses::carry_over(&before, &mut after);
    assert_eq!(
        after.get(former_addresses::FIELD).unwrap_or(&Value::Null),
        &expected
    );
}

#[test]
fn list_has_a_bound_and_the_oldest_goes_first() {
    let mut record = json!({ "address": "10.0.0.1:80" });
    for host in 2..20 {
        let mut next = json!({ "schema": 2, "address": format!("10.0.0.{host}:80") });
        former_addresses::carry_over(&record, &mut next);
        record = next;
    }
    let former = record[former_addresses::FIELD]
        .as_array()
        .expect("there is a list");
    assert_eq!(former.len(), former_addresses::MAX_LEN);
    assert_eq!(former.last(), Some(&json!("10.0.0.18:80")));
    let parsed = record::parse("ledger", &record).expect("the record has no faults");
    assert!(matches!(parsed, record::Document::Service(_)));
}

#[test]
fn too_long_list_is_a_fault() {
    let former = vec!["10.0.0.1:80"; former_addresses::MAX_LEN + 1];
    let record = stored("10.0.0.2:80", &json!(former));
    assert!(matches!(
        record::parse("ledger", &record),
        Err(record::Error::Invalid(_))
    ));
}
