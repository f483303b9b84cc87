//! The answer to a request, before it is encoded for the caller.

use std::time::Duration;

use prost_reflect::DynamicMessage;
use sablehaven_types::{Coverage, Outcome, SnapshotId};

use crate::reason::Reason;

/// The answer to one request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Why the answer carries no reply.
    pub reason: Option<Reason>,
    /// The snapshot pinned by the request.
    pub snapshot: Option<SnapshotId>,
    /// The shards that the answer covers (queries only).
    pub coverage: Option<Coverage>,
    /// The delay before a retry, if a retry can help.
    pub retry_after: Option<Duration>,
    /// The reply message of the method.
    pub body: Option<DynamicMessage>,
}

impl Answer {
    /// Creates an answer with a reply.
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

    /// Creates an answer without a reply.
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

    /// Sets the delay before a retry.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Sets the pinned snapshot.
    pub fn with_snapshot(mut self, snapshot: SnapshotId) -> Self {
        self.snapshot = Some(snapshot);
        self
    }
}
