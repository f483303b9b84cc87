//! What the driver is asked, and the handle that asks it.

use std::{collections::BTreeSet, time::Instant};

use sablehaven_consensus::{Message, ReplicaId, SnapshotMetadata};
use sablehaven_storage::{PreparedSnapshot, StorageError};
use sablehaven_types::{LedgerReply, LedgerRequest};
use tokio::sync::{mpsc, oneshot};

use crate::{
    driver::status::DriverStatus,
    shared::{SharedCommand, SharedOutcome},
};

/// Inputs that may wait for the driver; askers wait when there are more.
const INPUT_QUEUE_CAPACITY: usize = 1_024;

/// Why a command has no outcome.
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
        /// What could not be encoded.
        reason: String,
    },
}

/// Why leadership was not handed over.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum LeadershipTransferError {
    /// transfer of leadership: there is no group {group}
    NoGroup {
        /// The group that was named.
        group: u32,
    },
    /// {0}
    Refused(sablehaven_consensus::TransferError),
    /// transfer of leadership: the replica stops
    Stopped,
}

/// A proof that this replica led.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeadershipProof {
    /// A moment at or before which the proof was asked for: it holds for that moment.
    pub(crate) asked_at: Instant,
    /// The revision in force.
    pub(crate) revision: u64,
    /// The version of the configuration in force.
    pub(crate) configuration_version: u64,
}

/// Where the replies to ledger calls go.
pub(crate) type LedgerReplies = mpsc::UnboundedSender<Vec<(u64, LedgerReply)>>;

pub(crate) type SharedResponder = oneshot::Sender<Result<SharedOutcome, ProposeError>>;
pub(crate) type ProofResponder = oneshot::Sender<Option<LeadershipProof>>;

/// What the driver is asked.
pub(crate) enum Input {
    /// A message of another replica.
    Peer {
        from: ReplicaId,
        group: u32,
        message: Message,
    },
    Shared {
        command: SharedCommand,
        respond: SharedResponder,
    },
    Ledger {
        calls: Vec<(u64, LedgerRequest)>,
        replies: LedgerReplies,
    },
    ProveLeadership(ProofResponder),
    /// A new deployment with these first voters.
    Form(BTreeSet<ReplicaId>),
    Transfer {
        group: u32,
        to: ReplicaId,
        respond: oneshot::Sender<Result<(), LeadershipTransferError>>,
    },
    Status(oneshot::Sender<DriverStatus>),
    SnapshotPrepared {
        group: u32,
        metadata: SnapshotMetadata,
        result: Result<PreparedSnapshot, StorageError>,
    },
    /// Hand over leadership of every group, then answer.
    StepDown(oneshot::Sender<()>),
}

/// Asks the driver; cheap to clone.
#[derive(Clone)]
pub(crate) struct DriverHandle {
    inputs: mpsc::Sender<Input>,
}

pub(crate) fn channel() -> (DriverHandle, mpsc::Receiver<Input>) {
    let (inputs, receiver) = mpsc::channel(INPUT_QUEUE_CAPACITY);
    (DriverHandle { inputs }, receiver)
}

impl DriverHandle {
    /// Hands an input over; false when the driver has ended.
    pub(crate) async fn send(&self, input: Input) -> bool {
        self.inputs.send(input).await.is_ok()
    }

    /// Proposes a command of group 0 and waits until it is applied.
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

    /// Has a quorum confirm that this replica leads group 0; `None` when it does not.
    pub(crate) async fn prove_leadership(&self) -> Option<LeadershipProof> {
        let (respond, response) = oneshot::channel();
        if !self.send(Input::ProveLeadership(respond)).await {
            return None;
        }
        response.await.ok().flatten()
    }

    /// Asks a group's leadership to be handed over.
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

    /// The state of every group; `None` when the driver has ended.
    pub(crate) async fn status(&self) -> Option<DriverStatus> {
        let (respond, response) = oneshot::channel();
        if !self.send(Input::Status(respond)).await {
            return None;
        }
        response.await.ok()
    }

    /// Hands over the leadership of every group, as far as others can take it.
    pub(crate) async fn step_down(&self) {
        let (respond, response) = oneshot::channel();
        if self.send(Input::StepDown(respond)).await {
            // An ended driver leads nothing.
            let _ = response.await;
        }
    }
}
