//! Truthful coverage.

use std::collections::BTreeSet;

use sablehaven_types::{Coverage, Outcome, ShardId};

use super::index::{Index, name};
use crate::{CallAnswer, CallRecord, CheckResult, ExecutionEnd, Promise};

/// An answer accounts for every shard of its snapshot, and what it says of each is true.
pub(super) fn truthful(index: &Index<'_>) -> CheckResult {
    let mut result = CheckResult::new(Promise::TruthfulCoverage);
    for (call, answer) in index.answers() {
        if !call.kind.is_query() || answer.outcome != Outcome::Done {
            continue;
        }
        result.examined += 1;
        let Some(coverage) = &answer.coverage else {
            result.violated(format!("{}: the answer states no coverage", name(call)));
            continue;
        };
        let claims = Claims::of(coverage);
        check_map(index, call, answer, &claims, &mut result);
        check_marks(call, answer, &claims, &mut result);
        check_executions(index, call, answer, &claims, &mut result);
    }
    result
}

struct Claims {
    answered: BTreeSet<ShardId>,
    missing: BTreeSet<ShardId>,
    count: usize,
}

impl Claims {
    fn of(coverage: &Coverage) -> Self {
        Self {
            answered: coverage.answered.iter().copied().collect(),
            missing: coverage
                .missing
                .iter()
                .map(|missing| missing.shard)
                .collect(),
            count: coverage.shard_count(),
        }
    }
}

fn check_map(
    index: &Index<'_>,
    call: &CallRecord,
    answer: &CallAnswer,
    claims: &Claims,
    result: &mut CheckResult,
) {
    let all: BTreeSet<_> = claims.answered.union(&claims.missing).copied().collect();
    if all.len() != claims.count {
        result.violated(format!("{}: a shard is counted twice", name(call)));
    }
    let published = answer
        .snapshot
        .map(|snapshot| (snapshot, index.shards(&call.service, snapshot)));
    match published {
        Some((_, Some(shards))) if all.iter().eq(shards) => {}
        Some((snapshot, Some(shards))) => result.violated(format!(
            "{}: accounts for {} shards, snapshot {snapshot} has {}",
            name(call),
            all.len(),
            shards.len()
        )),
        Some((snapshot, None)) => result.violated(format!(
            "{}: snapshot {snapshot} was never published",
            name(call)
        )),
        None => result.violated(format!("{}: the answer names no snapshot", name(call))),
    }
}

/// Every item is of an answered shard, and every answered shard shows where the merge keeps it.
fn check_marks(call: &CallRecord, answer: &CallAnswer, claims: &Claims, result: &mut CheckResult) {
    let shown: BTreeSet<_> = answer.marks.iter().map(|mark| mark.shard).collect();
    for shard in shown.difference(&claims.answered) {
        result.violated(format!(
            "{}: has an item of shard {shard}, which it does not count as answered",
            name(call)
        ));
    }
    if call.kind != crate::CallKind::QueryConcatenated {
        return;
    }
    for shard in claims.answered.difference(&shown) {
        result.violated(format!(
            "{}: counts shard {shard} as answered and has no item of it",
            name(call)
        ));
    }
}

/// Every answered shard was truly run for this call, in the pinned snapshot, before the answer.
fn check_executions(
    index: &Index<'_>,
    call: &CallRecord,
    answer: &CallAnswer,
    claims: &Claims,
    result: &mut CheckResult,
) {
    let executions = index.ran_by_question.get(&call.question);
    let replied: BTreeSet<_> = executions
        .into_iter()
        .flatten()
        .filter(|execution| execution.end == ExecutionEnd::Replied)
        .filter(|execution| Some(execution.snapshot) == answer.snapshot)
        .filter(|execution| execution.service == call.service && execution.method == call.method)
        .filter(|execution| execution.received_at <= call.finished_at)
        .map(|execution| execution.shard)
        .collect();
    for shard in claims.answered.difference(&replied) {
        result.violated(format!(
            "{}: counts shard {shard} as answered, which no back end replied for",
            name(call)
        ));
    }
}
