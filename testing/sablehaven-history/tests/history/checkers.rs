//! Every checker accepts a history that keeps its promise, and finds each way of breaking it.

use crate::story::{SECOND, Story, command, once_key, snapshot};
use sablehaven_history::{
    BackendNoticeKind, CallKind, CallResult, Event, ExecutionEnd, Limits, OperatorResult, Promise,
    check,
};
use sablehaven_types::{Coverage, MissingReason, MissingShard, Outcome, ShardId};

/// Asserts that exactly this promise is broken.
fn assert_breaks(story: &Story, promise: Promise) {
    let report = check(&story.history(), &Limits::default());
    for result in &report.results {
        let is_broken = !result.violations.is_empty();
        assert_eq!(
            is_broken,
            result.promise == promise,
            "{}: {:?}",
            result.promise,
            result.violations
        );
    }
}

#[test]
fn a_history_that_keeps_every_promise_is_accepted() {
    let report = check(&Story::kept().history(), &Limits::default());
    for result in &report.results {
        assert!(result.is_kept(), "{}: {result:?}", result.promise);
    }
}

#[test]
fn an_empty_history_proves_nothing() {
    let report = check(&Default::default(), &Limits::default());
    assert_eq!(report.not_examined(), Promise::ALL);
}

#[test]
fn an_item_of_another_snapshot_is_found() {
    let mut story = Story::kept();
    story.answer(0).marks[1].snapshot = snapshot(2);
    assert_breaks(&story, Promise::SingleSnapshot);
}

#[test]
fn a_silently_missing_shard_is_found() {
    let mut story = Story::kept();
    let answer = story.answer(0);
    answer.coverage.as_mut().expect("coverage").answered.pop();
    answer.marks.pop();
    assert_breaks(&story, Promise::TruthfulCoverage);
}

#[test]
fn an_answered_shard_without_items_is_found() {
    let mut story = Story::kept();
    story.answer(0).marks.pop();
    assert_breaks(&story, Promise::TruthfulCoverage);
}

#[test]
fn an_answered_shard_that_no_back_end_ran_is_found() {
    let mut story = Story::kept();
    story.execution(1).end = ExecutionEnd::Cancelled;
    assert_breaks(&story, Promise::TruthfulCoverage);
}

#[test]
fn an_item_of_a_shard_that_is_said_to_be_missing_is_found() {
    let mut story = Story::kept();
    let missing = MissingShard {
        shard: ShardId(1),
        reason: MissingReason::Deadline,
    };
    story.answer(0).coverage = Some(Coverage {
        answered: vec![ShardId(0)],
        missing: vec![missing],
    });
    assert_breaks(&story, Promise::TruthfulCoverage);
}

#[test]
fn a_truly_missing_shard_that_is_said_to_be_missing_is_accepted() {
    let mut story = Story::kept();
    let missing = MissingShard {
        shard: ShardId(1),
        reason: MissingReason::Deadline,
    };
    let answer = story.answer(0);
    answer.marks.pop();
    answer.coverage = Some(Coverage {
        answered: vec![ShardId(0)],
        missing: vec![missing],
    });
    assert!(check(&story.history(), &Limits::default()).has_no_violation());
}

#[test]
fn a_piece_of_another_callers_answer_is_found() {
    let mut story = Story::kept();
    story.answer(0).marks[1].question = 99;
    assert_breaks(&story, Promise::OwnAnswer);
}

#[test]
fn an_item_that_stands_twice_is_found() {
    let mut story = Story::kept();
    let answer = story.answer(0);
    answer.marks.push(answer.marks[0]);
    assert_breaks(&story, Promise::OwnAnswer);
}

#[test]
fn a_body_that_lacks_a_part_is_found() {
    let mut story = Story::kept();
    story.answer(0).is_expected = Some(false);
    assert_breaks(&story, Promise::OwnAnswer);
}

#[test]
fn a_refused_query_that_ran_is_found() {
    let mut story = Story::kept();
    story.answer(0).outcome = Outcome::NotRun;
    assert_breaks(&story, Promise::NotRunIsTrue);
}

#[test]
fn a_refused_request_that_ran_before_the_refusal_is_found() {
    let mut story = Story::kept();
    let call = story.once_call(7, 1, 20 * SECOND, Outcome::NotRun);
    story.push(Event::Call(call));
    assert_breaks(&story, Promise::NotRunIsTrue);
}

#[test]
fn a_refused_request_that_runs_later_by_itself_is_found() {
    let mut story = Story::kept();
    let call = story.once_call(7, 2, 20 * SECOND, Outcome::NotRun);
    story.push(Event::Call(call));
    let execution = story.once_execution(2, 21 * SECOND);
    story.push(Event::Execution(execution));
    assert_breaks(&story, Promise::NotRunIsTrue);
}

#[test]
fn a_refused_request_that_runs_after_a_resend_is_accepted() {
    let mut story = Story::kept();
    for (call, at, outcome) in [(7, 20, Outcome::NotRun), (8, 21, Outcome::Done)] {
        let call = story.once_call(call, 2, at * SECOND, outcome);
        story.push(Event::Call(call));
    }
    let execution = story.once_execution(2, 21 * SECOND);
    story.push(Event::Execution(execution));
    let report = check(&story.history(), &Limits::default());
    assert!(report.has_no_violation(), "{report:?}");
}

#[test]
fn a_request_that_ran_twice_is_found() {
    let mut story = Story::kept();
    let execution = story.once_execution(1, 12 * SECOND);
    story.push(Event::Execution(execution));
    assert_breaks(&story, Promise::AtMostOnce);
}

#[test]
fn a_second_run_that_was_cancelled_counts() {
    let mut story = Story::kept();
    let mut execution = story.once_execution(1, 12 * SECOND);
    execution.end = ExecutionEnd::Cancelled;
    story.push(Event::Execution(execution));
    assert_breaks(&story, Promise::AtMostOnce);
}

#[test]
fn a_done_request_that_no_back_end_ran_is_found() {
    let mut story = Story::kept();
    let call = story.once_call(7, 2, 20 * SECOND, Outcome::Done);
    story.push(Event::Call(call));
    assert_breaks(&story, Promise::AtMostOnce);
}

#[test]
fn a_resend_with_another_outcome_is_found() {
    let mut story = Story::kept();
    let mut call = story.once_call(7, 1, 20 * SECOND, Outcome::Done);
    if let CallResult::Answered(answer) = &mut call.result {
        answer.marks[0].run = Some(2);
    }
    story.push(Event::Call(call));
    assert_breaks(&story, Promise::AtMostOnce);
}

#[test]
fn work_for_a_back_end_that_left_is_found_until_it_returns() {
    let mut story = Story::kept();
    let mut late = story.execution(0).clone();
    late.question = 77;
    late.received_at = 53 * SECOND;
    story.push(Event::Execution(late));
    assert_breaks(&story, Promise::LeavingBackend);
    story.notice(52 * SECOND, BackendNoticeKind::Returned);
    assert!(check(&story.history(), &Limits::default()).has_no_violation());
}

#[test]
fn a_call_that_a_planned_stop_breaks_is_found() {
    let mut story = Story::kept();
    let mut call = story.query_call(7, 60 * SECOND);
    call.result = CallResult::Broken {
        error: "read answer from agent-1: connection reset".to_owned(),
    };
    story.push(Event::Call(call.clone()));
    assert_breaks(&story, Promise::PlannedStop);
}

#[test]
fn a_call_that_finds_no_connection_was_not_interrupted() {
    let mut story = Story::kept();
    let mut call = story.query_call(7, 60 * SECOND);
    call.result = CallResult::NotConnected {
        error: "connect to agent-1: refused".to_owned(),
    };
    story.push(Event::Call(call));
    assert!(check(&story.history(), &Limits::default()).has_no_violation());
}

#[test]
fn a_stop_that_does_not_end_by_itself_is_found() {
    let mut story = Story::kept();
    story.stop().exit_code = None;
    assert_breaks(&story, Promise::PlannedStop);
}

#[test]
fn a_configuration_that_is_late_is_found_even_if_the_answer_admits_it() {
    let mut story = Story::kept();
    story.query_under(7, 40 * SECOND, 1, false);
    let report = check(&story.history(), &Limits::default());
    let result = report
        .result(Promise::ConfigurationInForce)
        .expect("result");
    assert_eq!(result.violations.len(), 1);
}

#[test]
fn a_fault_excuses_an_old_configuration_only_if_the_answer_admits_it() {
    for (current, violations) in [(false, 0), (true, 1)] {
        let mut story = Story::kept();
        story.fault("agent-2", 30 * SECOND, 41 * SECOND);
        story.query_by(7, "agent-2", 40 * SECOND, 1, current);
        let report = check(&story.history(), &Limits::default());
        let result = report
            .result(Promise::ConfigurationInForce)
            .expect("result");
        assert_eq!(result.violations.len(), violations);
    }
}

#[test]
fn a_process_that_goes_back_is_found() {
    let mut story = Story::kept();
    story.query_under(7, 33 * SECOND, 2, true);
    story.query_under(8, 34 * SECOND, 1, true);
    assert_breaks(&story, Promise::ConfigurationNeverReverts);
}

#[test]
fn an_accepted_command_that_vanished_is_found() {
    let mut story = Story::kept();
    story.reading().commands[1].command_id = command("other");
    assert_breaks(&story, Promise::ConfigurationNeverReverts);
}

#[test]
fn two_winners_of_one_version_are_found() {
    let mut story = Story::kept();
    let accepted = OperatorResult::Accepted { version: 2 };
    story.operator(Some("rival"), 1, (35, 36), accepted);
    let report = check(&story.history(), &Limits::default());
    let result = report
        .result(Promise::ConfigurationLinearizable)
        .expect("result");
    assert!(!result.violations.is_empty());
}

#[test]
fn a_stale_reading_is_found() {
    let mut story = Story::kept();
    story.operator(None, 0, (50, 51), OperatorResult::Read { version: 1 });
    assert_breaks(&story, Promise::ConfigurationLinearizable);
}

#[test]
fn a_reading_that_overlaps_the_command_may_see_either_version() {
    for version in [1, 2] {
        let mut story = Story::kept();
        story.operator(None, 0, (30, 32), OperatorResult::Read { version });
        let report = check(&story.history(), &Limits::default());
        assert!(report.has_no_violation(), "{report:?}");
    }
}

#[test]
fn a_resend_that_repeats_the_first_outcome_is_accepted_however_late() {
    let mut story = Story::kept();
    let accepted = OperatorResult::Accepted { version: 3 };
    story.operator(Some("third"), 2, (60, 61), accepted);
    story.operator(
        Some("second"),
        1,
        (70, 71),
        OperatorResult::Accepted { version: 2 },
    );
    story.reading().at = 50 * SECOND;
    let report = check(&story.history(), &Limits::default());
    let result = report
        .result(Promise::ConfigurationLinearizable)
        .expect("result");
    assert!(result.violations.is_empty(), "{result:?}");
}

#[test]
fn a_conflict_for_a_command_that_also_won_is_found() {
    let mut story = Story::kept();
    let conflict = OperatorResult::Conflict { current_version: 2 };
    story.operator(Some("second"), 1, (50, 51), conflict);
    assert_breaks(&story, Promise::ConfigurationLinearizable);
}

#[test]
fn a_version_that_nobody_made_is_found_unless_a_reply_was_lost() {
    let read = OperatorResult::Read { version: 3 };
    let mut story = Story::kept();
    story.operator(None, 0, (60, 61), read);
    assert_breaks(&story, Promise::ConfigurationLinearizable);
    let mut story = Story::kept();
    story.operator(Some("lost"), 2, (50, 55), OperatorResult::NoReply);
    story.operator(None, 0, (60, 61), read);
    assert!(check(&story.history(), &Limits::default()).has_no_violation());
}

#[test]
fn answers_to_requests_that_may_not_be_repeated_need_a_key() {
    let mut story = Story::kept();
    let mut call = story.once_call(7, 1, 20 * SECOND, Outcome::Done);
    assert_eq!(call.kind, CallKind::Once);
    assert_eq!(call.once_key, Some(once_key(1)));
    call.once_key = None;
    story.push(Event::Call(call));
    assert_breaks(&story, Promise::AtMostOnce);
}

#[test]
fn a_process_without_a_configuration_may_refuse_but_not_answer() {
    for (outcome, is_broken) in [(Outcome::NotRun, false), (Outcome::Done, true)] {
        let mut story = Story::kept();
        let mut call = story.once_call(7, 9, 40 * SECOND, Outcome::NotRun);
        if let CallResult::Answered(answer) = &mut call.result {
            answer.configuration.version = 0;
            answer.outcome = outcome;
        }
        story.push(Event::Call(call));
        let report = check(&story.history(), &Limits::default());
        let result = report
            .result(Promise::ConfigurationNeverReverts)
            .expect("result");
        assert_eq!(!result.violations.is_empty(), is_broken, "{result:?}");
    }
}
