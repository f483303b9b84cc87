//! An answer before it is encoded for the caller.

use std::time::Duration;

use prost_reflect::DynamicMessage;
use sablehaven_types::{Coverage, Outcome, SnapshotId};

use crate::reason::Reason;

/// The answer to one request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// What became of the request.
    pub outcome: Outcome,
    /// Why, where the outcome is not `Done`.
    pub reason: Option<Reason>,
    /// The snapshot that the request pinned.
    pub snapshot: Option<SnapshotId>,
    /// The shards that the answer covers (queries only).
    pub coverage: Option<Coverage>,
    /// When the caller may come back, where that is of use.
    pub retry_after: Option<Duration>,
    /// The method's own reply.
    pub body: Option<DynamicMessage>,
}

impl Answer {
    /// An answer with a reply.
    pub fn done(body: DynamicMessage) -> Self {
        Self {
            outcome: Outcome::Done,
            reason: None,
            snapshot: None,
            coverage: None,
            retry_after: None,
            body: Some(body),
        }
    }

    /// An answer without a reply.
    pub fn without_reply(reason: Reason) -> Self {
        Self {
            outcome: reason.outcome(),
            reason: Some(reason),
            snapshot: None,
            coverage: None,
            retry_after: None,
            body: None,
        }
    }

    /// The same answer with the time after which the caller may come back.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// The same answer with the snapshot that was pinned.
    pub fn with_snapshot(mut self, snapshot: SnapshotId) -> Self {
        self.snapshot = Some(snapshot);
        self
    }
}
