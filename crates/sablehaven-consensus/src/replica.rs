//! The replica: its public interface.

use crate::{
    Config, MembershipChange, MembershipError, Message, NotLeader, Position, Ready, ReplicaId,
    Restored, Snapshot, SnapshotMetadata, Status, TransferError,
};

/// One replica of one group.
#[derive(Debug)]
pub struct Replica;

#[allow(clippy::unimplemented, unused_variables)]
impl Replica {
    /// A replica that starts from what its disk holds.
    pub fn new(config: Config, id: ReplicaId, restored: Restored) -> Self {
        Self
    }
    /// Lets one tick pass.
    pub fn tick(&mut self) {}
    /// Takes a message of another replica.
    pub fn receive(&mut self, from: ReplicaId, message: Message) {}
    /// Appends commands; answers where the last one stands.
    pub fn propose(&mut self, commands: Vec<Vec<u8>>) -> Result<Position, NotLeader> {
        unimplemented!()
    }
    /// Starts a change of the members.
    pub fn change_membership(
        &mut self,
        change: MembershipChange,
    ) -> Result<Position, MembershipError> {
        unimplemented!()
    }
    /// Asks for a linearizable read; answered in [`Ready::reads`] or [`Ready::refused_reads`].
    pub fn read_index(&mut self, token: u64) -> Result<(), NotLeader> {
        unimplemented!()
    }
    /// Hands leadership over.
    pub fn transfer_leadership(&mut self, to: ReplicaId) -> Result<(), TransferError> {
        unimplemented!()
    }
    /// What is to be done now.
    pub fn take_ready(&mut self) -> Ready {
        unimplemented!()
    }
    /// The writes of every ready up to this number are synced.
    pub fn persisted(&mut self, number: u64) {}
    /// Where a snapshot of the state machine at `index` stands; none unless `index` is handed out.
    pub fn snapshot_metadata(&self, index: u64) -> Option<SnapshotMetadata> {
        unimplemented!()
    }
    /// A snapshot is synced; entries before it may be dropped.
    pub fn compacted(&mut self, metadata: &SnapshotMetadata) {}
    /// The snapshot that [`Ready::needs_snapshot`] asks for.
    pub fn provide_snapshot(&mut self, snapshot: Snapshot) {}
    /// The replica's state.
    pub fn status(&self) -> Status {
        unimplemented!()
    }
}
