//! Decides when a query over shards is answered. The decision is a pure function.
//!
//! A response after the latency target is worth little, and one with a fraction of its shards is worth the square of
//! that fraction. Therefore the replies that have arrived shortly before the latency target are returned, if they
//! reach the minimum number of shards.

use std::time::Duration;

/// Progress of a query. Times are relative to its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Progress {
    pub(super) shards: usize,
    /// Minimum number of shards for a response.
    pub(super) min_shards: usize,
    pub(super) arrived: usize,
    /// Shards that were given up.
    pub(super) failed: usize,
    pub(super) elapsed: Duration,
    /// When a response must be sent to meet the latency target.
    pub(super) due: Duration,
    /// When the request is given up.
    pub(super) limit: Duration,
}

/// What the query does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextStep {
    /// Respond with the replies that have arrived.
    Answer,
    /// Refuse the query, since too many shards were given up.
    Fail,
    /// Refuse the query, since the limit has passed with too few shards.
    DeadlineExceeded,
    /// Wait for the next shard, but no longer than this.
    WaitUntil(Duration),
}

/// Decides what a query does next.
pub(super) fn next_step(progress: &Progress) -> NextStep {
    let is_enough = progress.arrived >= progress.min_shards;
    let is_settled = progress.arrived + progress.failed >= progress.shards;
    if is_settled && is_enough {
        return NextStep::Answer;
    }
    if progress.shards - progress.failed < progress.min_shards {
        return NextStep::Fail;
    }
    if is_enough && progress.elapsed >= progress.due.min(progress.limit) {
        return NextStep::Answer;
    }
    if progress.elapsed >= progress.limit {
        return NextStep::DeadlineExceeded;
    }
    if is_enough {
        return NextStep::WaitUntil(progress.due.min(progress.limit));
    }
    NextStep::WaitUntil(progress.limit)
}

#[cfg(test)]
mod tests;
