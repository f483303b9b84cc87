//! Questions of members whether they may keep their parts, until the leader answers them.

use std::sync::{Mutex, PoisonError};

use sablehaven_consensus::ReplicaId;
use tokio::sync::Notify;

use super::lease::ProbeNumber;

/// The most questions that wait; more are dropped, and replicas ask again.
const MAXIMUM_WAITING: usize = 256;

/// Questions that wait for the leader's next proof.
#[derive(Default)]
pub(crate) struct ProbeQueue {
    waiting: Mutex<Vec<(ReplicaId, ProbeNumber)>>,
    urgent: Notify,
}

impl ProbeQueue {
    /// Takes a question; an urgent one has the leader prove at once that it leads.
    pub(crate) fn push(&self, member: ReplicaId, number: ProbeNumber, is_urgent: bool) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.len() < MAXIMUM_WAITING {
            waiting.push((member, number));
        }
        drop(waiting);
        if is_urgent {
            self.urgent.notify_one();
        }
    }

    /// The questions that have come.
    pub(crate) fn take(&self) -> Vec<(ReplicaId, ProbeNumber)> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *waiting)
    }

    /// Waits for an urgent question.
    pub(crate) async fn wait_for_urgent(&self) {
        self.urgent.notified().await;
    }
}
