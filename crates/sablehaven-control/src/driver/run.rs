//! The driver's loop.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use sablehaven_consensus::{PersistentState, Ready, Replica, ReplicaId};
use sablehaven_storage::{GroupWrite, OpenedStorage, SnapshotWriter};
use sablehaven_wire::BootTimeClock;
use tokio::{
    sync::{mpsc, watch},
    time::MissedTickBehavior,
};
use tokio_util::sync::CancellationToken;

use super::{
    group::Group,
    input::{DriverHandle, Input},
    machine::{SharedStateHandle, read},
    members::PendingStepDown,
    pending::{LedgerCall, refuse_calls},
    reads::ProofQueue,
    removal::RemovalMonitor,
    restore::restore_groups,
    status::{DriverStatus, PublishedState},
    storage_thread::{CompletedJob, StorageCompletion, StorageJob, StorageThread},
    writes::{ReadyWrite, WriteQueue},
};
use crate::{
    Config, StartError,
    ledger::group_of_key,
    metrics::Metrics,
    peers::{Directory, Links},
    quotas::PartGrants,
};

/// The most inputs that are handled before the resulting messages and writes are processed together.
const MAX_INPUT_BATCH: usize = 512;

/// The components from which the driver is built.
pub(crate) struct DriverParts {
    pub(crate) config: Arc<Config>,
    pub(crate) opened: OpenedStorage,
    pub(crate) state: SharedStateHandle,
    pub(crate) handle: DriverHandle,
    pub(crate) inputs: mpsc::Receiver<Input>,
    pub(crate) links: Arc<Links>,
    pub(crate) directory: Directory,
    pub(crate) published: watch::Sender<PublishedState>,
    pub(crate) grants: Arc<Mutex<PartGrants>>,
    pub(crate) metrics: Metrics,
}

/// The task that drives every consensus group of this replica.
pub(crate) struct Driver {
    pub(super) config: Arc<Config>,
    pub(super) id: ReplicaId,
    pub(super) groups: Vec<Group>,
    pub(super) state: SharedStateHandle,
    pub(super) handle: DriverHandle,
    pub(super) directory: Directory,
    pub(super) snapshot_writer: SnapshotWriter,
    pub(super) proofs: ProofQueue,
    pub(super) pending_step_down: Option<PendingStepDown>,
    /// Whether a planned stop has begun. It is never reset: until the end, this replica transfers any leadership away.
    pub(super) is_stepping_down: bool,
    pub(super) published: watch::Sender<PublishedState>,
    pub(super) removal: RemovalMonitor,
    pub(super) age_clock: BootTimeClock,
    pub(super) metrics: Metrics,
    inputs: mpsc::Receiver<Input>,
    links: Arc<Links>,
    writes: WriteQueue,
    storage: StorageThread,
    storage_completions: mpsc::UnboundedReceiver<StorageCompletion>,
}

/// The reason for which the driver must stop.
pub(super) type Failure = String;

impl Driver {
    /// Restores every group and starts the storage thread.
    pub(crate) fn new(parts: DriverParts) -> Result<Self, StartError> {
        let DriverParts {
            config,
            opened,
            state,
            handle,
            inputs,
            links,
            directory,
            published,
            grants,
            metrics,
        } = parts;
        let id = opened.identity.replica;
        let groups = restore_groups(&config, id, &state, opened.groups)?;
        let patience = Duration::from_millis(config.repair_patience_ms);
        let removal = RemovalMonitor::new(grants, patience);
        let snapshot_writer = opened.storage.snapshot_writer();
        let (storage, storage_completions) = StorageThread::start(opened.storage)
            .map_err(|source| StartError::StorageThread { source })?;
        Ok(Self {
            config,
            id,
            groups,
            state,
            handle,
            directory,
            snapshot_writer,
            proofs: ProofQueue::default(),
            pending_step_down: None,
            is_stepping_down: false,
            published,
            removal,
            age_clock: BootTimeClock::default(),
            metrics,
            inputs,
            links,
            writes: WriteQueue::default(),
            storage,
            storage_completions,
        })
    }

    /// Runs until it is cancelled or fails. Then syncs the submitted writes and closes the data folder.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        let result = self.run_until(&stop).await;
        if let Err(failure) = &result {
            log::error!("{failure}");
        }
        self.fail_pending();
        self.published.send_modify(|published| {
            published.leading_since = None;
            published.failure = result.err();
        });
        self.storage.stop().await;
    }

    async fn run_until(&mut self, stop: &CancellationToken) -> Result<(), Failure> {
        let mut ticker = tokio::time::interval(Duration::from_millis(self.config.tick_ms));
        // A process that was frozen must not catch up on its missed ticks at once: the heartbeats of other replicas
        // would not have had time to arrive.
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return Ok(()),
                Some(completion) = self.storage_completions.recv() => self.handle_storage_completion(completion)?,
                _ = ticker.tick() => self.tick()?,
                Some(input) = self.inputs.recv() => self.handle_inputs(input).await?,
            }
            self.propose_queued();
            // Published before any message names this replica as the leader, so that a client that is redirected here
            // finds a leader.
            self.publish_leadership();
            self.process_readies()?;
            self.start_write();
            self.publish_revision();
        }
    }

    /// Handles an input and those that are already queued behind it, up to [`MAX_INPUT_BATCH`].
    async fn handle_inputs(&mut self, first: Input) -> Result<(), Failure> {
        self.handle_input(first).await?;
        for _ in 1..MAX_INPUT_BATCH {
            match self.inputs.try_recv() {
                Ok(input) => self.handle_input(input).await?,
                Err(_) => break,
            }
        }
        Ok(())
    }

    /// Handles one input.
    async fn handle_input(&mut self, input: Input) -> Result<(), Failure> {
        match input {
            Input::Peer {
                from,
                group,
                message,
            } => {
                if let Some(group) = self.groups.get_mut(group as usize) {
                    group.replica.receive(from, message);
                }
            }
            Input::Shared { command, respond } => {
                self.groups[0].propose_shared(&command, respond);
            }
            Input::Ledger { calls, replies } if self.config.ledger_groups == 0 => {
                let calls = calls.into_iter().map(|(call, _)| LedgerCall {
                    call,
                    replies: replies.clone(),
                });
                refuse_calls(calls.collect());
            }
            Input::Ledger { calls, replies } => {
                for (call, request) in calls {
                    let group = group_of_key(request.key(), self.config.ledger_groups);
                    self.groups[group as usize].queue_call(call, request, replies.clone());
                }
            }
            Input::ProveLeadership(responder) => self.proofs.queue(responder),
            Input::Form(voters) => self.form(voters).await?,
            Input::Transfer { group, to, respond } => {
                let result = self.transfer_leadership(group, to);
                let _ = respond.send(result);
            }
            Input::Status(respond) => {
                let groups = self.groups.iter().map(Group::state).collect();
                let _ = respond.send(DriverStatus { groups });
            }
            Input::SnapshotPrepared {
                group,
                metadata,
                result,
            } => self.handle_prepared_snapshot(group, metadata, result),
            Input::StepDown(responder) => {
                self.is_stepping_down = true;
                let started_at = Instant::now();
                self.pending_step_down = Some(PendingStepDown {
                    responder,
                    started_at,
                });
            }
        }
        Ok(())
    }

    /// Advances the logical clock of every group and performs the periodic tasks.
    fn tick(&mut self) -> Result<(), Failure> {
        let now = Instant::now();
        let grace = self.config.election_timeout();
        for group in &mut self.groups {
            group.replica.tick();
            group.is_leader = group.has_leader_role();
            group.pending.expire(group.is_leader, now, grace);
        }
        for group in self.groups.iter_mut().filter(|group| group.is_leader) {
            group.open_ledger();
        }
        self.directory.record_applied(self.groups[0].applied);
        self.drive_membership(now);
        self.continue_step_down(now);
        self.start_due_snapshots()
    }

    /// Proposes the queued ledger calls and starts a round for the queued requests for a proof of leadership.
    fn propose_queued(&mut self) {
        let limits = self.config.ledger;
        for group in &mut self.groups[1..] {
            group.propose_queued_calls(&limits);
        }
        self.proofs.start_round(&mut self.groups[0].replica);
    }

    /// Processes the readies of every group, then answers the requests for a proof whose index has been applied.
    fn process_readies(&mut self) -> Result<(), Failure> {
        for index in 0..self.groups.len() {
            loop {
                let ready = self.groups[index].replica.take_ready();
                if ready.is_empty() && !ready.needs_snapshot {
                    break;
                }
                self.process_ready(index, ready)?;
                if !self.groups[index].replica.has_committed() {
                    break;
                }
            }
        }
        if self.proofs.has_confirmed() {
            let applied = self.groups[0].applied;
            let (revision, version) = read(&self.state, |state| {
                let version = state.configuration().current().version;
                (state.revision(), version)
            });
            self.proofs.answer_applied(applied, revision, version);
        }
        Ok(())
    }

    /// Processes a ready in the order that [`Ready`] requires.
    fn process_ready(&mut self, index: usize, mut ready: Ready) -> Result<(), Failure> {
        if let Some(fault) = ready.fault {
            return Err(format!("group {index}: {fault}"));
        }
        let number = self.groups[index].number;
        for (to, message) in std::mem::take(&mut ready.messages_before_sync) {
            self.links.send(to, number, message);
        }
        let group = &mut self.groups[index];
        if number == 0 {
            group.track_membership_changes(&ready.entries);
        }
        let applied_before = group.applied;
        let applied = group.apply(&mut ready);
        applied.map_err(|error| format!("apply entry to group {number}: {error}"))?;
        self.metrics
            .entries_applied
            .inc_by(group.applied.saturating_sub(applied_before));
        self.proofs
            .take_read_results(&ready.reads, &ready.refused_reads);
        if ready.needs_snapshot {
            let snapshot = group.take_snapshot().map_err(|error| error.to_string())?;
            if let Some(snapshot) = snapshot {
                group.replica.provide_snapshot(snapshot);
            }
        }
        self.queue_write(number, ready);
        Ok(())
    }

    /// Queues the writes of a ready, and the messages that must not be sent before these writes are synced. A ready
    /// without writes may have such messages too; they are sent immediately if no earlier write of the group is
    /// pending.
    fn queue_write(&mut self, group: u32, ready: Ready) {
        let must_sync = ready.must_sync();
        let messages = ready.messages_after_sync;
        if !must_sync {
            if messages.is_empty() {
                return;
            }
            if let Some(unblocked) = self.writes.push_messages(group, messages) {
                self.send_all(group, unblocked);
            }
            return;
        }
        let write = ReadyWrite {
            number: ready.number,
            hard_state: ready.hard_state,
            entries: ready.entries,
            snapshot: ready.snapshot,
        };
        self.writes.push(group, write, messages);
    }

    fn send_all(&self, group: u32, messages: Vec<(ReplicaId, sablehaven_consensus::Message)>) {
        for (to, message) in messages {
            self.links.send(to, group, message);
        }
    }

    /// Submits the next batch of writes unless one is in progress.
    fn start_write(&mut self) {
        if let Some(batch) = self.writes.start_next() {
            self.submit(StorageJob::Write(batch));
        }
    }

    pub(super) fn submit(&self, job: StorageJob) {
        self.storage.submit(job);
    }

    /// Handles a finished job of the storage thread. A failed write or sync stops the driver: the content of the disk
    /// is then unknown, so nothing more may be acknowledged.
    fn handle_storage_completion(&mut self, completion: StorageCompletion) -> Result<(), Failure> {
        self.metrics.set_storage(&completion.counters);
        for group in completion.groups_to_compact {
            if let Some(group) = self.groups.get_mut(group as usize) {
                group.snapshots.is_requested = true;
            }
        }
        match completion.result {
            Ok(CompletedJob::Written) => self.handle_written_batch(),
            Ok(CompletedJob::Compacted { group, metadata }) => {
                self.groups[group as usize].compacted(&metadata);
            }
            Err(error) => return Err(format!("store: {error}")),
        }
        Ok(())
    }

    /// Reports a synced batch to the groups and sends the messages that waited for it. The order matters: each replica
    /// is told that its own copy is synced before its acknowledgements are sent.
    fn handle_written_batch(&mut self) {
        let after_sync = self.writes.complete_in_flight();
        for (group, number) in after_sync.ready_numbers {
            self.groups[group as usize].replica.persisted(number);
        }
        for (group, messages) in after_sync.messages {
            self.send_all(group, messages);
        }
    }

    /// Writes the first entry of a new deployment to every group. Does nothing if this replica already holds any data
    /// or is not one of the first voters.
    async fn form(&mut self, voters: BTreeSet<ReplicaId>) -> Result<(), Failure> {
        let is_blank = self.groups.iter().all(Group::is_blank) && self.writes.is_idle();
        if !is_blank || !voters.contains(&self.id) {
            return Ok(());
        }
        let start = PersistentState::bootstrap(voters);
        let writes = self.groups.iter().map(|group| GroupWrite {
            group: group.number,
            hard_state: Some(start.hard_state),
            entries: start.entries.clone(),
            snapshot: None,
        });
        self.storage.submit(StorageJob::Write(writes.collect()));
        // The replica may participate only after its first entry is synced.
        match self.storage_completions.recv().await {
            Some(completion) => completion
                .result
                .map_err(|error| format!("store: {error}"))?,
            None => return Err("store: the storage thread has ended".to_owned()),
        };
        for group in &mut self.groups {
            group.replica = Replica::new(self.config.consensus(), self.id, start.clone());
        }
        Ok(())
    }

    /// Fails the pending proposals of every group.
    fn fail_pending(&mut self) {
        for group in &mut self.groups {
            group.pending.fail_all();
        }
    }
}
