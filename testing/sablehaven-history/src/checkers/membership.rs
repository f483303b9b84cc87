//! A leaving back end gets no new work.

use super::index::Index;
use crate::{BackendNotice, BackendNoticeKind, CheckResult, MicrosecondsSinceEpoch, Promise};

/// After the limit, no request arrives at a back end that leaves, until it returns.
pub(super) fn leaving_backend(index: &Index<'_>, limit_ms: u64) -> CheckResult {
    let mut result = CheckResult::new(Promise::LeavingBackend);
    let leaving = index
        .notices
        .iter()
        .filter(|notice| notice.kind == BackendNoticeKind::Leaving);
    for notice in leaving {
        result.examined += 1;
        let from = notice.at + limit_ms * 1_000;
        let until = returned_at(index, notice);
        let late = index
            .executions
            .iter()
            .filter(|execution| execution.backend == notice.backend)
            .filter(|execution| (from..until).contains(&execution.received_at));
        for execution in late {
            result.violated(format!(
                "back end {} got attempt {} {} ms after it began to leave",
                notice.backend,
                execution.attempt,
                (execution.received_at - notice.at) / 1_000
            ));
        }
    }
    result
}

fn returned_at(index: &Index<'_>, leaving: &BackendNotice) -> MicrosecondsSinceEpoch {
    index
        .notices
        .iter()
        .filter(|notice| notice.kind == BackendNoticeKind::Returned)
        .filter(|notice| notice.backend == leaving.backend && notice.at >= leaving.at)
        .map(|notice| notice.at)
        .min()
        .unwrap_or(MicrosecondsSinceEpoch::MAX)
}
