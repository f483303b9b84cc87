//! What calls have in common that need the leader and a quorum.

use std::time::Duration;

use tokio::time::timeout;

use crate::{
    driver::ProposeError, replicas::ReplicaAddresses, server::Context, shared::SharedCommand,
};

/// Longest time that a call waits for a quorum: a caller moves on after a second.
const QUORUM_LIMIT: Duration = Duration::from_millis(850);

/// Why a call that needs the leader and a quorum has no answer.
#[derive(Clone, Debug, PartialEq, displaydoc::Display, thiserror::Error)]
pub enum QuorumCallError {
    /// this replica does not lead
    NotLeader {
        /// The leader's addresses, where known.
        leader: Option<ReplicaAddresses>,
    },
    /// {reason}
    Unavailable {
        /// What was missing.
        reason: &'static str,
    },
}

/// Has a quorum commit a command. After [`QuorumCallError::Unavailable`] it may or may not take effect.
pub(crate) async fn propose_as_leader(
    context: &Context,
    command: SharedCommand,
) -> Result<(), QuorumCallError> {
    if !context.is_leader() {
        return Err(not_leader(context));
    }
    match timeout(QUORUM_LIMIT, context.driver.propose(command)).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(ProposeError::NotLeader)) => Err(not_leader(context)),
        Ok(Err(_)) => Err(unavailable("leadership was lost")),
        Err(_) => Err(unavailable("no quorum answered in time")),
    }
}

/// Has a quorum confirm that this replica leads, so that what it has applied is current.
pub(crate) async fn prove_leadership(context: &Context) -> Result<(), QuorumCallError> {
    if !context.is_leader() {
        return Err(not_leader(context));
    }
    match timeout(QUORUM_LIMIT, context.driver.prove_leadership()).await {
        Ok(Some(_)) => Ok(()),
        Ok(None) => Err(not_leader(context)),
        Err(_) => Err(unavailable("no quorum answered in time")),
    }
}

fn not_leader(context: &Context) -> QuorumCallError {
    QuorumCallError::NotLeader {
        leader: context.other_leader(),
    }
}

fn unavailable(reason: &'static str) -> QuorumCallError {
    QuorumCallError::Unavailable { reason }
}
