//! Commands and readings of the configuration are linearizable (Herlihy and Wing 1990).
//!
//! The object is a register of versions with compare-and-set: a command that expects version v - 1
//! makes version v or is refused. Every reply names the state that it saw, so each operation has a
//! known position in the order of states: a reading or refusal that saw version v stands at 2v, the
//! command that made version v at 2v - 1. Such a history is linearizable exactly if
//!
//! - no version was made by two commands, and no command made two versions;
//! - positions never run against real time: an operation that finished before another was sent
//!   does not stand behind it;
//! - every version that was seen was made by a command that may have made it: one that was accepted
//!   as that version, or one without reply that expected the version before, in either case sent
//!   before the version was seen.
//!
//! The second condition suffices for the order because positions are totally ordered and
//! operations at one position commute.

use std::collections::{BTreeMap, HashMap};

use sablehaven_types::CommandId;

use super::index::Index;
use crate::{CheckResult, MicrosecondsSinceEpoch, OperatorCall, OperatorResult, Promise};

pub(super) fn check(index: &Index<'_>) -> CheckResult {
    let mut result = CheckResult::new(Promise::ConfigurationLinearizable);
    result.examined = index.operator.len() as u64;
    check_commands(index, &mut result);
    check_real_time(index, &mut result);
    check_origins(index, &mut result);
    result
}

/// The version that a reply saw or made; `None` where the reply says nothing.
fn version_of(call: &OperatorCall) -> Option<u64> {
    match call.result {
        OperatorResult::Accepted { version } | OperatorResult::Read { version } => Some(version),
        OperatorResult::Conflict { current_version } => Some(current_version),
        OperatorResult::Invalid | OperatorResult::NoReply => None,
    }
}

fn check_commands(index: &Index<'_>, result: &mut CheckResult) {
    let mut makers = HashMap::new();
    let mut made = HashMap::new();
    for call in &index.operator {
        let (Some(command), OperatorResult::Accepted { version }) = (&call.command, call.result)
        else {
            continue;
        };
        if version != call.expected_version + 1 {
            result.violated(format!(
                "command {command} expected version {} and made version {version}",
                call.expected_version
            ));
        }
        if *makers.entry(version).or_insert(command) != command {
            result.violated(format!(
                "version {version} was made by two commands, one is {command}"
            ));
        }
        if *made.entry(command).or_insert(version) != version {
            result.violated(format!(
                "command {command} made two versions, one is {version}"
            ));
        }
    }
    check_refused_commands(index, &made, result);
}

/// A conflict means that the state was not the expected one, and that the command made nothing.
fn check_refused_commands(
    index: &Index<'_>,
    made: &HashMap<&CommandId, u64>,
    result: &mut CheckResult,
) {
    for call in &index.operator {
        let (Some(command), OperatorResult::Conflict { current_version }) =
            (&call.command, call.result)
        else {
            continue;
        };
        if current_version == call.expected_version {
            result.violated(format!(
                "command {command} was refused although version {current_version} was the one it expected"
            ));
        }
        if let Some(version) = made.get(command) {
            result.violated(format!(
                "command {command} was refused and made version {version}"
            ));
        }
    }
}

/// An operation with its place in the order of states.
#[derive(Clone)]
struct Operation {
    what: String,
    position: u64,
    sent_at: MicrosecondsSinceEpoch,
    finished_at: MicrosecondsSinceEpoch,
    version: u64,
}

/// Readings and refusals one by one; an accepted command with its resends as one operation, which
/// took effect after the first sending and before the first reply that says so.
fn operations(index: &Index<'_>) -> Vec<Operation> {
    let mut operations: Vec<Operation> = Vec::new();
    let mut accepted: HashMap<&CommandId, usize> = HashMap::new();
    let mut first_sent: HashMap<&CommandId, MicrosecondsSinceEpoch> = HashMap::new();
    for call in &index.operator {
        if let Some(command) = &call.command {
            let first = first_sent.entry(command).or_insert(call.sent_at);
            *first = call.sent_at.min(*first);
        }
    }
    for call in &index.operator {
        let Some(mut operation) = operation(call) else {
            continue;
        };
        let (Some(command), OperatorResult::Accepted { .. }) = (&call.command, call.result) else {
            operations.push(operation);
            continue;
        };
        operation.sent_at = first_sent[command];
        match accepted.get(command) {
            Some(&place) => {
                let first: &mut Operation = &mut operations[place];
                first.finished_at = first.finished_at.min(operation.finished_at);
            }
            None => {
                accepted.insert(command, operations.len());
                operations.push(operation);
            }
        }
    }
    operations
}

fn operation(call: &OperatorCall) -> Option<Operation> {
    let version = version_of(call)?;
    let position = match call.result {
        OperatorResult::Accepted { .. } => (2 * version).saturating_sub(1),
        _ => 2 * version,
    };
    let command = call.command.as_ref();
    Some(Operation {
        what: command.map_or("a reading".to_owned(), |command| {
            format!("command {command}")
        }),
        position,
        sent_at: call.sent_at,
        finished_at: call.finished_at,
        version,
    })
}

fn check_real_time(index: &Index<'_>, result: &mut CheckResult) {
    let mut by_start = operations(index);
    let mut by_end = by_start.clone();
    by_start.sort_by_key(|operation| operation.sent_at);
    by_end.sort_by_key(|operation| operation.finished_at);
    let mut ended = by_end.into_iter().peekable();
    let mut newest = 0;
    let mut newest_version = 0;
    for operation in by_start {
        while let Some(before) = ended.next_if(|other| other.finished_at < operation.sent_at) {
            if before.position > newest {
                newest = before.position;
                newest_version = before.version;
            }
        }
        if operation.position < newest {
            result.violated(format!(
                "{} saw version {} after version {newest_version} had been seen",
                operation.what, operation.version
            ));
        }
    }
}

fn check_origins(index: &Index<'_>, result: &mut CheckResult) {
    let mut first_seen: BTreeMap<u64, MicrosecondsSinceEpoch> = BTreeMap::new();
    for call in &index.operator {
        if let Some(version) = version_of(call) {
            let seen = first_seen.entry(version).or_insert(call.finished_at);
            *seen = call.finished_at.min(*seen);
        }
    }
    // Seeing a version is seeing all before it.
    let mut seen_by = MicrosecondsSinceEpoch::MAX;
    let newest = first_seen
        .last_key_value()
        .map_or(0, |(version, _)| *version);
    let first_made = smallest_expected(index).map_or(1, |version| version + 1);
    for version in (first_made..=newest).rev() {
        seen_by = seen_by.min(first_seen.get(&version).copied().unwrap_or(seen_by));
        if !index
            .operator
            .iter()
            .any(|call| may_have_made(call, version, seen_by))
        {
            result.violated(format!(
                "version {version} was seen, and no command can have made it"
            ));
        }
    }
}

/// Versions before the first command that was sent come from before the history.
fn smallest_expected(index: &Index<'_>) -> Option<u64> {
    let commands = index.operator.iter().filter(|call| call.command.is_some());
    commands.map(|call| call.expected_version).min()
}

fn may_have_made(call: &OperatorCall, version: u64, seen_by: MicrosecondsSinceEpoch) -> bool {
    let result_fits = match call.result {
        OperatorResult::Accepted { version: made } => made == version,
        OperatorResult::NoReply => call.expected_version + 1 == version,
        _ => false,
    };
    call.command.is_some() && result_fits && call.sent_at <= seen_by
}
