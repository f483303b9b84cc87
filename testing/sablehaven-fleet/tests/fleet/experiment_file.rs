//! Experiment files are read, and what cannot be used is named.

use std::path::Path;

use sablehaven_fleet::experiment::{ExperimentError, ExperimentFile};

const FILE: &str = r#"
name = "stragglers"
[[scenarios]]
name = "one"
measure_ms = 1000
topology = { shards = 55, instances = 2, servers_per_instance = 5 }
load = { queries_per_second = 20.0 }
disturbance = { stuck_replicas = 1 }
"#;

fn read(text: &str) -> Result<ExperimentFile, ExperimentError> {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("experiment.toml");
    std::fs::write(&path, text).expect("written");
    ExperimentFile::read(&path)
}

#[test]
fn a_file_is_read_with_its_defaults() {
    let file = read(FILE).expect("read");
    assert_eq!((file.repeats, file.scenarios[0].load.deadline_ms), (5, 500));
}

#[test]
fn a_setting_that_cannot_be_used_is_named() {
    for (good, bad, key) in [
        ("shards = 55", "shards = 0", "scenarios[0].topology.shards"),
        (
            "stuck_replicas = 1",
            "stuck_replicas = 2",
            "scenarios[0].disturbance.stuck_replicas",
        ),
        ("20.0", "0.0", "scenarios[0].load.queries_per_second"),
    ] {
        let error = read(&FILE.replace(good, bad)).expect_err("refused");
        assert!(error.to_string().contains(key), "{error}");
    }
}

#[test]
fn an_unknown_key_and_a_missing_file_are_errors() {
    let error = read(&FILE.replace("measure_ms", "measure")).expect_err("refused");
    assert!(matches!(error, ExperimentError::Parse { .. }), "{error}");
    let error = ExperimentFile::read(Path::new("nowhere.toml")).expect_err("missing");
    assert!(matches!(error, ExperimentError::Read { .. }), "{error}");
}
