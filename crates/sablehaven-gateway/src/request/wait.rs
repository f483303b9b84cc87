//! When a query over shards is answered, as a pure decision.
//!
//! An answer after its aim is worth little, one with a share of its shards the square of the share:
//! so shortly before the aim what is in is answered, if it is enough to be an answer at all.

use std::time::Duration;

/// How far a query is. Times count from its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Progress {
    pub(super) shards: usize,
    /// The least number of shards that makes an answer.
    pub(super) least: usize,
    pub(super) arrived: usize,
    /// Shards that will not come.
    pub(super) failed: usize,
    pub(super) elapsed: Duration,
    /// When an answer must leave to be in time.
    pub(super) due: Duration,
    /// When the request is given up.
    pub(super) limit: Duration,
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Next {
    /// Answer with what is in.
    Answer,
    /// Too many shards will not come.
    Fail,
    /// The time is over with too few shards.
    OutOfTime,
    /// Wait for the next shard, but not longer than this.
    WaitUntil(Duration),
}

pub(super) fn next(progress: &Progress) -> Next {
    let is_enough = progress.arrived >= progress.least;
    let is_settled = progress.arrived + progress.failed >= progress.shards;
    if is_settled && is_enough {
        return Next::Answer;
    }
    if progress.shards - progress.failed < progress.least {
        return Next::Fail;
    }
    if is_enough && progress.elapsed >= progress.due.min(progress.limit) {
        return Next::Answer;
    }
    if progress.elapsed >= progress.limit {
        return Next::OutOfTime;
    }
    if is_enough {
        return Next::WaitUntil(progress.due.min(progress.limit));
    }
    Next::WaitUntil(progress.limit)
}

#[cfg(test)]
mod tests;
