//! An accepted configuration is in force in time and never reverts.

use std::collections::BTreeMap;

use sablehaven_types::{ConfigurationAge, Outcome};

use super::index::{Index, name};
use crate::{
    CallAnswer, CallRecord, CheckResult, MicrosecondsSinceEpoch, OperatorCall, OperatorResult,
    Promise,
};

/// An accepted version with the moment at which an operator knew of it.
struct Accepted {
    version: u64,
    known_at: MicrosecondsSinceEpoch,
}

fn accepted(index: &Index<'_>) -> Vec<Accepted> {
    let accepted = index.operator.iter().filter_map(|call| match call.result {
        OperatorResult::Accepted { version } => Some(Accepted {
            version,
            known_at: call.finished_at,
        }),
        _ => None,
    });
    accepted.collect()
}

/// Answers to calls sent later than the limit after an acceptance are made under that version or a
/// newer one. An older version is excused only while a fault touches the process, and then the
/// answer must say that its configuration is not known to be current.
pub(super) fn in_force(index: &Index<'_>, limit_ms: u64) -> CheckResult {
    let mut result = CheckResult::new(Promise::ConfigurationInForce);
    for accepted in accepted(index) {
        result.examined += 1;
        let due = accepted.known_at + limit_ms * 1_000;
        for (call, answer) in index.answers() {
            let age = answer.configuration;
            let is_newer = age.version >= accepted.version;
            if call.sent_at < due || is_newer || has_no_configuration(answer) {
                continue;
            }
            if age.current || !is_excused(index, call, limit_ms) {
                result.violated(describe_late(call, age, accepted.version, limit_ms));
            }
        }
    }
    result
}

/// A process that has just started and has no configuration yet runs nothing and says so; such an
/// answer is not made under an old version.
fn has_no_configuration(answer: &CallAnswer) -> bool {
    answer.configuration.version == 0 && answer.outcome == Outcome::NotRun
}

fn describe_late(call: &CallRecord, age: ConfigurationAge, version: u64, limit_ms: u64) -> String {
    format!(
        "{}: answered under version {} (said to be current: {}) more than {limit_ms} ms after version {version} was accepted",
        name(call),
        age.version,
        age.current
    )
}

/// Whether a fault touched the process during the call or ended less than the limit before it.
fn is_excused(index: &Index<'_>, call: &CallRecord, limit_ms: u64) -> bool {
    index.faults.iter().any(|fault| {
        let touches = fault.processes.contains(&call.process);
        let until = fault.until.map_or(MicrosecondsSinceEpoch::MAX, |until| {
            until + limit_ms * 1_000
        });
        touches && fault.from <= call.finished_at && call.sent_at <= until
    })
}

/// No process goes back to an older version, and no accepted command is missing from the history
/// as read after the run.
pub(super) fn never_reverts(index: &Index<'_>) -> CheckResult {
    let mut result = CheckResult::new(Promise::ConfigurationNeverReverts);
    check_processes(index, &mut result);
    check_readings(index, &mut result);
    result
}

/// A call sent after another one had finished at the same process sees the same version or a newer.
fn check_processes(index: &Index<'_>, result: &mut CheckResult) {
    let mut by_process: BTreeMap<&str, Vec<(&CallRecord, u64)>> = BTreeMap::new();
    let answers = index.answers();
    for (call, answer) in answers.filter(|(_, answer)| !has_no_configuration(answer)) {
        let seen = by_process.entry(&call.process).or_default();
        seen.push((call, answer.configuration.version));
    }
    for mut calls in by_process.into_values() {
        result.examined += calls.len() as u64;
        let mut by_end = calls.clone();
        by_end.sort_by_key(|(call, _)| call.finished_at);
        calls.sort_by_key(|(call, _)| call.sent_at);
        let mut ended = by_end.into_iter().peekable();
        let mut newest = 0;
        for (call, version) in calls {
            while let Some((_, version)) =
                ended.next_if(|(other, _)| other.finished_at < call.sent_at)
            {
                newest = newest.max(version);
            }
            if version < newest {
                result.violated(format!(
                    "{}: answered under version {version} after version {newest}",
                    name(call)
                ));
            }
        }
    }
}

fn check_readings(index: &Index<'_>, result: &mut CheckResult) {
    for reading in &index.readings {
        let by_version: BTreeMap<_, _> = reading
            .commands
            .iter()
            .map(|command| (command.version, command))
            .collect();
        if by_version.len() != reading.commands.len() {
            result.violated("the history names one version twice".to_owned());
        }
        // The history is bounded: commands older than its first one cannot be looked for.
        let Some((&oldest, _)) = by_version.first_key_value() else {
            continue;
        };
        let due = index
            .operator
            .iter()
            .filter(|call| call.finished_at <= reading.at);
        for call in due {
            let OperatorResult::Accepted { version } = call.result else {
                continue;
            };
            result.examined += 1;
            let recorded = by_version.get(&version).map(|record| &record.command_id);
            if version >= oldest && recorded != call.command.as_ref() {
                result.violated(describe_lost(call, version));
            }
        }
    }
}

fn describe_lost(call: &OperatorCall, version: u64) -> String {
    let command = call.command.as_ref().map_or("", |command| command.as_str());
    format!("command {command} was accepted as version {version}, and the history does not show it")
}
