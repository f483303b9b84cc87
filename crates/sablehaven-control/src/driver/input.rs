//! The driver's inputs, and the handle that sends them.

use std::{collections::BTreeSet, time::Instant};

use sablehaven_consensus::{Message, ReplicaId, SnapshotMetadata};
use sablehaven_storage::{PreparedSnapshot, StorageError};
use sablehaven_types::{LedgerReply, LedgerRequest};
use tokio::sync::{mpsc, oneshot};

use crate::{
    driver::status::DriverStatus,
    shared::{SharedCommand, SharedOutcome},
};

/// The capacity of the driver's input queue. Senders wait while the queue is full.
const INPUT_QUEUE_CAPACITY: usize = 1_024;

/// Why the outcome of a proposed command is not available.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum ProposeError {
    /// propose command: this replica does not lead
    NotLeader,
    /// propose command: leadership was lost; whether the command takes effect is not known
    Unknown,
    /// propose command: the replica stops
    Stopped,
    /// propose command: {reason}
    Encode {
        /// The command that could not be encoded, and the cause.
        reason: String,
    },
}

/// Why a leadership transfer was not started.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum LeadershipTransferError {
    /// transfer of leadership: there is no group {group}
    NoGroup {
        /// The requested group.
        group: u32,
    },
    /// {0}
    Refused(sablehaven_consensus::TransferError),
    /// transfer of leadership: the replica stops
    Stopped,
}

/// A proof that this replica led group 0 at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeadershipProof {
    /// The time for which the proof holds: taken before the read-index round started, and not before the proof was
    /// requested.
    pub(crate) holds_at: Instant,
    /// The revision of the shared state.
    pub(crate) revision: u64,
    /// The version of the current configuration.
    pub(crate) configuration_version: u64,
}

/// The channel for the replies to ledger calls, each with the number of its call.
pub(crate) type LedgerReplies = mpsc::UnboundedSender<Vec<(u64, LedgerReply)>>;

/// The channel for the outcome of a command of group 0.
pub(crate) type SharedResponder = oneshot::Sender<Result<SharedOutcome, ProposeError>>;

/// The channel for a proof of leadership, or for `None` if this replica does not lead.
pub(crate) type ProofResponder = oneshot::Sender<Option<LeadershipProof>>;

/// An input of the driver.
pub(crate) enum Input {
    /// A consensus message from another replica.
    Peer {
        from: ReplicaId,
        group: u32,
        message: Message,
    },
    /// Proposes a command of group 0.
    Shared {
        command: SharedCommand,
        respond: SharedResponder,
    },
    /// Proposes ledger requests, each with the number of its call.
    Ledger {
        calls: Vec<(u64, LedgerRequest)>,
        replies: LedgerReplies,
    },
    /// Requests a proof that this replica leads group 0.
    ProveLeadership(ProofResponder),
    /// Forms a new deployment with these first voters.
    Form(BTreeSet<ReplicaId>),
    /// Transfers the leadership of a group to another replica.
    Transfer {
        group: u32,
        to: ReplicaId,
        respond: oneshot::Sender<Result<(), LeadershipTransferError>>,
    },
    /// Requests the state of every group.
    Status(oneshot::Sender<DriverStatus>),
    /// Reports that a snapshot was written, or could not be written.
    SnapshotPrepared {
        group: u32,
        metadata: SnapshotMetadata,
        result: Result<PreparedSnapshot, StorageError>,
    },
    /// Transfers the leadership of every group to other replicas, then responds.
    StepDown(oneshot::Sender<()>),
}

/// Sends inputs to the driver; cheap to clone.
#[derive(Clone)]
pub(crate) struct DriverHandle {
    inputs: mpsc::Sender<Input>,
}

/// Creates the driver's input queue.
pub(crate) fn channel() -> (DriverHandle, mpsc::Receiver<Input>) {
    let (inputs, receiver) = mpsc::channel(INPUT_QUEUE_CAPACITY);
    (DriverHandle { inputs }, receiver)
}

impl DriverHandle {
    /// Queues an input. Returns false if the driver has ended.
    pub(crate) async fn send(&self, input: Input) -> bool {
        self.inputs.send(input).await.is_ok()
    }

    /// Proposes a command of group 0 and waits for its outcome.
    pub(crate) async fn propose(
        &self,
        command: SharedCommand,
    ) -> Result<SharedOutcome, ProposeError> {
        let (respond, response) = oneshot::channel();
        if !self.send(Input::Shared { command, respond }).await {
            return Err(ProposeError::Stopped);
        }
        response.await.unwrap_or(Err(ProposeError::Stopped))
    }

    /// Asks a quorum to confirm that this replica leads group 0. Returns `None` if it does not lead.
    pub(crate) async fn prove_leadership(&self) -> Option<LeadershipProof> {
        let (respond, response) = oneshot::channel();
        if !self.send(Input::ProveLeadership(respond)).await {
            return None;
        }
        response.await.ok().flatten()
    }

    /// Starts a transfer of a group's leadership; does not wait for its end.
    pub(crate) async fn transfer_leadership(
        &self,
        group: u32,
        to: ReplicaId,
    ) -> Result<(), LeadershipTransferError> {
        let (respond, response) = oneshot::channel();
        let input = Input::Transfer { group, to, respond };
        if !self.send(input).await {
            return Err(LeadershipTransferError::Stopped);
        }
        response
            .await
            .unwrap_or(Err(LeadershipTransferError::Stopped))
    }

    /// Returns the state of every group, or `None` if the driver has ended.
    pub(crate) async fn status(&self) -> Option<DriverStatus> {
        let (respond, response) = oneshot::channel();
        if !self.send(Input::Status(respond)).await {
            return None;
        }
        response.await.ok()
    }

    /// Transfers the leadership of every group that has a replica to take it over, and waits until this is done.
    pub(crate) async fn step_down(&self) {
        let (respond, response) = oneshot::channel();
        if self.send(Input::StepDown(respond)).await {
            // A receive error means that the driver has ended, and with it any leadership of this replica.
            let _ = response.await;
        }
    }
}
