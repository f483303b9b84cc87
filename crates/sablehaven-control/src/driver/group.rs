//! One consensus group on this replica: its Raft replica, its state machine, and the callers that wait for its
//! proposals.

use std::time::Instant;

use sablehaven_consensus::{
    Entry, EntryPayload, Membership, Position, Ready, Replica, Role, Snapshot, SnapshotMetadata,
};
use sablehaven_storage::RestoredGroup;
use sablehaven_types::LedgerRequest;

use super::{
    input::{LedgerReplies, ProposeError, SharedResponder},
    machine::StateMachine,
    pending::{LedgerCall, PendingProposals, Responder, refuse_calls},
    status::GroupState,
};
use crate::{
    clock,
    codec::{self, CodecError},
    ledger::{LedgerCommand, LedgerLimits},
    replicas::ReplicasCommand,
    shared::SharedCommand,
};

/// The most ledger calls that one group may have queued or proposed; further calls are refused immediately.
const MAX_OPEN_LEDGER_CALLS: usize = 16_384;

/// The maximum size of a command that begins a membership change, in bytes. Such a command contains only a few replica
/// identifiers and addresses. Longer commands are therefore not decoded a second time to check what they are.
const MAX_CHANGE_COMMAND_BYTES: usize = 1_024;

/// One consensus group on this replica.
pub(crate) struct Group {
    pub(crate) number: u32,
    pub(crate) replica: Replica,
    pub(crate) machine: StateMachine,
    /// The index of the last entry that the state machine has applied.
    pub(crate) applied: u64,
    /// The membership as of the last applied entry.
    pub(crate) applied_membership: Membership,
    pub(crate) pending: PendingProposals,
    pub(crate) snapshots: SnapshotSchedule,
    queued_requests: Vec<LedgerRequest>,
    queued_calls: Vec<LedgerCall>,
    /// Whether this replica led the group at the latest tick.
    pub(crate) is_leader: bool,
    /// When leadership was last transferred to co-locate the leaders of all groups.
    pub(crate) last_transfer: Option<Instant>,
    /// The index of the last log entry that may begin a membership change. After a restart, that of the last stored
    /// entry.
    last_change_index: u64,
}

/// The state that determines when the next snapshot of a group is due.
#[derive(Debug, Default)]
pub(crate) struct SnapshotSchedule {
    /// The index of the last entry in the latest snapshot.
    pub(crate) index: u64,
    /// The total size of the commands that were applied since the latest snapshot.
    pub(crate) command_bytes: u64,
    /// Whether a snapshot is being written.
    pub(crate) is_running: bool,
    /// Whether the storage requests a snapshot so that it can delete old log segments.
    pub(crate) is_requested: bool,
    /// When writing a snapshot last failed.
    pub(crate) failed_at: Option<Instant>,
}

impl Group {
    /// Restores a group from its stored log and snapshot.
    pub(crate) fn new(
        number: u32,
        replica: Replica,
        mut machine: StateMachine,
        stored: &RestoredGroup,
    ) -> Result<Self, CodecError> {
        if let Some(data) = &stored.snapshot_data {
            machine.restore(data)?;
        }
        let snapshot = &stored.restored.snapshot;
        Ok(Self {
            number,
            replica,
            machine,
            applied: snapshot.index,
            applied_membership: snapshot.membership.clone(),
            pending: PendingProposals::default(),
            snapshots: SnapshotSchedule {
                index: snapshot.index,
                ..SnapshotSchedule::default()
            },
            queued_requests: Vec::new(),
            queued_calls: Vec::new(),
            is_leader: false,
            last_transfer: None,
            last_change_index: stored
                .restored
                .entries
                .last()
                .map_or(0, |entry| entry.index),
        })
    }

    /// Proposes a command to group 0 and sends its outcome to `respond` once the command is applied.
    pub(crate) fn propose_shared(&mut self, command: &SharedCommand, respond: SharedResponder) {
        let encoded = match codec::encode("encode shared command", command) {
            Ok(encoded) => encoded,
            Err(error) => {
                let reason = error.to_string();
                let _ = respond.send(Err(ProposeError::Encode { reason }));
                return;
            }
        };
        match self.replica.propose(vec![encoded]) {
            Ok(position) => self.pending.push(position, Responder::Shared(respond)),
            Err(_) => {
                let _ = respond.send(Err(ProposeError::NotLeader));
            }
        }
    }

    /// Proposes a command of the driver itself, for which no caller waits. If the command is lost, a later tick of the
    /// current leader proposes it again.
    pub(crate) fn propose_internal(&mut self, command: &SharedCommand) {
        let encoded = match codec::encode("encode shared command", command) {
            Ok(encoded) => encoded,
            Err(error) => {
                log::error!("{error}");
                return;
            }
        };
        if let Ok(position) = self.replica.propose(vec![encoded]) {
            self.pending.push(position, Responder::None);
        }
    }

    /// Queues a ledger call for the next batch, or refuses it immediately if too many calls are open.
    pub(crate) fn queue_call(&mut self, call: u64, request: LedgerRequest, replies: LedgerReplies) {
        let call = LedgerCall { call, replies };
        if self.pending.ledger_calls() + self.queued_calls.len() >= MAX_OPEN_LEDGER_CALLS {
            refuse_calls(vec![call]);
            return;
        }
        self.queued_requests.push(request);
        self.queued_calls.push(call);
    }

    /// Proposes the command that opens a new ledger. Must be called before the first calls are proposed, so that this
    /// command comes first in the log of a new ledger. Opening a ledger a second time has no effect.
    pub(crate) fn open_ledger(&mut self) {
        if !self.machine.is_unopened_ledger() || !self.pending.is_empty() {
            return;
        }
        let command = LedgerCommand::Open {
            proposed_at_ms: clock::unix_ms(),
        };
        match codec::encode("encode ledger command", &command) {
            Ok(encoded) => {
                if let Ok(position) = self.replica.propose(vec![encoded]) {
                    self.pending.push(position, Responder::None);
                }
            }
            Err(error) => log::error!("{error}"),
        }
    }

    /// Proposes all queued calls as one log entry.
    pub(crate) fn propose_queued_calls(&mut self, limits: &LedgerLimits) {
        if self.queued_calls.is_empty() {
            return;
        }
        self.open_ledger();
        let calls = std::mem::take(&mut self.queued_calls);
        let command = LedgerCommand::Batch {
            proposed_at_ms: clock::unix_ms(),
            limits: *limits,
            requests: std::mem::take(&mut self.queued_requests),
        };
        let encoded = match codec::encode("encode ledger command", &command) {
            Ok(encoded) => encoded,
            Err(error) => {
                log::error!("{error}");
                refuse_calls(calls);
                return;
            }
        };
        match self.replica.propose(vec![encoded]) {
            Ok(position) => self.pending.push(position, Responder::Ledger(calls)),
            Err(_) => refuse_calls(calls),
        }
    }

    /// Applies the snapshot and the committed entries of a [`Ready`].
    pub(crate) fn apply(&mut self, ready: &mut Ready) -> Result<(), CodecError> {
        if let Some(snapshot) = &ready.snapshot {
            self.install(snapshot)?;
        }
        for entry in std::mem::take(&mut ready.committed) {
            self.apply_entry(entry)?;
        }
        Ok(())
    }

    /// Replaces the state machine by a snapshot from the leader. Fails all pending proposals: the snapshot does not
    /// tell which of them were committed.
    fn install(&mut self, snapshot: &Snapshot) -> Result<(), CodecError> {
        self.machine.restore(&snapshot.data)?;
        self.applied = snapshot.metadata.index;
        self.applied_membership = snapshot.metadata.membership.clone();
        self.snapshots.index = snapshot.metadata.index;
        self.snapshots.command_bytes = 0;
        self.pending.fail_all();
        Ok(())
    }

    fn apply_entry(&mut self, entry: Entry) -> Result<(), CodecError> {
        let position = Position {
            index: entry.index,
            term: entry.term,
        };
        match entry.payload {
            EntryPayload::Empty => {}
            EntryPayload::Membership(membership) => self.applied_membership = membership,
            EntryPayload::Command(command) => {
                self.snapshots.command_bytes += command.len() as u64;
                let outcome = self.machine.apply(entry.index, &command)?;
                self.applied = entry.index;
                if let Some(responder) = self.pending.take(position) {
                    responder.answer(outcome);
                }
                return Ok(());
            }
        }
        self.applied = entry.index;
        if let Some(responder) = self.pending.take(position) {
            responder.fail();
        }
        Ok(())
    }

    /// Takes a snapshot of the state machine at the last applied entry. Returns `None` if the log does not hold that
    /// entry.
    pub(crate) fn take_snapshot(&self) -> Result<Option<Snapshot>, CodecError> {
        let Some(metadata) = self.replica.snapshot_metadata(self.applied) else {
            return Ok(None);
        };
        let data = self.machine.snapshot()?;
        Ok(Some(Snapshot { metadata, data }))
    }

    /// Records that a snapshot has replaced the log up to its index on the disk.
    pub(crate) fn compacted(&mut self, metadata: &SnapshotMetadata) {
        self.replica.compacted(metadata);
        self.snapshots.index = self.snapshots.index.max(metadata.index);
        self.snapshots.is_running = false;
        self.snapshots.is_requested = false;
    }

    /// Whether the replica is empty: no members, no log entries, and no term, hence no vote.
    pub(crate) fn is_blank(&self) -> bool {
        let status = self.replica.status();
        status.last_index == 0 && status.term == 0 && status.membership.voters.is_empty()
    }

    /// Updates the index of the last entry that may begin a membership change from entries that are added to the log.
    pub(crate) fn track_membership_changes(&mut self, entries: &[Entry]) {
        let mut latest = entries.iter().rev();
        if let Some(last) = latest.find(|entry| may_begin_membership_change(entry)) {
            self.last_change_index = last.index;
        }
    }

    pub(crate) fn state(&self) -> GroupState {
        GroupState {
            has_unapplied_change: self.last_change_index > self.applied,
            group: self.number,
            replica: self.replica.status(),
            applied: self.applied,
        }
    }

    /// Whether this replica leads the group now, whereas `is_leader` is as of the latest tick.
    pub(crate) fn has_leader_role(&self) -> bool {
        self.replica.status().role == Role::Leader
    }
}

/// Whether an entry begins a membership change, or cannot be decoded.
fn may_begin_membership_change(entry: &Entry) -> bool {
    let EntryPayload::Command(command) = &entry.payload else {
        return false;
    };
    if command.len() > MAX_CHANGE_COMMAND_BYTES {
        return false;
    }
    let begins = |command: &SharedCommand| {
        matches!(
            command,
            SharedCommand::Replicas(ReplicasCommand::Begin { .. })
        )
    };
    codec::decode("decode stored command", command)
        .as_ref()
        .map_or(true, begins)
}
