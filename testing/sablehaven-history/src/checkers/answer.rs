//! Single snapshot; own and whole answer.

use std::collections::HashSet;

use sablehaven_types::Outcome;

use super::index::{Index, name};
use crate::{CallAnswer, CallRecord, CheckResult, Promise};

/// Every item of an answer comes from the snapshot that the answer names.
pub(super) fn single_snapshot(index: &Index<'_>) -> CheckResult {
    let mut result = CheckResult::new(Promise::SingleSnapshot);
    for (call, answer) in index.answers() {
        if answer.marks.is_empty() {
            continue;
        }
        result.examined += 1;
        let foreign = answer.marks.iter().find(|mark| {
            answer
                .snapshot
                .is_some_and(|pinned| pinned != mark.snapshot)
        });
        let mixed = answer
            .marks
            .iter()
            .find(|mark| mark.snapshot != answer.marks[0].snapshot);
        if let Some(mark) = foreign.or(mixed) {
            result.violated(format!(
                "{}: an item of shard {} is of snapshot {}, the answer names {:?}",
                name(call),
                mark.shard,
                mark.snapshot,
                answer.snapshot.map(|snapshot| snapshot.to_string()),
            ));
        }
        if call.kind.is_query() && answer.snapshot.is_none() {
            result.violated(format!("{}: the answer names no snapshot", name(call)));
        }
    }
    result
}

/// Every item answers the call's own question, none stands twice, and the body is the whole of what
/// the answered shards reply.
pub(super) fn own(index: &Index<'_>) -> CheckResult {
    let mut result = CheckResult::new(Promise::OwnAnswer);
    for (call, answer) in index.answers() {
        let says_nothing = answer.marks.is_empty() && answer.is_expected.is_none();
        if answer.outcome != Outcome::Done || says_nothing {
            continue;
        }
        result.examined += 1;
        check_items(call, answer, &mut result);
        if answer.is_expected == Some(false) {
            result.violated(format!(
                "{}: the body is not the whole of what the answered shards reply",
                name(call)
            ));
        }
    }
    result
}

fn check_items(call: &CallRecord, answer: &CallAnswer, result: &mut CheckResult) {
    let mut seen = HashSet::new();
    for mark in &answer.marks {
        if mark.question != call.question {
            result.violated(format!(
                "{}: item {} of shard {} answers question {:016x}, asked was {:016x}",
                name(call),
                mark.item,
                mark.shard,
                mark.question,
                call.question
            ));
        }
        if !seen.insert((mark.shard, mark.item)) {
            result.violated(format!(
                "{}: item {} of shard {} stands twice",
                name(call),
                mark.item,
                mark.shard
            ));
        }
    }
}
