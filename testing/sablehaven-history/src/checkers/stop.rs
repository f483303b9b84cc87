//! A planned stop interrupts nothing.

use super::index::{Index, name};
use crate::{CallResult, CheckResult, Promise};

/// The process exits by itself with code 0, and no call that had been sent to it breaks.
///
/// A call sent after the process had stopped accepting finds no connection, which interrupts
/// nothing; a call that was sent and got no whole answer was interrupted, whenever it was sent.
pub(super) fn planned(index: &Index<'_>) -> CheckResult {
    let mut result = CheckResult::new(Promise::PlannedStop);
    for stop in &index.stops {
        result.examined += 1;
        if stop.exit_code != Some(0) {
            result.violated(format!(
                "{} ended with {:?} in place of code 0",
                stop.process, stop.exit_code
            ));
        }
        let concerned = index
            .calls
            .iter()
            .filter(|call| call.process == stop.process)
            .filter(|call| call.finished_at >= stop.asked_at && call.sent_at <= stop.exited_at);
        for call in concerned {
            if let CallResult::Broken { error } = &call.result {
                result.violated(format!(
                    "{}: interrupted by the planned stop of {}: {error}",
                    name(call),
                    stop.process
                ));
            }
        }
    }
    result
}
