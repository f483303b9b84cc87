//! Tests of the explanation of a request's outcome from saved logs.

use sablehaven_cli::explain::{explain, parse_log};
use serde_json::{Value, json};

fn log_line(second: u32, fields: &Value) -> String {
    let timestamp = format!("2026-02-25T20:31:{second:02}.000000+00:00");
    json!({"timestamp": timestamp, "level": "WARN", "message": "request", "kvs": fields})
        .to_string()
}

fn log() -> String {
    [
        "this is not a record".to_owned(),
        log_line(1, &json!({"event": "routes_in_force", "version": 4, "former": 0})),
        log_line(2, &json!({"event": "listing_in_force", "term": 2, "reading": 1, "servers": 70})),
        log_line(3, &json!({"event": "routes_in_force", "version": 7, "former": 4})),
        log_line(4, &json!({"event": "partial", "request": "q-1", "shards": 10, "arrived": 9, "extra": 1,
                        "unaffordable": 2, "after_ms": 230, "missing": "s3: not sent: connect refused"})),
        log_line(5, &json!({"event": "refused", "request": "q-2", "reason": "too many requests", "open": 512})),
        log_line(6, &json!({"event": "failed", "request": "q-3", "status": 502, "after_ms": 12,
                        "reason": "outcome unknown: connection reset"})),
        log_line(7, &json!({"event": "routes_in_force", "version": 9, "former": 7})),
    ]
    .join("\n")
}

#[test]
fn partial_response_summary_names_missing_shards_and_exceeded_budget() {
    let explanation = explain("q-1", parse_log("front-1", &log()));
    assert_eq!(explanation.summaries.len(), 1);
    let summary = &explanation.summaries[0];
    for part in [
        "front-1",
        "230 ms",
        "9 of 10 shards",
        "exceeded the retry budget",
        "s3: not sent",
    ] {
        assert!(summary.contains(part), "{part} in {summary}");
    }
    // The state at the time of the request, neither an older nor a newer one.
    let versions: Vec<_> = explanation
        .process_state
        .iter()
        .map(|line| line.fields.get("version"))
        .collect();
    assert!(versions.contains(&Some(&json!(7))), "{versions:?}");
    assert!(!versions.contains(&Some(&json!(9))) && !versions.contains(&Some(&json!(4))));
}

#[test]
fn refusal_summary_contains_its_reason() {
    let explanation = explain("q-2", parse_log("front-1", &log()));
    assert!(
        explanation.summaries[0].contains("too many requests (512 open)"),
        "{:?}",
        explanation.summaries
    );
}

#[test]
fn failure_summary_contains_status_and_cause() {
    let explanation = explain("q-3", parse_log("front-1", &log()));
    let summary = &explanation.summaries[0];
    assert!(
        summary.contains("status 502") && summary.contains("connection reset"),
        "{summary}"
    );
}

#[test]
fn merged_log_lines_are_attributed_to_processes_and_sorted_by_time() {
    let first = log_line(
        9,
        &json!({"event": "failed", "request": "q-4", "status": 503, "reason": "late"}),
    );
    let second = log_line(
        8,
        &json!({"event": "refused", "request": "q-4", "reason": "early", "open": 1}),
    );
    let merged = format!("   0.5 front-a {first}\n   0.4 front-b {second}\n");
    let explanation = explain("q-4", parse_log("all", &merged));
    let processes: Vec<&str> = explanation
        .lines
        .iter()
        .map(|line| line.process.as_str())
        .collect();
    assert_eq!(processes, ["front-b", "front-a"]);
    assert!(explain("q-5", parse_log("all", &merged)).lines.is_empty());
}

#[test]
fn summary_of_crashing_request_names_servers_and_shows_quarantine() {
    let log = [
        log_line(1, &json!({"event": "request_quarantined", "target": "00ab", "crashes": 2, "lost": 12})),
        log_line(2, &json!({"event": "request_quarantined", "target": "00cd", "crashes": 2, "lost": 9})),
        log_line(3, &json!({"event": "failed", "request": "q-1", "target": "00ab", "shards": 10, "arrived": 0,
                        "lost": "i-1, i-2", "after_ms": 90})),
        log_line(4, &json!({"event": "refused", "request": "q-2", "target": "00ab", "left_ms": 290_000,
                        "reason": "it has crashed servers"})),
    ]
    .join("\n");
    let failed = explain("q-1", parse_log("front-1", &log));
    assert!(
        failed.summaries[0].contains("i-1, i-2"),
        "{:?}",
        failed.summaries
    );
    let refused = explain("q-2", parse_log("front-1", &log));
    let summary = &refused.summaries[0];
    assert!(
        summary.contains("it has crashed servers") && summary.contains("290 s"),
        "{summary}"
    );
    let targets: Vec<_> = refused
        .process_state
        .iter()
        .map(|line| &line.fields["target"])
        .collect();
    assert_eq!(targets, ["00ab"]);
}
