//! Tests of the settings: defaults, and errors that name the invalid setting.

use sablehaven_agent::Config;

fn valid_config() -> Config {
    let mut config = Config {
        deployment: "test".to_owned(),
        placement: crate::support::bed::placement(),
        ..Config::default()
    };
    config.subscription.relays = vec!["127.0.0.1:1".parse().expect("an address")];
    config
}

#[test]
fn the_defaults_are_valid_except_for_names_and_relays() {
    assert_eq!(valid_config().validate("agent"), Vec::new());
    let errors = Config::default().validate("agent");
    let keys: Vec<_> = errors.iter().map(|error| error.key.as_str()).collect();
    let expected = [
        "agent.deployment",
        "agent.placement.region",
        "agent.placement.zone",
        "agent.subscription.relays",
    ];
    assert_eq!(keys, expected);
}

#[test]
fn an_error_names_the_setting_and_its_range() {
    let mut config = valid_config();
    config.limits.attempts_per_sub_request = 0;
    config.timing.issue_age_limit_ms = 1;
    let errors = config.validate("agent");
    let texts: Vec<_> = errors.iter().map(ToString::to_string).collect();
    assert_eq!(
        texts,
        [
            "setting 'agent.limits.attempts_per_sub_request' is 0, allowed is 1 to 10",
            "setting 'agent.timing.issue_age_limit_ms' is 1, allowed is 1000 to 3600000",
        ]
    );
}
