//! The state machine of one group.

use std::sync::{Arc, PoisonError, RwLock};

use sablehaven_types::LedgerReply;

use crate::{
    codec::{self, CodecError},
    ledger::{LedgerCommand, LedgerState},
    shared::{SharedCommand, SharedOutcome, SharedState},
};

/// The state of group 0. Only the driver writes it; the servers read it.
pub(crate) type SharedStateHandle = Arc<RwLock<SharedState>>;

/// Calls `view` with the state of group 0, under the read lock.
pub(crate) fn read<Output>(
    state: &SharedStateHandle,
    view: impl FnOnce(&SharedState) -> Output,
) -> Output {
    view(&state.read().unwrap_or_else(PoisonError::into_inner))
}

/// The state machine of one consensus group.
pub(crate) enum StateMachine {
    Shared(SharedStateHandle),
    Ledger(Box<LedgerState>),
}

/// The outcome of one applied command.
pub(crate) enum CommandOutcome {
    Shared(SharedOutcome),
    /// The replies to a batch, in the order of its requests.
    Ledger(Vec<LedgerReply>),
}

impl StateMachine {
    /// Decodes and applies a committed command.
    pub(crate) fn apply(
        &mut self,
        index: u64,
        command: &[u8],
    ) -> Result<CommandOutcome, CodecError> {
        match self {
            Self::Shared(state) => {
                let command: SharedCommand = codec::decode("decode shared command", command)?;
                let mut state = state.write().unwrap_or_else(PoisonError::into_inner);
                Ok(CommandOutcome::Shared(state.apply(index, command)))
            }
            Self::Ledger(state) => {
                let command: LedgerCommand = codec::decode("decode ledger command", command)?;
                Ok(CommandOutcome::Ledger(state.apply_command(&command)))
            }
        }
    }

    /// Whether this state machine is a ledger that has not been opened yet.
    pub(crate) fn is_unopened_ledger(&self) -> bool {
        match self {
            Self::Shared(_) => false,
            Self::Ledger(state) => !state.is_open(),
        }
    }

    /// Encodes the state for a snapshot.
    pub(crate) fn snapshot(&self) -> Result<Vec<u8>, CodecError> {
        match self {
            Self::Shared(state) => read(state, SharedState::snapshot),
            Self::Ledger(state) => state.snapshot(),
        }
    }

    /// Replaces the state by the state in a snapshot.
    pub(crate) fn restore(&mut self, data: &[u8]) -> Result<(), CodecError> {
        match self {
            Self::Shared(state) => {
                let restored = SharedState::restore(data)?;
                *state.write().unwrap_or_else(PoisonError::into_inner) = restored;
            }
            Self::Ledger(state) => **state = LedgerState::restore(data)?,
        }
        Ok(())
    }
}
