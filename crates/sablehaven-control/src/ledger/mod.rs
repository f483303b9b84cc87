//! The request ledger as a deterministic state machine. At most one claim of a key is granted at any time. Keys are
//! removed only if they were issued before the horizon, and no claim of such a key is granted.

mod entry;
mod limits;

use std::collections::BTreeMap;

use sablehaven_types::{
    CallerId, ClaimAnswer, ClaimId, LedgerKey, LedgerReply, LedgerRequest, RecordedOutcome,
    RequestId,
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use self::entry::LedgerEntry;
pub use self::limits::LedgerLimits;
use crate::codec::{self, CodecError};

/// How long before the opening of a ledger a key may have been issued, in milliseconds. This allows for differences
/// between the clocks of callers. It is safe because replacing a lost deployment by a new one takes longer.
const OPENING_CLOCK_SKEW_MS: u64 = 1_000;

/// Returns the number, from 1, of the ledger group that holds a key if there are `groups` ledger groups.
pub fn group_of_key(key: &LedgerKey, groups: u32) -> u32 {
    let mut hash = Xxh3::new();
    hash.update(key.caller.as_str().as_bytes());
    // 0xff does not occur in UTF-8, so with this separator ("ab", "c") and ("a", "bc") hash differently.
    hash.update(&[0xff]);
    hash.update(key.request.as_str().as_bytes());
    hash.update(&[0xff]);
    hash.update(&key.issued_at_ms.to_le_bytes());
    let group = hash.digest() % u64::from(groups.max(1));
    1 + u32::try_from(group).unwrap_or_default()
}

/// A key that is ordered by issue time first, so that the keys below the horizon are the first ones in the map.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct OrderedKey {
    issued_at_ms: u64,
    caller: CallerId,
    request: RequestId,
}

impl From<&LedgerKey> for OrderedKey {
    fn from(key: &LedgerKey) -> Self {
        Self {
            issued_at_ms: key.issued_at_ms,
            caller: key.caller.clone(),
            request: key.request.clone(),
        }
    }
}

/// The ledger of one group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerState {
    entries: BTreeMap<OrderedKey, LedgerEntry>,
    /// The latest time of any proposer; never decreases.
    clock_ms: u64,
    /// Keys that were issued before this time are removed, and new claims of them are refused; never decreases.
    horizon_ms: u64,
    /// The total size of all recorded reply bodies.
    body_bytes: u64,
    is_open: bool,
}

impl LedgerState {
    /// Keys that were issued before this time, in milliseconds since the Unix epoch, are refused.
    pub fn horizon_ms(&self) -> u64 {
        self.horizon_ms
    }

    /// The number of keys held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The total size of all recorded reply bodies, in bytes.
    pub fn body_bytes(&self) -> u64 {
        self.body_bytes
    }

    /// Applies a committed batch, with the same result on every replica. The replies are in the order of the requests.
    pub fn apply(
        &mut self,
        proposed_at_ms: u64,
        limits: &LedgerLimits,
        requests: &[LedgerRequest],
    ) -> Vec<LedgerReply> {
        self.advance_horizon(proposed_at_ms, limits);
        requests
            .iter()
            .map(|request| self.apply_one(limits, request))
            .collect()
    }

    /// Advances the clock and the horizon, and removes the keys that were issued before the horizon.
    ///
    /// The horizon must advance before any key is removed: a removed key at or above the horizon could be claimed, and
    /// so its request dispatched, a second time.
    fn advance_horizon(&mut self, proposed_at_ms: u64, limits: &LedgerLimits) {
        self.clock_ms = self.clock_ms.max(proposed_at_ms);
        let horizon_ms = self.clock_ms.saturating_sub(limits.retention_ms);
        self.horizon_ms = self.horizon_ms.max(horizon_ms);
        while let Some(oldest) = self.entries.first_entry() {
            if oldest.key().issued_at_ms >= self.horizon_ms {
                break;
            }
            let removed = oldest.remove();
            self.body_bytes -= removed.body_bytes();
        }
    }

    /// Applies one request of a batch.
    fn apply_one(&mut self, limits: &LedgerLimits, request: &LedgerRequest) -> LedgerReply {
        match request {
            LedgerRequest::Claim {
                key,
                claim,
                fingerprint,
            } => LedgerReply::Claim(self.claim(limits, key, *claim, *fingerprint)),
            LedgerRequest::Settle {
                key,
                claim,
                outcome,
            } => self.settle(limits, key, *claim, outcome),
            LedgerRequest::Release { key, claim } => self.release(key, *claim),
            LedgerRequest::LookUp { key } => LedgerReply::Claim(self.look_up(key)),
        }
    }

    fn claim(
        &mut self,
        limits: &LedgerLimits,
        key: &LedgerKey,
        claim: ClaimId,
        fingerprint: u64,
    ) -> ClaimAnswer {
        if key.issued_at_ms < self.horizon_ms {
            return ClaimAnswer::BelowHorizon {
                horizon_ms: self.horizon_ms,
            };
        }
        let limit_ms = self.clock_ms.saturating_add(limits.future_ms);
        if key.issued_at_ms > limit_ms {
            return ClaimAnswer::IssuedInFuture { limit_ms };
        }
        let ordered_key = OrderedKey::from(key);
        if let Some(entry) = self.entries.get_mut(&ordered_key) {
            return entry.claim(claim, fingerprint);
        }
        if self.entries.len() as u64 >= limits.entries {
            return ClaimAnswer::Full;
        }
        self.entries
            .insert(ordered_key, LedgerEntry::held(claim, fingerprint));
        ClaimAnswer::Granted
    }

    fn settle(
        &mut self,
        limits: &LedgerLimits,
        key: &LedgerKey,
        claim: ClaimId,
        outcome: &RecordedOutcome,
    ) -> LedgerReply {
        let remaining_body_bytes = limits.total_body_bytes.saturating_sub(self.body_bytes);
        let Some(entry) = self.entries.get_mut(&OrderedKey::from(key)) else {
            return LedgerReply::NotHeld;
        };
        let previous_bytes = entry.body_bytes();
        let reply = entry.settle(
            claim,
            limits.outcome_within_limits(outcome, remaining_body_bytes),
        );
        self.body_bytes = self.body_bytes - previous_bytes + entry.body_bytes();
        reply
    }

    fn release(&mut self, key: &LedgerKey, claim: ClaimId) -> LedgerReply {
        match self.entries.get_mut(&OrderedKey::from(key)) {
            Some(entry) => entry.release(claim),
            None => LedgerReply::NotHeld,
        }
    }

    fn look_up(&self, key: &LedgerKey) -> ClaimAnswer {
        if key.issued_at_ms < self.horizon_ms {
            return ClaimAnswer::BelowHorizon {
                horizon_ms: self.horizon_ms,
            };
        }
        match self.entries.get(&OrderedKey::from(key)) {
            Some(entry) => entry.look_up(),
            None => ClaimAnswer::Free,
        }
    }
}

/// A command of a ledger group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerCommand {
    /// The first command of a new ledger, after which keys that were issued earlier are refused.
    ///
    /// A ledger is also new if a deployment was formed again after the loss of all its disks. The claims that its
    /// predecessor granted are then unknown, and must not be granted a second time.
    Open {
        /// The proposer's time, in milliseconds since the Unix epoch.
        proposed_at_ms: u64,
    },
    /// Requests that are applied together, in order.
    Batch {
        /// The proposer's time, in milliseconds since the Unix epoch.
        proposed_at_ms: u64,
        /// The limits that apply to the requests.
        limits: LedgerLimits,
        /// The requests.
        requests: Vec<LedgerRequest>,
    },
}

impl LedgerState {
    /// Applies a committed command, with the same result on every replica.
    pub fn apply_command(&mut self, command: &LedgerCommand) -> Vec<LedgerReply> {
        match command {
            LedgerCommand::Open { proposed_at_ms } => {
                self.open(*proposed_at_ms);
                Vec::new()
            }
            LedgerCommand::Batch {
                proposed_at_ms,
                limits,
                requests,
            } => self.apply(*proposed_at_ms, limits, requests),
        }
    }

    /// Whether [`LedgerCommand::Open`] has been applied.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Moves the horizon to the opening, less [`OPENING_CLOCK_SKEW_MS`].
    fn open(&mut self, proposed_at_ms: u64) {
        if self.is_open {
            return;
        }
        self.is_open = true;
        let horizon_ms = proposed_at_ms.saturating_sub(OPENING_CLOCK_SKEW_MS);
        self.horizon_ms = self.horizon_ms.max(horizon_ms);
    }

    /// Encodes the state for a snapshot.
    pub fn snapshot(&self) -> Result<Vec<u8>, CodecError> {
        codec::encode("encode snapshot of a ledger group", self)
    }

    /// Decodes the state from a snapshot.
    pub fn restore(data: &[u8]) -> Result<Self, CodecError> {
        codec::decode("decode snapshot of a ledger group", data)
    }
}
