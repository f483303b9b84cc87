//! Tests of what a query does next, by its progress.

use std::time::Duration;

use super::{NextStep, Progress, next_step};

fn progress(arrived: usize, failed: usize, elapsed_ms: u64) -> Progress {
    Progress {
        shards: 10,
        min_shards: 9,
        arrived,
        failed,
        elapsed: Duration::from_millis(elapsed_ms),
        due: Duration::from_millis(230),
        limit: Duration::from_millis(4_000),
    }
}

#[test]
fn next_step_by_progress() {
    let until = |milliseconds| NextStep::WaitUntil(Duration::from_millis(milliseconds));
    let table = [
        ("whole", progress(10, 0, 30), NextStep::Answer),
        ("whole but late", progress(10, 0, 900), NextStep::Answer),
        ("enough, time left", progress(9, 0, 30), until(230)),
        ("enough, due", progress(9, 0, 230), NextStep::Answer),
        (
            "enough, the last one failed",
            progress(9, 1, 30),
            NextStep::Answer,
        ),
        ("too few, time left", progress(8, 0, 30), until(4_000)),
        ("too few, late", progress(8, 1, 900), until(4_000)),
        (
            "enough at last, late",
            progress(9, 0, 900),
            NextStep::Answer,
        ),
        ("cannot be enough", progress(5, 2, 30), NextStep::Fail),
        (
            "too few at the end",
            progress(8, 0, 4_000),
            NextStep::DeadlineExceeded,
        ),
    ];
    for (name, progress, expected) in table {
        assert_eq!(next_step(&progress), expected, "{name}");
    }
}

#[test]
fn a_limit_before_the_latency_target_applies() {
    let short = Progress {
        limit: Duration::from_millis(100),
        ..progress(9, 0, 100)
    };
    assert_eq!(next_step(&short), NextStep::Answer);
}
