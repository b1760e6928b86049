//! Tests for parsing and validating service records of both schemas, and for draining
//! upstreams.

use cassiacross::{record, upstream_drain};
use proptest::prelude::*;
use serde_json::{Value, json};
use yare::parameterized;

fn valid_document(schema: u64) -> Value {
    let mut document = json!({"schema": schema, "address": "10.9.0.1:80", "deadline_ms": 2_000});
    let extra = match schema {
        1 => json!({
            "weights": {"ledger-2": 2, "ledger-1": 0.5},
            "urgent": ["POST /pickups"], "bulk": ["GET /sheets"], "owner": "depot",
        }),
        _ => json!({
            "upstreams": [{"name": "ledger-2", "weight": 2}, {"name": "ledger-1", "weight": 0.5}],
            "rules": [
                {"method": "POST", "path": "/pickups", "class": "urgent", "note": "by stop"},
                {"method": "GET", "path": "/sheets", "class": "bulk"},
            ],
        }),
    };
    merge(&mut document, &extra);
    document
}

fn merge(document: &mut Value, extra: &Value) {
    for (name, value) in extra.as_object().expect("extra is an object") {
        document[name] = value.clone();
    }
}

#[parameterized(
    schema_1 = { 1 },
    schema_2 = { 2 },
)]
fn both_schemas_parse_to_the_same_service(schema: u64) {
    let document = record::parse("ledger", &valid_document(schema)).expect("valid record");
    let record::Document::Service(service) = document else {
        panic!("{document:?} is not a service");
    };
    assert!((service.weight("ledger-1") - 0.5).abs() < f64::EPSILON);
    assert!((service.weight("ledger-2") - 2.0).abs() < f64::EPSILON);
    let pickup = service
        .rule("POST", "/pickups/7")
        .expect("rule for pickups");
    assert_eq!(
        (pickup.class, pickup.idempotent),
        (record::Class::Urgent, false)
    );
    let sheet = service.rule("GET", "/sheets/7").expect("rule for sheets");
    assert_eq!((sheet.class, sheet.idempotent), (record::Class::Bulk, true));
    assert_eq!((service.deadline.0, pickup.deadline.0), (2_000, 2_000));
}

#[parameterized(
    invalid_address = { json!({"address": "host:80"}), &["address must"] },
    unknown_protocol = { json!({"protocol": "udp"}), &["protocol must"] },
    deadline_out_of_range = { json!({"deadline_ms": 0}), &["deadline_ms must be an integer from 1"] },
    schema_out_of_range = { json!({"schema": 0}), &["schema must"] },
    mismatched_name = { json!({"name": "sheets"}), &["name must be \"ledger\""] },
    negative_weight = { json!({"upstreams": [{"name": "a", "weight": -1}]}), &["upstreams[0].weight must"] },
    weight_above_maximum = { json!({"upstreams": [{"name": "a", "weight": 1_001}]}), &["upstreams[0].weight must"] },
    duplicate_upstream = { json!({"upstreams": [{"name": "a"}, {"name": "a"}]}), &["\"a\" twice"] },
    missing_upstream_name = { json!({"upstreams": [{}]}), &["upstreams[0].name must"] },
    upstreams_not_a_list = { json!({"upstreams": {}}), &["upstreams must be a list"] },
    invalid_rule = { json!({"rules": [{"method": "get", "path": "x", "class": 1, "feed": 0}]}),
        &["rules[0].method", "rules[0].path", "rules[0].class", "rules[0].feed"] },
    several_fields = { json!({"address": 1, "rules": [7], "upstreams": 7}),
        &["address", "rules[0] must be an object", "upstreams must"] },
    invalid_schema_1_fields = { json!({"schema": 1, "urgent": ["/pickups"], "weights": {"a": 1_001}}),
        &["urgent[0] must", "weights.a must"] },
)]
fn all_field_errors_are_reported(extra: Value, expected: &[&str]) {
    let mut document = valid_document(2);
    merge(&mut document, &extra);
    let error = record::parse("ledger", &document).expect_err("invalid record");
    let message = error.to_string();
    for part in expected {
        assert!(
            message.contains(part),
            "{part:?} is not in the error message {message:?}"
        );
    }
}

#[parameterized(
    empty = { "" },
    dots = { ".." },
    slash = { "a/b" },
    too_long = { &"a".repeat(65) },
)]
fn invalid_name_is_rejected(name: &str) {
    assert!(matches!(
        record::parse(name, &valid_document(2)),
        Err(record::Error::InvalidName(_))
    ));
}

#[test]
fn newer_schema_is_rejected_as_unsupported() {
    let document = json!({"schema": 3, "address": {"shape": "unknown"}});
    assert!(matches!(
        record::parse("ledger", &document),
        Err(record::Error::UnsupportedSchema(3))
    ));
}

#[test]
fn too_long_record_is_rejected() {
    let mut document = valid_document(2);
    document["note"] = json!("x".repeat(record::MAX_LEN));
    assert!(matches!(
        record::parse("ledger", &document),
        Err(record::Error::TooLong(_))
    ));
}

#[parameterized(
    schema_1 = { 1 },
    schema_2 = { 2 },
)]
fn drain_and_undrain_keep_other_fields(schema: u64) {
    let before = valid_document(schema);
    let mut document = before.clone();
    for upstream in ["ledger-2", "ledger-2", "ledger-9"] {
        upstream_drain::drain(&mut document, upstream);
    }
    assert_eq!(weights(&document), ["0.5", "0", "0"]);
    for upstream in ["ledger-2", "ledger-9"] {
        upstream_drain::undrain(&mut document, upstream);
    }
    assert_eq!(weights(&document), ["0.5", "2", "1"]);
    assert_eq!(document["owner"], before["owner"]);
    assert_eq!(document["rules"], before["rules"]);
}

fn weights(document: &Value) -> [String; 3] {
    match record::parse("ledger", document).expect("record is still valid") {
        record::Document::Service(service) => {
            ["ledger-1", "ledger-2", "ledger-9"].map(|name| service.weight(name).to_string())
        }
        record::Document::Deleted => panic!("record is deleted"),
    }
}

fn any_json() -> impl Strategy<Value = Value> {
    let word = prop::sample::select(vec![
        "schema",
        "address",
        "weights",
        "upstreams",
        "rules",
        "urgent",
        "name",
        "weight",
        "method",
        "path",
        "class",
        "deadline_ms",
        "drained",
        "deleted",
        "POST /x",
        "10.0.0.1:80",
    ]);
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        (0_u64..4).prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        word.clone().prop_map(Value::from),
        ".{0,8}".prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 48, 6, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            prop::collection::vec((word.clone(), inner), 0..8).prop_map(|fields| fields
                .into_iter()
                .map(|(name, value)| (name.to_owned(), value))
                .collect()),
        ]
    })
}

proptest! {
    #[test]
    fn arbitrary_json_does_not_cause_a_panic(mut document in any_json()) {
        let parsed = record::parse("ledger", &document);
        upstream_drain::drain(&mut document, "ledger-1");
        upstream_drain::undrain(&mut document, "ledger-1");
        if parsed.is_ok() {
            prop_assert!(record::parse("ledger", &document).is_ok());
        }
    }
}
