//! Tests of the `sablehaven` binary: output, error messages and exit codes.

use std::{
    path::Path,
    process::{Command, Output},
};

use sablehaven_cli::{ExitStatus, Settings};

fn run_sablehaven(arguments: &[&str]) -> Output {
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

fn write_file(folder: &Path, name: &str, contents: &str) -> String {
    let path = folder.join(name);
    std::fs::write(&path, contents).expect("the file is written");
    path.display().to_string()
}

#[test]
fn template_contains_every_key_with_its_default() {
    let output = run_sablehaven(&["settings", "template"]);
    assert_exit(&output, ExitStatus::Success);
    let template = text(&output.stdout);
    let settings: Settings = toml::from_str(&template).expect("the template is valid");
    assert_eq!(settings, Settings::default());
    let parsed: toml::Table = template.parse().expect("the settings form a table");
    let defaults = toml::Table::try_from(Settings::default()).expect("the settings form a table");
    assert_eq!(parsed, defaults, "the template contains every key");
}

#[test]
fn template_contains_keys_without_default_as_comments() {
    let template = text(&run_sablehaven(&["settings", "template"]).stdout);
    for key in [
        "connect_from",
        "http_advertise",
        "internal_advertise",
        "platform",
        "max_connections",
        "connection_bytes",
        "body_bytes",
    ] {
        let prefix = format!("# {key} = ");
        let commented: Vec<&str> = template
            .lines()
            .filter(|line| line.starts_with(&prefix))
            .collect();
        assert!(!commented.is_empty(), "{key}");
        for line in commented {
            let setting = line.trim_start_matches("# ");
            setting
                .parse::<toml::Table>()
                .expect("the commented setting is valid TOML");
        }
    }
}

#[test]
fn settings_check_reports_key_value_and_range_of_invalid_setting() {
    let folder = tempfile::tempdir().expect("the folder is created");
    let path = write_file(
        folder.path(),
        "settings.toml",
        "[relay]\ndeployment = \"trinacria\"\nlease_interval_ms = 0\n",
    );
    let output = run_sablehaven(&["settings", "check", &path]);
    assert_exit(&output, ExitStatus::Invalid);
    let stderr = text(&output.stderr);
    assert!(
        stderr.contains("'relay.lease_interval_ms' is 0, allowed is 10 to 60000"),
        "{stderr}"
    );
    assert!(stderr.contains("relay.control"), "{stderr}");
}

#[test]
fn settings_check_reports_line_of_unknown_key() {
    let folder = tempfile::tempdir().expect("the folder is created");
    let path = write_file(folder.path(), "settings.toml", "[agent]\nhttp_listn = 1\n");
    let output = run_sablehaven(&["settings", "check", &path]);
    assert_exit(&output, ExitStatus::Invalid);
    let stderr = text(&output.stderr);
    assert!(stderr.contains("line 2"), "{stderr}");
    assert!(stderr.contains("http_listn"), "{stderr}");
}

#[test]
fn settings_check_reports_valid_section() {
    let folder = tempfile::tempdir().expect("the folder is created");
    let contents = "[relay]\ndeployment = \"trinacria\"\ncontrol = [\"127.0.0.1:7101\"]\n\
                    [relay.placement]\nregion = \"palermo\"\nzone = \"palermo-a\"\n";
    let path = write_file(folder.path(), "settings.toml", contents);
    let output = run_sablehaven(&["settings", "check", &path]);
    assert_exit(&output, ExitStatus::Success);
    assert!(text(&output.stdout).contains("[relay] is valid"));
}

#[test]
fn role_rejects_invalid_settings() {
    let output = run_sablehaven(&["agent", "--set", "agent.deployment=trinacria"]);
    assert_exit(&output, ExitStatus::Invalid);
    let stderr = text(&output.stderr);
    assert!(stderr.contains("agent.placement.region"), "{stderr}");
    assert!(stderr.contains("agent.subscription.relays"), "{stderr}");
}

#[test]
fn override_without_section_is_rejected() {
    let output = run_sablehaven(&["relay", "--set", "lease=3"]);
    assert_exit(&output, ExitStatus::Usage);
    assert!(text(&output.stderr).contains("expected a key such as agent.http_listen"));
}

#[test]
fn schema_check_reports_file_line_and_reason() {
    let folder = tempfile::tempdir().expect("the folder is created");
    let path = write_file(
        folder.path(),
        "bad.proto",
        "syntax = \"proto3\";\npackage bad;\nservice S {\n  rpc M(Missing) returns (Missing);\n}\n",
    );
    let output = run_sablehaven(&["schema", "check", &path]);
    assert_exit(&output, ExitStatus::Invalid);
    let stderr = text(&output.stderr);
    assert!(stderr.contains("bad.proto:4"), "{stderr}");
    assert!(stderr.contains("Missing"), "{stderr}");
}

#[test]
fn schemas_of_all_deployments_are_valid() {
    for name in ["trinacria", "tareas"] {
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../deployments")
            .join(name)
            .join("schema.proto");
        let output = run_sablehaven(&["schema", "check", &path.display().to_string()]);
        assert_exit(&output, ExitStatus::Success);
    }
}

#[test]
fn operator_reports_unreachable_address() {
    // No process listens on port 1 of this address.
    let arguments = [
        "operator",
        "--control",
        "127.255.0.1:1",
        "status",
        "--timeout-ms",
        "1",
    ];
    let output = run_sablehaven(&arguments);
    assert_exit(&output, ExitStatus::Unavailable);
    assert!(text(&output.stderr).contains("127.255.0.1:1"));
}

#[test]
fn data_inspect_reports_missing_identity() {
    let folder = tempfile::tempdir().expect("the folder is created");
    let output = run_sablehaven(&["data", "inspect", &folder.path().display().to_string()]);
    assert_exit(&output, ExitStatus::Success);
    assert!(text(&output.stdout).contains("no identity"));
}

#[test]
fn help_lists_commands() {
    let output = run_sablehaven(&["--help"]);
    assert_exit(&output, ExitStatus::Success);
    let help = text(&output.stdout);
    for command in [
        "control", "relay", "agent", "settings", "schema", "data", "operator",
    ] {
        assert!(help.contains(command), "{command}");
    }
}
