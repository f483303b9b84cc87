//! Figures of a window, and the comparison of repeats.

use sablehaven_fleet::experiment::{
    Contender, Figures, Repeat, ScenarioReport, Topology, Window, figures,
};
use sablehaven_history::{
    CallAnswer, CallKind, CallRecord, CallResult, Event, ExecutionEnd, ExecutionRecord, History,
};
use sablehaven_types::{AttemptId, Coverage, MissingReason, MissingShard, Outcome, ShardId};

const SECOND: u64 = 1_000_000;

fn call(intended_at: u64, latency: u64, answered: u32) -> Event {
    let missing = (answered..2).map(|shard| MissingShard {
        shard: ShardId(shard),
        reason: MissingReason::Deadline,
    });
    let answer = CallAnswer {
        status: 200,
        outcome: Outcome::Done,
        reason: None,
        snapshot: None,
        coverage: Some(Coverage {
            answered: (0..answered).map(ShardId).collect(),
            missing: missing.collect(),
        }),
        configuration: Default::default(),
        retry_after_ms: None,
        marks: Vec::new(),
        is_expected: None,
    };
    Event::Call(CallRecord {
        call: intended_at,
        caller: "driver".into(),
        process: "agent-1".to_owned(),
        service: "test.Index".into(),
        method: "Search".to_owned(),
        kind: CallKind::QueryConcatenated,
        once_key: None,
        question: 0,
        intended_at,
        sent_at: intended_at + latency / 2,
        finished_at: intended_at + latency,
        result: CallResult::Answered(answer),
    })
}

fn execution(received_at: u64, end: ExecutionEnd) -> Event {
    Event::Execution(ExecutionRecord {
        sequence: 1,
        backend: "a".into(),
        incarnation: 1,
        service: "test.Index".into(),
        method: "Search".to_owned(),
        shard: ShardId(0),
        snapshot: Default::default(),
        attempt: AttemptId(1),
        once_key: None,
        question: 0,
        received_at,
        started_at: (end != ExecutionEnd::RefusedShed).then_some(received_at),
        finished_at: received_at,
        end,
    })
}

fn topology(regions: u32) -> Topology {
    Topology {
        shards: 2,
        instances: 2,
        regions,
        servers_per_instance: 1,
        slots: 1,
        queue: 1,
        connections: 1,
        service_time_us: 1_000_000,
    }
}

#[test]
fn a_region_that_stops_working_for_a_while_has_swung() {
    let mut events = Vec::new();
    for second in 0..20 {
        for region in 0..2 {
            let is_away = region == 1 && (5..9).contains(&second);
            let mut event = execution(second * SECOND, ExecutionEnd::Replied);
            if let Event::Execution(execution) = &mut event {
                execution.backend = format!("index-{}-1", region + 1).into();
            }
            events.extend((!is_away).then_some(event));
        }
    }
    let window = Window {
        from: 0,
        until: 20 * SECOND,
    };
    let found = figures(&History { events }, window, &topology(2));
    assert_eq!(found.longest_swing_s, 4.0);
}

#[test]
fn only_the_window_counts_and_refusals_are_no_executions() {
    let mut events = vec![call(0, SECOND, 0), execution(0, ExecutionEnd::Replied)];
    events.extend([call(SECOND, SECOND, 2), call(2 * SECOND, 3 * SECOND, 1)]);
    let ends = [
        ExecutionEnd::Replied,
        ExecutionEnd::Replied,
        ExecutionEnd::Replied,
        ExecutionEnd::Cancelled,
        ExecutionEnd::Cancelled,
        ExecutionEnd::RefusedShed,
    ];
    events.extend(ends.map(|end| execution(SECOND, end)));
    let window = Window {
        from: SECOND,
        until: 3 * SECOND,
    };
    let figures = figures(&History { events }, window, &topology(1));
    assert_eq!(figures.queries, 2.0);
    assert_eq!(figures.coverage, 0.75);
    assert_eq!(figures.goodput, 1.5);
    assert_eq!(figures.share_of_capacity, 0.75);
    assert_eq!(figures.extra_load, 0.25);
    assert_eq!(figures.extra_requests, 0.5);
    assert!((figures.p99_ms - 3_000.0).abs() < 5.0, "{figures:?}");
}

#[test]
fn repeats_are_compared_by_their_numbers() {
    let repeat = |contender, number, p99_ms| Repeat {
        contender,
        number,
        figures: Figures {
            p99_ms,
            ..Figures::default()
        },
    };
    let repeats = vec![
        repeat(Contender::Baseline, 0, 100.0),
        repeat(Contender::Candidate, 0, 20.0),
        repeat(Contender::Baseline, 1, 200.0),
        repeat(Contender::Candidate, 1, 60.0),
    ];
    let report = ScenarioReport::new("stragglers", repeats);
    let comparison = report.comparison("p99 ms").expect("compared");
    assert_eq!(comparison.baseline.median, 150.0);
    assert_eq!(
        comparison.ratio.as_ref().expect("ratios").values,
        vec![0.2, 0.3]
    );
    assert!(report.table().to_string().contains("(20.000..60.000)"));
}
