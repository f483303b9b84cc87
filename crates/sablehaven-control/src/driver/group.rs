//! One consensus group of this replica: the log's replica, its state machine, and who waits for it.

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

/// Ledger calls that one group may have open; more are refused at once.
const MAX_OPEN_LEDGER_CALLS: usize = 16_384;

/// Longest command that begins a change of the members, in bytes: it names a few replicas and addresses. Longer ones are
/// not decoded a second time to look.
const MAX_CHANGE_COMMAND_BYTES: usize = 1_024;

/// One consensus group of this replica.
pub(crate) struct Group {
    pub(crate) number: u32,
    pub(crate) replica: Replica,
    pub(crate) machine: StateMachine,
    /// The last entry that the state machine has applied.
    pub(crate) applied: u64,
    /// The members at that entry.
    pub(crate) applied_membership: Membership,
    pub(crate) pending: PendingProposals,
    pub(crate) snapshots: SnapshotSchedule,
    queued_requests: Vec<LedgerRequest>,
    queued_calls: Vec<LedgerCall>,
    /// As of the latest tick.
    pub(crate) is_leader: bool,
    pub(crate) last_transfer: Option<Instant>,
    /// The last entry of the log that may begin a change of the members.
    last_change_index: u64,
}

/// When the next snapshot of a group is due.
#[derive(Debug, Default)]
pub(crate) struct SnapshotSchedule {
    /// The last entry in the latest snapshot.
    pub(crate) index: u64,
    /// Command bytes applied since.
    pub(crate) command_bytes: u64,
    /// Whether one is being written.
    pub(crate) is_running: bool,
    /// Whether the storage asks for one, to free old segments.
    pub(crate) is_requested: bool,
    /// When one could last not be written.
    pub(crate) failed_at: Option<Instant>,
}

impl Group {
    /// A group from what its disk holds.
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

    /// Proposes a command of group 0.
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

    /// Proposes one of the driver's own commands; lost ones are proposed again by whoever leads.
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

    /// Queues a ledger call for the next batch, or refuses it at once when too many are open.
    pub(crate) fn queue_call(&mut self, call: u64, request: LedgerRequest, replies: LedgerReplies) {
        let call = LedgerCall { call, replies };
        if self.pending.ledger_calls() + self.queued_calls.len() >= MAX_OPEN_LEDGER_CALLS {
            refuse_calls(vec![call]);
            return;
        }
        self.queued_requests.push(request);
        self.queued_calls.push(call);
    }

    /// Opens a new ledger. Called before the first calls are proposed, so that in the log of a new
    /// ledger its opening always comes first; a second opening changes nothing.
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

    /// Proposes the queued calls as one entry.
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

    /// Applies what a ready hands out.
    pub(crate) fn apply(&mut self, ready: &mut Ready) -> Result<(), CodecError> {
        if let Some(snapshot) = &ready.snapshot {
            self.install(snapshot)?;
        }
        for entry in std::mem::take(&mut ready.committed) {
            self.apply_entry(entry)?;
        }
        Ok(())
    }

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

    /// The state machine's snapshot at the last applied entry, if it stands at one.
    pub(crate) fn take_snapshot(&self) -> Result<Option<Snapshot>, CodecError> {
        let Some(metadata) = self.replica.snapshot_metadata(self.applied) else {
            return Ok(None);
        };
        let data = self.machine.snapshot()?;
        Ok(Some(Snapshot { metadata, data }))
    }

    /// A snapshot is in force on the disk.
    pub(crate) fn compacted(&mut self, metadata: &SnapshotMetadata) {
        self.replica.compacted(metadata);
        self.snapshots.index = self.snapshots.index.max(metadata.index);
        self.snapshots.is_running = false;
        self.snapshots.is_requested = false;
    }

    /// Whether the replica holds nothing: no members, no log, no vote.
    pub(crate) fn is_blank(&self) -> bool {
        let status = self.replica.status();
        status.last_index == 0 && status.term == 0 && status.membership.voters.is_empty()
    }

    /// Notes which entries that come into the log may begin a change of the members.
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

    pub(crate) fn has_leader_role(&self) -> bool {
        self.replica.status().role == Role::Leader
    }
}

/// Whether an entry begins a change of the members, or cannot be read.
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
