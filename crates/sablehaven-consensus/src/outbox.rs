//! Messages that wait for the next ready.

use crate::{Message, ReplicaId};

/// Messages by whether they promise something that must be synced first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    before_sync: Vec<(ReplicaId, Message)>,
    after_sync: Vec<(ReplicaId, Message)>,
}

impl Outbox {
    /// Queues a message that may leave at once.
    pub(crate) fn before_sync(&mut self, to: ReplicaId, message: Message) {
        self.before_sync.push((to, message));
    }

    /// Queues a vote, an acknowledgement or a request for votes.
    pub(crate) fn after_sync(&mut self, to: ReplicaId, message: Message) {
        self.after_sync.push((to, message));
    }

    pub(crate) fn take_before_sync(&mut self) -> Vec<(ReplicaId, Message)> {
        std::mem::take(&mut self.before_sync)
    }

    pub(crate) fn take_after_sync(&mut self) -> Vec<(ReplicaId, Message)> {
        std::mem::take(&mut self.after_sync)
    }
}
