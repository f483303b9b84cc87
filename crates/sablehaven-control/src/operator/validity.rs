//! Validation of an operator's command, before it is proposed.

use sablehaven_schema::check_replacement;
use sablehaven_types::{ApplyCommand, Configuration};

/// The maximum length of the identifier of a command or of an operator.
const MAX_NAME_BYTES: usize = 256;
/// The maximum length of the reason that an operator gives for a command.
const MAX_REASON_BYTES: usize = 4_096;

/// Returns every reason why a command must not be proposed; none if it is valid.
///
/// `preview` is the result of the change on the `current` configuration, or `None` if the command is against another
/// version: such a command is a conflict in any case, so its change is not checked.
pub(super) fn reasons_against_command(
    command: &ApplyCommand,
    current: &Configuration,
    preview: Option<Result<Configuration, Vec<String>>>,
) -> Vec<String> {
    let mut reasons = check_lengths(command);
    match preview {
        Some(Ok(next)) => reasons.extend(check_replacement(current, &next)),
        Some(Err(errors)) => reasons.extend(errors),
        None => {}
    }
    reasons
}

/// Checks the lengths of the identifiers and of the reason.
fn check_lengths(command: &ApplyCommand) -> Vec<String> {
    let mut reasons = Vec::new();
    let mut check_name = |field: &str, name: &str| {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            let length = name.len();
            reasons.push(format!(
                "{field}: {length} bytes long, allowed are 1 to {MAX_NAME_BYTES}"
            ));
        }
    };
    check_name("command_id", command.command_id.as_str());
    check_name("operator", command.operator.as_str());
    if command.reason.len() > MAX_REASON_BYTES {
        let length = command.reason.len();
        reasons.push(format!(
            "reason: {length} bytes long, allowed are up to {MAX_REASON_BYTES}"
        ));
    }
    reasons
}
