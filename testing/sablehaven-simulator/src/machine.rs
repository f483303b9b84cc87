//! The replicated state machines: the ones of control, unchanged, and the ledger with its horizon
//! switched off for [`Variant::LedgerForgetsWithoutHorizon`].

use std::collections::BTreeMap;

use sablehaven_control::{
    codec::{self, CodecError},
    ledger::{LedgerCommand, LedgerState},
    shared::{SharedCommand, SharedOutcome, SharedState},
};
use sablehaven_types::{LedgerKey, LedgerReply, LedgerRequest};
use serde::{Deserialize, Serialize};

use crate::variant::Variant;

/// The group of configuration and membership.
pub const SHARED_GROUP: u32 = 0;

/// A state machine of one group.
pub enum Machine {
    /// Group 0.
    Shared(Box<SharedState>),
    /// Any other group.
    Ledger(LedgerState),
    /// Any other group, with the horizon switched off.
    ForgetfulLedger(ForgetfulLedger),
}

/// What became of a command.
#[derive(Clone, Debug)]
pub enum MachineOutcome {
    /// Of a command of group 0.
    Shared(SharedOutcome),
    /// Of a batch of a ledger group, in its requests' order.
    Ledger(Vec<LedgerReply>),
}

impl Machine {
    /// The empty state machine of a group.
    pub fn new(group: u32, variant: Option<Variant>) -> Self {
        match (group, variant) {
            (SHARED_GROUP, _) => Self::Shared(Box::default()),
            (_, Some(Variant::LedgerForgetsWithoutHorizon)) => {
                Self::ForgetfulLedger(ForgetfulLedger::default())
            }
            _ => Self::Ledger(LedgerState::default()),
        }
    }

    /// The state in a snapshot; the empty state where there is none.
    pub fn restore(group: u32, variant: Option<Variant>, data: &[u8]) -> Result<Self, CodecError> {
        if data.is_empty() {
            return Ok(Self::new(group, variant));
        }
        Ok(match Self::new(group, variant) {
            Self::Shared(_) => Self::Shared(Box::new(SharedState::restore(data)?)),
            Self::Ledger(_) => Self::Ledger(LedgerState::restore(data)?),
            Self::ForgetfulLedger(_) => {
                Self::ForgetfulLedger(codec::decode("decode forgetful ledger", data)?)
            }
        })
    }

    /// The state's encoding.
    pub fn snapshot(&self) -> Result<Vec<u8>, CodecError> {
        match self {
            Self::Shared(state) => state.snapshot(),
            Self::Ledger(state) => state.snapshot(),
            Self::ForgetfulLedger(state) => codec::encode("encode forgetful ledger", state),
        }
    }

    /// Applies a committed command.
    pub fn apply(&mut self, index: u64, command: &[u8]) -> Result<MachineOutcome, CodecError> {
        Ok(match self {
            Self::Shared(state) => {
                let command: SharedCommand = codec::decode("decode shared command", command)?;
                MachineOutcome::Shared(state.apply(index, command))
            }
            Self::Ledger(state) => {
                let command: LedgerCommand = codec::decode("decode ledger command", command)?;
                MachineOutcome::Ledger(state.apply_command(&command))
            }
            Self::ForgetfulLedger(state) => {
                let command: LedgerCommand = codec::decode("decode ledger command", command)?;
                MachineOutcome::Ledger(state.apply_command(command))
            }
        })
    }

    /// The state of group 0.
    pub fn shared(&self) -> Option<&SharedState> {
        match self {
            Self::Shared(state) => Some(state),
            Self::Ledger(_) | Self::ForgetfulLedger(_) => None,
        }
    }
}

/// A ledger that forgets as the real one does, but does not refuse what it may have forgotten: it
/// takes the time at which it first hears of a key for the key's issue time.
#[derive(Default, Serialize, Deserialize)]
pub struct ForgetfulLedger {
    state: LedgerState,
    first_heard_ms: BTreeMap<LedgerKey, u64>,
}

impl ForgetfulLedger {
    fn apply_command(&mut self, command: LedgerCommand) -> Vec<LedgerReply> {
        let LedgerCommand::Batch {
            proposed_at_ms,
            limits,
            mut requests,
        } = command
        else {
            return self.state.apply_command(&command);
        };
        for request in &mut requests {
            self.hide_issue_time(proposed_at_ms, limits.retention_ms, request);
        }
        self.state.apply(proposed_at_ms, &limits, &requests)
    }

    fn hide_issue_time(&mut self, now_ms: u64, retention_ms: u64, request: &mut LedgerRequest) {
        let oldest_kept = now_ms.saturating_sub(retention_ms);
        self.first_heard_ms.retain(|_, heard| *heard > oldest_kept);
        let (LedgerRequest::Claim { key, .. }
        | LedgerRequest::Settle { key, .. }
        | LedgerRequest::Release { key, .. }
        | LedgerRequest::LookUp { key }) = request;
        let heard = self.first_heard_ms.entry(key.clone()).or_insert(now_ms);
        key.issued_at_ms = *heard;
    }
}
