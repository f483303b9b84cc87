//! A queue of members' probes for a lease on their parts of the quotas, which the leader answers.

use std::sync::{Mutex, PoisonError};

use sablehaven_consensus::ReplicaId;
use tokio::sync::Notify;

use super::lease::ProbeNumber;

/// Maximum number of queued probes. Further ones are dropped; their senders probe again.
const MAX_QUEUED: usize = 256;

/// Probes that wait for the leader's next proof of leadership.
#[derive(Default)]
pub(crate) struct ProbeQueue {
    queued: Mutex<Vec<(ReplicaId, ProbeNumber)>>,
    urgent: Notify,
}

impl ProbeQueue {
    /// Queues a probe. An urgent one makes the leader start a proof of leadership at once.
    pub(crate) fn push(&self, member: ReplicaId, number: ProbeNumber, is_urgent: bool) {
        let mut queued = self.queued.lock().unwrap_or_else(PoisonError::into_inner);
        if queued.len() < MAX_QUEUED {
            queued.push((member, number));
        }
        drop(queued);
        if is_urgent {
            self.urgent.notify_one();
        }
    }

    /// Removes and returns all queued probes.
    pub(crate) fn take(&self) -> Vec<(ReplicaId, ProbeNumber)> {
        let mut queued = self.queued.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *queued)
    }

    /// Waits for an urgent probe.
    pub(crate) async fn wait_for_urgent(&self) {
        self.urgent.notified().await;
    }
}
