//! One group on one control machine: the replica, its state machine, and who waits for what.

use std::collections::BTreeMap;

use sablehaven_consensus::{
    Config, Entry, EntryPayload, Position, ReadReady, Replica, ReplicaId, Snapshot,
    SnapshotMetadata,
};
use sablehaven_control::{
    codec,
    ledger::{LedgerCommand, LedgerLimits},
    shared::{SharedCommand, SharedOutcome},
};
use sablehaven_types::LedgerRequest;
use sablehaven_wire::LeaseGrant;

use crate::{
    checks::digest,
    disk::GroupFiles,
    machine::{Machine, MachineOutcome, SHARED_GROUP},
    network::NodeId,
    packet::{ControlReply, Packet},
    process::Context,
    variant::Variant,
};

/// Entries after which the state is compared between the replicas.
const STATE_CHECK_INTERVAL: u64 = 16;

/// Who waits for a reply.
#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    /// The process.
    pub node: NodeId,
    /// Its call.
    pub call: u64,
}

impl Waiter {
    /// Sends the reply.
    pub fn reply(self, context: &mut Context<'_>, reply: ControlReply) {
        let call = self.call;
        context.send(self.node, Packet::FromControl { call, reply });
    }
}

struct Proposal {
    term: u64,
    waiters: Vec<Waiter>,
}

/// What a linearizable read is for.
#[derive(Clone, Copy, Debug)]
pub enum ReadKind {
    /// A lease, with the time at which it was asked for on the own clock, in milliseconds.
    Lease {
        /// That time.
        received_ms: u64,
    },
    /// An operator's read of the version.
    Version,
}

#[derive(Clone, Copy, Debug)]
struct Read {
    waiter: Waiter,
    kind: ReadKind,
}

/// One group on one control machine.
pub struct GroupMember {
    group: u32,
    /// The replica.
    pub replica: Replica,
    /// The state machine.
    pub machine: Machine,
    applied: u64,
    last_snapshot: u64,
    proposals: BTreeMap<u64, Proposal>,
    reads: BTreeMap<u64, Read>,
    confirmed_reads: Vec<(u64, Read)>,
    read_count: u64,
    ledger_queue: Vec<(Waiter, LedgerRequest)>,
}

impl GroupMember {
    /// Starts from what the disk holds.
    pub fn start(
        group: u32,
        id: ReplicaId,
        files: GroupFiles,
        config: Config,
        variant: Option<Variant>,
    ) -> Self {
        let applied = files.restored.snapshot.index;
        let machine = Machine::restore(group, variant, &files.snapshot_data);
        let mut replica = Replica::new(config, id, files.restored);
        if let Some(rule) = variant.and_then(Variant::consensus_rule) {
            replica = replica.with_broken_rule(rule);
        }
        Self {
            group,
            replica,
            machine: machine.expect("the simulator wrote the snapshot itself"),
            applied,
            last_snapshot: applied,
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            confirmed_reads: Vec::new(),
            read_count: 0,
            ledger_queue: Vec::new(),
        }
    }

    /// Tells the waiter that this replica does not lead.
    pub fn refuse(&self, context: &mut Context<'_>, waiter: Waiter) {
        let leader = self.replica.leader();
        let leader = leader.filter(|leader| *leader != self.replica.id());
        waiter.reply(context, ControlReply::NotLeader { leader });
    }

    /// Proposes a command of group 0.
    pub fn propose_shared(
        &mut self,
        context: &mut Context<'_>,
        waiter: Option<Waiter>,
        command: &SharedCommand,
    ) {
        let encoded = codec::encode("encode shared command", command);
        let encoded = encoded.expect("commands can be encoded");
        match self.replica.propose(vec![encoded]) {
            Ok(position) => self.note_proposal(position, waiter.into_iter().collect()),
            Err(_) => waiter
                .into_iter()
                .for_each(|waiter| self.refuse(context, waiter)),
        }
    }

    fn note_proposal(&mut self, position: Position, waiters: Vec<Waiter>) {
        let term = position.term;
        self.proposals
            .insert(position.index, Proposal { term, waiters });
    }

    /// Queues a request to the ledger, to be proposed together with others.
    pub fn queue_ledger(
        &mut self,
        context: &mut Context<'_>,
        waiter: Waiter,
        request: LedgerRequest,
    ) {
        if !self.replica.is_leader() {
            self.refuse(context, waiter);
            return;
        }
        self.ledger_queue.push((waiter, request));
        if context.random.chance(500) {
            self.propose_ledger(context);
        }
    }

    /// Proposes what is queued.
    pub fn propose_ledger(&mut self, context: &mut Context<'_>) {
        if self.ledger_queue.is_empty() {
            return;
        }
        let queue = std::mem::take(&mut self.ledger_queue);
        let (waiters, requests): (Vec<Waiter>, Vec<LedgerRequest>) = queue.into_iter().unzip();
        let command = LedgerCommand::Batch {
            proposed_at_ms: context.unix_ms,
            limits: LedgerLimits {
                retention_ms: context.settings.ledger_retention_ms,
                future_ms: context.settings.ledger_future_ms,
                ..LedgerLimits::default()
            },
            requests,
        };
        let encoded = codec::encode("encode ledger command", &command);
        match self.replica.propose(vec![encoded.expect("can be encoded")]) {
            Ok(position) => self.note_proposal(position, waiters),
            Err(_) => waiters
                .into_iter()
                .for_each(|waiter| self.refuse(context, waiter)),
        }
    }

    /// Starts a linearizable read.
    pub fn start_read(&mut self, context: &mut Context<'_>, waiter: Waiter, kind: ReadKind) {
        self.read_count += 1;
        match self.replica.read_index(self.read_count) {
            Ok(()) => {
                self.reads.insert(self.read_count, Read { waiter, kind });
            }
            Err(_) => self.refuse(context, waiter),
        }
    }

    /// A quorum confirmed that this replica led; the reads wait for their index to be applied.
    pub fn reads_confirmed(&mut self, context: &mut Context<'_>, reads: &[ReadReady]) {
        for ready in reads {
            if let Some(read) = self.reads.remove(&ready.token) {
                self.confirmed_reads.push((ready.index, read));
            }
        }
        self.answer_reads(context);
    }

    /// This replica stopped leading.
    pub fn reads_refused(&mut self, context: &mut Context<'_>, tokens: &[u64]) {
        for token in tokens {
            if let Some(read) = self.reads.remove(token) {
                self.refuse(context, read.waiter);
            }
        }
    }

    fn answer_reads(&mut self, context: &mut Context<'_>) {
        let applied = self.applied;
        let (due, waiting): (Vec<_>, Vec<_>) = self
            .confirmed_reads
            .drain(..)
            .partition(|(index, _)| *index <= applied);
        self.confirmed_reads = waiting;
        for (_, read) in due {
            self.answer_read(context, read.waiter, read.kind);
        }
    }

    /// Answers a read from the state as it is.
    pub fn answer_read(&self, context: &mut Context<'_>, waiter: Waiter, kind: ReadKind) {
        let Some(state) = self.machine.shared() else {
            return;
        };
        let configuration_version = state.configuration().current().version;
        let reply = match kind {
            ReadKind::Version => ControlReply::Version(configuration_version),
            ReadKind::Lease { received_ms } => ControlReply::Lease(LeaseGrant {
                nonce: waiter.call,
                age_ms: context.local_ms - received_ms,
                duration_ms: context.settings.lease_ms,
                revision: state.revision(),
                configuration_version,
            }),
        };
        waiter.reply(context, reply);
    }

    /// Applies committed entries.
    pub fn apply(&mut self, context: &mut Context<'_>, entries: Vec<Entry>) {
        for entry in entries {
            context
                .checks
                .committed(context.now, self.group, self.replica.id(), &entry);
            self.apply_entry(context, &entry);
            self.applied = entry.index;
            if entry.index.is_multiple_of(STATE_CHECK_INTERVAL) {
                self.check_state(context);
            }
        }
        self.answer_reads(context);
    }

    fn apply_entry(&mut self, context: &mut Context<'_>, entry: &Entry) {
        let EntryPayload::Command(command) = &entry.payload else {
            return;
        };
        let outcome = self.machine.apply(entry.index, command);
        let outcome = outcome.expect("the simulator encoded the command itself");
        context.checks.applied(
            context.now,
            self.group,
            entry.index,
            digest(format!("{outcome:?}").as_bytes()),
        );
        if let Some(state) = self.machine.shared() {
            let version = state.configuration().current().version;
            context.checks.version_applied(context.now, version);
        }
        let proposal = self.proposals.remove(&entry.index);
        if let Some(proposal) = proposal.filter(|proposal| proposal.term == entry.term) {
            answer_proposal(context, proposal.waiters, outcome);
        }
    }

    fn check_state(&self, context: &mut Context<'_>) {
        let snapshot = self.machine.snapshot().expect("state can be encoded");
        let digest = digest(&snapshot);
        context
            .checks
            .state(context.now, self.group, self.applied, digest);
    }

    /// A snapshot of the own state, if one is due.
    pub fn due_snapshot(&mut self, interval: u64) -> Option<Snapshot> {
        if self.applied < self.last_snapshot + interval {
            return None;
        }
        self.last_snapshot = self.applied;
        self.snapshot()
    }

    /// A snapshot of the own state.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let metadata: SnapshotMetadata = self.replica.snapshot_metadata(self.applied)?;
        let data = self.machine.snapshot().expect("state can be encoded");
        Some(Snapshot { metadata, data })
    }

    /// Replaces the state by a leader's snapshot.
    pub fn install(&mut self, context: &mut Context<'_>, snapshot: &Snapshot) {
        let machine = Machine::restore(self.group, context.settings.variant, &snapshot.data);
        self.machine = machine.expect("the simulator wrote the snapshot itself");
        self.applied = snapshot.metadata.index;
        self.last_snapshot = self.applied;
        let place = &snapshot.metadata;
        context
            .checks
            .snapshot_installed(context.now, self.group, place.index, place.term);
        self.check_state(context);
    }
}

fn answer_proposal(context: &mut Context<'_>, waiters: Vec<Waiter>, outcome: MachineOutcome) {
    match outcome {
        MachineOutcome::Ledger(replies) => {
            for (waiter, reply) in waiters.into_iter().zip(replies) {
                waiter.reply(context, ControlReply::Ledger(reply));
            }
        }
        MachineOutcome::Shared(SharedOutcome::Configuration(outcome)) => {
            for waiter in waiters {
                waiter.reply(context, ControlReply::Applied(outcome.clone()));
            }
        }
        MachineOutcome::Shared(_) => {}
    }
}

/// Whether a group is one of the ledger.
pub fn is_ledger(group: u32) -> bool {
    group != SHARED_GROUP
}
