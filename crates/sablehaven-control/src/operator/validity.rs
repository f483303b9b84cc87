//! Whether a change of the configuration is valid, checked before it is proposed.

use sablehaven_schema::check_replacement;
use sablehaven_types::{ApplyCommand, Configuration};

/// Longest identifier of a command or an operator, in bytes.
const MAXIMUM_NAME_BYTES: usize = 256;
/// Longest reason, in bytes.
const MAXIMUM_REASON_BYTES: usize = 4_096;

/// Every reason why a command must not be proposed, where `next` is what its change makes of the
/// `current` configuration; `None` where the command is against another version and is a conflict anyway.
pub(super) fn reasons_against(
    command: &ApplyCommand,
    current: &Configuration,
    next: Option<Result<Configuration, Vec<String>>>,
) -> Vec<String> {
    let mut reasons = check_command(command);
    match next {
        Some(Ok(next)) => reasons.extend(check_replacement(current, &next)),
        Some(Err(found)) => reasons.extend(found),
        None => {}
    }
    reasons
}

fn check_command(command: &ApplyCommand) -> Vec<String> {
    let mut reasons = Vec::new();
    let mut check_name = |what: &str, name: &str| {
        if name.is_empty() || name.len() > MAXIMUM_NAME_BYTES {
            let length = name.len();
            reasons.push(format!(
                "{what}: {length} bytes long, allowed are 1 to {MAXIMUM_NAME_BYTES}"
            ));
        }
    };
    check_name("command_id", command.command_id.as_str());
    check_name("operator", command.operator.as_str());
    if command.reason.len() > MAXIMUM_REASON_BYTES {
        let length = command.reason.len();
        reasons.push(format!(
            "reason: {length} bytes long, allowed are up to {MAXIMUM_REASON_BYTES}"
        ));
    }
    reasons
}
