//! Helpers for calls that only the leader can answer and that need a quorum.

use std::time::Duration;

use tokio::time::timeout;

use crate::{
    driver::ProposeError, replicas::ReplicaAddresses, server::Context, shared::SharedCommand,
};

/// Maximum time that a call waits for a quorum. Callers try another replica after 1 s, so the call must fail before that.
const QUORUM_TIMEOUT: Duration = Duration::from_millis(850);

/// Why a call that needs the leader and a quorum failed.
#[derive(Clone, Debug, PartialEq, displaydoc::Display, thiserror::Error)]
pub enum QuorumCallError {
    /// this replica does not lead
    NotLeader {
        /// The leader's addresses, if known.
        leader: Option<ReplicaAddresses>,
    },
    /// {reason}
    Unavailable {
        /// Why a quorum could not confirm the call.
        reason: &'static str,
    },
}

/// Proposes a command and waits until it is committed and applied. After [`QuorumCallError::Unavailable`] the command may
/// or may not take effect.
pub(crate) async fn propose_as_leader(
    context: &Context,
    command: SharedCommand,
) -> Result<(), QuorumCallError> {
    if !context.is_leader() {
        return Err(not_leader(context));
    }
    match timeout(QUORUM_TIMEOUT, context.driver.propose(command)).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(ProposeError::NotLeader)) => Err(not_leader(context)),
        Ok(Err(_)) => Err(unavailable("leadership was lost")),
        Err(_) => Err(unavailable("no quorum answered in time")),
    }
}

/// Waits until a quorum confirms that this replica leads, so that a read of the state after this call is linearizable.
pub(crate) async fn prove_leadership(context: &Context) -> Result<(), QuorumCallError> {
    if !context.is_leader() {
        return Err(not_leader(context));
    }
    match timeout(QUORUM_TIMEOUT, context.driver.prove_leadership()).await {
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
