//! Operator calls that change the configuration, the control replicas or a group's leadership, and the ledger lookup.

use std::net::SocketAddr;

use sablehaven_consensus::ReplicaId;
use sablehaven_types::{
    ApplyCommand, ApplyOutcome, ClaimAnswer, LedgerKey, LedgerReply, LedgerRequest,
};
use tokio::sync::mpsc;

use super::{
    handlers::CallError,
    types::{AddReplica, RemoveReplica, ReplaceReplica, TransferLeadership, TransferStarted},
    validity,
};
use crate::{
    clock,
    driver::{Input, LeadershipTransferError, ProposeError, read},
    peers::{Introduction, probe},
    replicas::{ChangeKind, ReplacementOrder, ReplicasCommand, ReplicasOutcome},
    server::Context,
    shared::{SharedCommand, SharedOutcome},
};

/// Validates an operator's command and proposes it to group 0.
///
/// A command that was applied before is answered with its recorded outcome. A command against a version that is not the
/// current one is proposed without a check of its change; the state machine answers it as a conflict.
pub(super) async fn apply(
    context: &Context,
    command: ApplyCommand,
) -> Result<ApplyOutcome, CallError> {
    context.require_leadership_proof().await?;
    let (recorded, current, preview) = read(&context.state, |state| {
        let configuration = state.configuration();
        let recorded = configuration.recorded_outcome(&command);
        let is_current = command.expected_version == configuration.current().version;
        let preview = is_current.then(|| configuration.preview(&command.change));
        (recorded, configuration.current().clone(), preview)
    });
    if let Some(outcome) = recorded {
        return Ok(outcome);
    }
    // Runs without the lock on the shared state, since parsing a schema takes milliseconds.
    let reasons = validity::reasons_against_command(&command, &current, preview);
    if !reasons.is_empty() {
        return Ok(ApplyOutcome::Invalid { reasons });
    }
    let command = SharedCommand::Configuration {
        command,
        proposed_at_ms: clock::unix_ms(),
    };
    match propose(context, command).await? {
        SharedOutcome::Configuration(outcome) => Ok(outcome),
        _ => Err(CallError::Unavailable {
            reason: "apply: the log answered for another command".to_owned(),
        }),
    }
}

/// Begins to add the replica that listens at an address.
pub(super) async fn add(
    context: &Context,
    request: AddReplica,
) -> Result<ReplicasOutcome, CallError> {
    context.require_leadership_proof().await?;
    match probe_newcomer(context, request.address).await? {
        Ok(newcomer) => {
            let replica = newcomer.replica;
            begin_change(context, ChangeKind::Add { replica }, Some(newcomer)).await
        }
        Err(refused) => Ok(refused),
    }
}

/// Begins to remove a replica, or cancels the change that adds it.
pub(super) async fn remove(
    context: &Context,
    request: RemoveReplica,
) -> Result<ReplicasOutcome, CallError> {
    context.require_leadership_proof().await?;
    let kind = ChangeKind::Remove {
        replica: request.replica,
    };
    begin_change(context, kind, None).await
}

/// Begins to replace a replica with the one that listens at an address.
pub(super) async fn replace(
    context: &Context,
    request: ReplaceReplica,
) -> Result<ReplicasOutcome, CallError> {
    context.require_leadership_proof().await?;
    let newcomer = match probe_newcomer(context, request.address).await? {
        Ok(newcomer) => newcomer,
        Err(refused) => return Ok(refused),
    };
    let order = replacement_order(context, request.old).await;
    let kind = ChangeKind::Replace {
        old: request.old,
        new: newcomer.replica,
        order,
    };
    begin_change(context, kind, Some(newcomer)).await
}

/// Proposes a change of the control replicas. Once begun, the change continues in the background.
async fn begin_change(
    context: &Context,
    kind: ChangeKind,
    newcomer: Option<Introduction>,
) -> Result<ReplicasOutcome, CallError> {
    let command = SharedCommand::Replicas(ReplicasCommand::Begin {
        kind,
        addresses: newcomer.map(|newcomer| newcomer.addresses),
    });
    match propose(context, command).await? {
        SharedOutcome::Replicas(outcome) => Ok(outcome),
        _ => Err(CallError::Unavailable {
            reason: "change of replicas: the log answered for another command".to_owned(),
        }),
    }
}

/// Returns the introduction of the replica that listens at an address, or a refusal if it cannot be reached or already
/// has a log: only a replica with a new data folder can be added.
async fn probe_newcomer(
    context: &Context,
    address: SocketAddr,
) -> Result<Result<Introduction, ReplicasOutcome>, CallError> {
    let refuse = |reason: String| Ok(Err(ReplicasOutcome::Refused { reason }));
    match probe(&context.peers, address).await {
        Ok(introduction) if introduction.is_formed => refuse(format!(
            "replica {} at {address} holds a log already; only a new data folder can be added",
            introduction.replica
        )),
        Ok(introduction) => Ok(Ok(introduction)),
        Err(error) => refuse(format!("ask replica at {address}: {error}")),
    }
}

/// Chooses the order of the steps: while the old replica is active, it keeps its vote until the new one has been
/// promoted. See [`ReplacementOrder`] for the reason.
async fn replacement_order(context: &Context, old: ReplicaId) -> ReplacementOrder {
    let status = context.driver.status().await;
    let shared = status.as_ref().and_then(|status| status.groups.first());
    let is_active = shared.is_some_and(|shared| {
        let peer = shared.replica.peers.get(&old);
        old == context.replica || peer.is_some_and(|peer| peer.active)
    });
    if is_active {
        ReplacementOrder::PromoteFirst
    } else {
        ReplacementOrder::RemoveFirst
    }
}

/// Starts a transfer of a group's leadership, without waiting for its end.
pub(super) async fn transfer(
    context: &Context,
    request: TransferLeadership,
) -> Result<TransferStarted, CallError> {
    let TransferLeadership { group, to } = request;
    match context.driver.transfer_leadership(group, to).await {
        Ok(()) => Ok(TransferStarted { group, to }),
        Err(LeadershipTransferError::Refused(sablehaven_consensus::TransferError::NotLeader {
            ..
        })) => Err(CallError::NotLeader),
        Err(error) => Err(CallError::Refused {
            reason: error.to_string(),
        }),
    }
}

/// Looks up a ledger key by a request that goes through the log of the key's group.
pub(super) async fn look_up(context: &Context, key: LedgerKey) -> Result<ClaimAnswer, CallError> {
    if !context.is_leader() {
        return Err(CallError::NotLeader);
    }
    let (replies, mut received) = mpsc::unbounded_channel();
    let calls = vec![(0, LedgerRequest::LookUp { key })];
    context.driver.send(Input::Ledger { calls, replies }).await;
    let reply = received.recv().await.and_then(|mut batch| batch.pop());
    match reply {
        Some((_, LedgerReply::Claim(answer))) => Ok(answer),
        _ => Err(CallError::Unavailable {
            reason: "look up ledger key: no leader answered".to_owned(),
        }),
    }
}

/// Proposes a command to group 0 and waits for its outcome.
async fn propose(context: &Context, command: SharedCommand) -> Result<SharedOutcome, CallError> {
    match context.driver.propose(command).await {
        Ok(outcome) => Ok(outcome),
        Err(ProposeError::NotLeader) => Err(CallError::NotLeader),
        Err(error) => Err(CallError::Unavailable {
            reason: error.to_string(),
        }),
    }
}
