//! Tests for parsing and validating the settings of the daemons.

use cassiacross::settings;
use yare::parameterized;

const BALANCER: &str = r#"{
    "name": "balancer-1", "domain": "valley-a",
    "packets": "127.0.0.1:0", "control": "127.0.0.1:0", "http": "127.0.0.1:0",
    "seeds": ["127.0.0.1:7000"], "platform": "http://127.0.0.1:9000/",
    "fleet_key": "0123456789abcdef", "operator_token": "0123456789abcdef"
}"#;

#[test]
fn valid_balancer_settings_are_parsed() {
    let settings = settings::parse_balancer(BALANCER).expect("valid settings");
    assert_eq!(settings.common.name, "balancer-1");
    assert_eq!(settings.common.period.0, 1_000);
    assert_eq!(settings.platform, "http://127.0.0.1:9000");
}

#[parameterized(
    unknown_field = { r#""packets""#, r#""packet""#, &["packets ", "packet is not"] },
    short_secrets = { "0123456789abcdef", "short", &["fleet_key must", "operator_token must"] },
    invalid_seed = { "127.0.0.1:7000", "host:7000", &["seeds[0] must"] },
    long_name = { "balancer-1", &"x".repeat(65), &["name must be at most 64 bytes long"] },
    several_invalid_addresses = { "127.0.0.1:0", "host", &["packets must", "control must", "http must"] },
)]
fn all_errors_of_balancer_settings_are_reported(from: &str, to: &str, expected: &[&str]) {
    let error =
        settings::parse_balancer(&BALANCER.replace(from, to)).expect_err("invalid settings");
    let message = error.to_string();
    for part in expected {
        assert!(
            message.contains(part),
            "{part:?} is not in the error message {message:?}"
        );
    }
}

const AGENT: &str = r#"{
    "name": "ledger-1", "domain": "valley-a",
    "packets": "127.0.0.1:0", "http": "127.0.0.1:0", "local": "127.0.0.1:0",
    "seeds": ["127.0.0.1:7000"],
    "fleet_key": "0123456789abcdef", "operator_token": "0123456789abcdef",
    "policy": {"hunting": false}
}"#;

#[test]
fn policies_are_enabled_by_default() {
    let policy = settings::parse_agent(AGENT).expect("valid settings").policy;
    assert!(!policy.hunting);
    assert!(policy.budget);
    assert_eq!(policy.admission, cassiacross::queue::Policy::default());
}

#[parameterized(
    unknown_policy = { "hunting", "hunts", "policy.hunts is not" },
    not_a_boolean = { "false", "0", "policy.hunting must be true or false" },
)]
fn invalid_policy_is_rejected(from: &str, to: &str, expected: &str) {
    let error = settings::parse_agent(&AGENT.replace(from, to)).expect_err("invalid settings");
    assert!(error.to_string().contains(expected), "{error}");
}
