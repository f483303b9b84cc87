//! The binary as a person runs it: results, errors and exit codes.

use std::{
    path::Path,
    process::{Command, Output},
};

use sablehaven_cli::{ExitStatus, Settings};

fn sablehaven(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sablehaven"))
        .args(arguments)
        .output()
        .expect("the binary runs")
}

fn assert_exit(output: &Output, status: ExitStatus) {
    assert_eq!(
        output.status.code(),
        Some(i32::from(status as u8)),
        "{}{}",
        text(&output.stdout),
        text(&output.stderr)
    );
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn file(folder: &Path, name: &str, contents: &str) -> String {
    let path = folder.join(name);
    std::fs::write(&path, contents).expect("write");
    path.display().to_string()
}

#[test]
fn the_template_holds_every_default() {
    let output = sablehaven(&["settings", "template"]);
    assert_exit(&output, ExitStatus::Success);
    let template = text(&output.stdout);
    let settings: Settings = toml::from_str(&template).expect("the template parses");
    assert_eq!(settings, Settings::default());
    let parsed: toml::Table = template.parse().expect("a table");
    let defaults = toml::Table::try_from(Settings::default()).expect("a table");
    assert_eq!(parsed, defaults, "every key stands in the template");
}

#[test]
fn keys_without_a_default_stand_in_the_template_as_comments() {
    let template = text(&sablehaven(&["settings", "template"]).stdout);
    for key in [
        "connect_from",
        "http_advertise",
        "internal_advertise",
        "platform",
    ] {
        let line = format!("# {key} = ");
        let shown: Vec<&str> = template
            .lines()
            .filter(|text| text.starts_with(&line))
            .collect();
        assert!(!shown.is_empty(), "{key}");
        for line in shown {
            let value = line.trim_start_matches("# ");
            value
                .parse::<toml::Table>()
                .expect("the comment is a valid line");
        }
    }
}

#[test]
fn a_settings_file_that_is_not_valid_names_key_value_and_range() {
    let folder = tempfile::tempdir().expect("folder");
    let path = file(
        folder.path(),
        "settings.toml",
        "[relay]\ndeployment = \"trinacria\"\nlease_interval_ms = 0\n",
    );
    let output = sablehaven(&["settings", "check", &path]);
    assert_exit(&output, ExitStatus::Invalid);
    let errors = text(&output.stderr);
    assert!(
        errors.contains("'relay.lease_interval_ms' is 0, allowed is 10 to 60000"),
        "{errors}"
    );
    assert!(errors.contains("relay.control"), "{errors}");
}

#[test]
fn an_unknown_key_is_refused_with_its_line() {
    let folder = tempfile::tempdir().expect("folder");
    let path = file(folder.path(), "settings.toml", "[agent]\nhttp_listn = 1\n");
    let output = sablehaven(&["settings", "check", &path]);
    assert_exit(&output, ExitStatus::Invalid);
    let errors = text(&output.stderr);
    assert!(errors.contains("line 2"), "{errors}");
    assert!(errors.contains("http_listn"), "{errors}");
}

#[test]
fn a_valid_settings_file_is_said_to_be_so() {
    let folder = tempfile::tempdir().expect("folder");
    let contents = "[relay]\ndeployment = \"trinacria\"\ncontrol = [\"127.0.0.1:7101\"]\n\
                    [relay.placement]\nregion = \"palermo\"\nzone = \"palermo-a\"\n";
    let path = file(folder.path(), "settings.toml", contents);
    let output = sablehaven(&["settings", "check", &path]);
    assert_exit(&output, ExitStatus::Success);
    assert!(text(&output.stdout).contains("[relay] is valid"));
}

#[test]
fn a_role_refuses_settings_that_are_not_valid() {
    let output = sablehaven(&["agent", "--set", "agent.deployment=trinacria"]);
    assert_exit(&output, ExitStatus::Invalid);
    let errors = text(&output.stderr);
    assert!(errors.contains("agent.placement.region"), "{errors}");
    assert!(errors.contains("agent.subscription.relays"), "{errors}");
}

#[test]
fn an_override_that_does_not_fit_is_refused() {
    let output = sablehaven(&["relay", "--set", "lease=3"]);
    assert_exit(&output, ExitStatus::Usage);
    assert!(text(&output.stderr).contains("expected a key such as agent.http_listen"));
}

#[test]
fn schema_check_gives_file_line_and_reason() {
    let folder = tempfile::tempdir().expect("folder");
    let path = file(
        folder.path(),
        "bad.proto",
        "syntax = \"proto3\";\npackage bad;\nservice S {\n  rpc M(Missing) returns (Missing);\n}\n",
    );
    let output = sablehaven(&["schema", "check", &path]);
    assert_exit(&output, ExitStatus::Invalid);
    let errors = text(&output.stderr);
    assert!(errors.contains("bad.proto:4"), "{errors}");
    assert!(errors.contains("Missing"), "{errors}");
}

#[test]
fn the_deployments_schemas_are_valid() {
    for name in ["trinacria", "tareas"] {
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../deployments")
            .join(name)
            .join("schema.proto");
        let output = sablehaven(&["schema", "check", &path.display().to_string()]);
        assert_exit(&output, ExitStatus::Success);
    }
}

#[test]
fn an_operator_who_reaches_nobody_is_told_so() {
    // Nobody listens at port 1 of this address.
    let arguments = [
        "operator",
        "--control",
        "127.255.0.1:1",
        "status",
        "--timeout-ms",
        "1",
    ];
    let output = sablehaven(&arguments);
    assert_exit(&output, ExitStatus::Unavailable);
    assert!(text(&output.stderr).contains("127.255.0.1:1"));
}

#[test]
fn inspecting_a_folder_that_is_no_data_folder_says_so() {
    let folder = tempfile::tempdir().expect("folder");
    let output = sablehaven(&["data", "inspect", &folder.path().display().to_string()]);
    assert_exit(&output, ExitStatus::Success);
    assert!(text(&output.stdout).contains("no identity"));
}

#[test]
fn help_names_every_command() {
    let output = sablehaven(&["--help"]);
    assert_exit(&output, ExitStatus::Success);
    let help = text(&output.stdout);
    for command in [
        "control", "relay", "agent", "settings", "schema", "data", "operator",
    ] {
        assert!(help.contains(command), "{command}");
    }
}
