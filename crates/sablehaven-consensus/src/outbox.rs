//! Messages queued for the next ready.

use crate::{Message, ReplicaId};

/// The queued messages, divided by whether they depend on a write that must be synced first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    before_sync: Vec<(ReplicaId, Message)>,
    after_sync: Vec<(ReplicaId, Message)>,
}

impl Outbox {
    /// Queues a message that may be sent before the sync.
    pub(crate) fn send_before_sync(&mut self, to: ReplicaId, message: Message) {
        self.before_sync.push((to, message));
    }

    /// Queues a message that must be sent after the sync: a vote, an acknowledgement or a vote
    /// request.
    pub(crate) fn send_after_sync(&mut self, to: ReplicaId, message: Message) {
        self.after_sync.push((to, message));
    }

    pub(crate) fn take_before_sync(&mut self) -> Vec<(ReplicaId, Message)> {
        std::mem::take(&mut self.before_sync)
    }

    pub(crate) fn take_after_sync(&mut self) -> Vec<(ReplicaId, Message)> {
        std::mem::take(&mut self.after_sync)
    }
}
