//! Tests of the validation of settings: each error names the key of the invalid setting.

use sablehaven_subscription::Config;

#[test]
fn validate_reports_each_setting_out_of_range() {
    let config = Config {
        lease_wait_ms: 0,
        retry_maximum_ms: 1,
        ..Config::default()
    };
    let errors = config.validate("agent.subscription");
    let keys: Vec<_> = errors.iter().map(|error| error.key.as_str()).collect();
    assert_eq!(
        keys,
        [
            "agent.subscription.relays",
            "agent.subscription.lease_wait_ms",
            "agent.subscription.retry_maximum_ms"
        ]
    );
}

#[test]
fn the_defaults_are_valid_once_relays_are_set() {
    let config = Config {
        relays: vec!["127.0.0.1:7000".parse().expect("address")],
        ..Config::default()
    };
    assert!(config.validate("agent.subscription").is_empty());
}
