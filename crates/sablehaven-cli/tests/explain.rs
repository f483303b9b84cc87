//! From a request's id to its cause, by saved logs.

use sablehaven_cli::explain::{explain, read_lines};
use serde_json::{Value, json};

fn line(second: u32, fields: &Value) -> String {
    let timestamp = format!("2026-02-25T20:31:{second:02}.000000+00:00");
    json!({"timestamp": timestamp, "level": "WARN", "message": "request", "kvs": fields})
        .to_string()
}

fn log() -> String {
    [
        "this is no record".to_owned(),
        line(1, &json!({"event": "routes_in_force", "version": 4, "former": 0})),
        line(2, &json!({"event": "listing_in_force", "term": 2, "reading": 1, "servers": 70})),
        line(3, &json!({"event": "routes_in_force", "version": 7, "former": 4})),
        line(4, &json!({"event": "partial", "request": "q-1", "shards": 10, "arrived": 9, "extra": 1,
                        "unaffordable": 2, "after_ms": 230, "missing": "s3: not sent: connect refused"})),
        line(5, &json!({"event": "refused", "request": "q-2", "reason": "too many requests", "open": 512})),
        line(6, &json!({"event": "failed", "request": "q-3", "status": 502, "after_ms": 12,
                        "reason": "outcome unknown: connection reset"})),
        line(7, &json!({"event": "routes_in_force", "version": 9, "former": 7})),
    ]
    .join("\n")
}

#[test]
fn a_partial_answer_names_its_missing_shards_and_the_budget() {
    let found = explain("q-1", read_lines("front-1", &log()));
    assert_eq!(found.verdicts.len(), 1);
    let verdict = &found.verdicts[0];
    for part in [
        "front-1",
        "230 ms",
        "9 of 10 shards",
        "beyond the budget",
        "s3: not sent",
    ] {
        assert!(verdict.contains(part), "{part} in {verdict}");
    }
    // What it believed then, not before and not later.
    let versions: Vec<_> = found
        .beliefs
        .iter()
        .map(|line| line.fields.get("version"))
        .collect();
    assert!(versions.contains(&Some(&json!(7))), "{versions:?}");
    assert!(!versions.contains(&Some(&json!(9))) && !versions.contains(&Some(&json!(4))));
}

#[test]
fn a_refusal_names_its_reason() {
    let found = explain("q-2", read_lines("front-1", &log()));
    assert!(
        found.verdicts[0].contains("too many requests (512 open)"),
        "{:?}",
        found.verdicts
    );
}

#[test]
fn a_failure_names_its_status_and_cause() {
    let found = explain("q-3", read_lines("front-1", &log()));
    let verdict = &found.verdicts[0];
    assert!(
        verdict.contains("status 502") && verdict.contains("connection reset"),
        "{verdict}"
    );
}

#[test]
fn lines_of_several_processes_are_told_apart_and_ordered() {
    let first = line(
        9,
        &json!({"event": "failed", "request": "q-4", "status": 503, "reason": "late"}),
    );
    let second = line(
        8,
        &json!({"event": "refused", "request": "q-4", "reason": "early", "open": 1}),
    );
    let gathered = format!("   0.5 front-a {first}\n   0.4 front-b {second}\n");
    let found = explain("q-4", read_lines("all", &gathered));
    let processes: Vec<&str> = found
        .lines
        .iter()
        .map(|line| line.process.as_str())
        .collect();
    assert_eq!(processes, ["front-b", "front-a"]);
    assert!(
        explain("q-5", read_lines("all", &gathered))
            .lines
            .is_empty()
    );
}

#[test]
fn a_request_that_crashes_servers_names_them_and_when_it_was_quarantined() {
    let log = [
        line(1, &json!({"event": "request_quarantined", "target": "00ab", "crashes": 2, "lost": 12})),
        line(2, &json!({"event": "request_quarantined", "target": "00cd", "crashes": 2, "lost": 9})),
        line(3, &json!({"event": "failed", "request": "q-1", "target": "00ab", "shards": 10, "arrived": 0,
                        "lost": "i-1, i-2", "after_ms": 90})),
        line(4, &json!({"event": "refused", "request": "q-2", "target": "00ab", "left_ms": 290_000,
                        "reason": "it has crashed servers"})),
    ]
    .join("\n");
    let failed = explain("q-1", read_lines("front-1", &log));
    assert!(
        failed.verdicts[0].contains("i-1, i-2"),
        "{:?}",
        failed.verdicts
    );
    let refused = explain("q-2", read_lines("front-1", &log));
    let verdict = &refused.verdicts[0];
    assert!(
        verdict.contains("it has crashed servers") && verdict.contains("290 s"),
        "{verdict}"
    );
    let targets: Vec<_> = refused
        .beliefs
        .iter()
        .map(|line| &line.fields["target"])
        .collect();
    assert_eq!(targets, ["00ab"]);
}
