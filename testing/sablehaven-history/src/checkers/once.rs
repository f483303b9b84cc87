//! "Not run" is true; at most once.

use std::collections::HashMap;

use sablehaven_types::{LedgerKey, Outcome};

use super::index::{Index, name};
use crate::{CallKind, CallRecord, CallResult, CheckResult, ExecutionRecord, Promise};

/// No execution contradicts a "not run".
///
/// Queries and look-ups: no back end began work on the call's question. Requests that may not be
/// repeated: none had begun under the key when the refusal came back, and one that began later
/// belongs to another call of the same key that was not refused.
pub(super) fn not_run_is_true(index: &Index<'_>) -> CheckResult {
    let mut result = CheckResult::new(Promise::NotRunIsTrue);
    let by_key = calls_by_key(index);
    for (call, answer) in index.answers() {
        if answer.outcome != Outcome::NotRun {
            continue;
        }
        result.examined += 1;
        let contradiction = match &call.once_key {
            Some(key) => contradicted_key(index, call, key, &by_key[key]),
            None => index
                .ran_by_question
                .get(&call.question)
                .and_then(|executions| executions.first().copied()),
        };
        if let Some(execution) = contradiction {
            result.violated(format!(
                "{}: refused as not run, and back end {} ran it (shard {}, attempt {})",
                name(call),
                execution.backend,
                execution.shard,
                execution.attempt
            ));
        }
    }
    result
}

fn calls_by_key<'a>(index: &Index<'a>) -> HashMap<&'a LedgerKey, Vec<&'a CallRecord>> {
    let mut by_key: HashMap<_, Vec<_>> = HashMap::new();
    for call in &index.calls {
        if let Some(key) = &call.once_key {
            by_key.entry(key).or_default().push(*call);
        }
    }
    by_key
}

fn contradicted_key<'a>(
    index: &Index<'a>,
    refused: &CallRecord,
    key: &LedgerKey,
    calls: &[&CallRecord],
) -> Option<&'a ExecutionRecord> {
    let executions = index.ran_by_key.get(key)?;
    let contradicts = |execution: &&ExecutionRecord| {
        let began = execution.started_at.unwrap_or(execution.received_at);
        let began_before_refusal = began <= refused.finished_at;
        let belongs_to_another = calls
            .iter()
            .any(|other| !is_refused(other) && other.sent_at <= began);
        began_before_refusal || !belongs_to_another
    };
    executions
        .iter()
        .copied()
        .find(|execution| contradicts(execution))
}

fn is_refused(call: &CallRecord) -> bool {
    match &call.result {
        CallResult::Answered(answer) => answer.outcome == Outcome::NotRun,
        CallResult::NotConnected { .. } => true,
        CallResult::Broken { .. } => false,
    }
}

/// No ledger key was begun twice, and "done" means that it ran.
pub(super) fn at_most_once(index: &Index<'_>) -> CheckResult {
    let mut result = CheckResult::new(Promise::AtMostOnce);
    for (key, executions) in &index.ran_by_key {
        result.examined += 1;
        if executions.len() > 1 {
            let places: Vec<_> = executions
                .iter()
                .map(|execution| format!("{} (attempt {})", execution.backend, execution.attempt))
                .collect();
            result.violated(format!(
                "request {} of {} issued at {} ran {} times: {}",
                key.request,
                key.caller,
                key.issued_at_ms,
                executions.len(),
                places.join(", ")
            ));
        }
    }
    check_done(index, &mut result);
    result
}

fn check_done(index: &Index<'_>, result: &mut CheckResult) {
    let mut first_runs = HashMap::new();
    for (call, answer) in index.answers() {
        if call.kind != CallKind::Once || answer.outcome != Outcome::Done {
            continue;
        }
        let Some(key) = &call.once_key else {
            result.violated(format!("{}: done without a ledger key", name(call)));
            continue;
        };
        if !index.ran_by_key.contains_key(key) {
            result.violated(format!("{}: done, and no back end ran it", name(call)));
        }
        let runs: Vec<_> = answer.marks.iter().map(|mark| mark.run).collect();
        let first = first_runs.entry(key).or_insert_with(|| runs.clone());
        if *first != runs {
            result.violated(format!(
                "{}: a resend got another outcome than the first one",
                name(call)
            ));
        }
    }
}
