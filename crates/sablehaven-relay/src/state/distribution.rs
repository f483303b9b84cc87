//! Encodes updates and shares them between agents with the same interest and revision.

use std::collections::HashMap;

use sablehaven_wire::{EncodedMessage, RelayToAgent, StateUpdate, UpdateCheck};

use crate::state::{RelayState, interest::Interest};

/// Maximum number of encoded updates cached for the latest revision.
const MAX_CACHED_UPDATES: usize = 256;

/// An encoded update.
#[derive(Clone)]
pub struct EncodedUpdate {
    /// The encoded message.
    pub message: EncodedMessage<RelayToAgent>,
    /// The revision that the receiver has after applying the update.
    pub revision: u64,
    /// Whether the update contains the full state.
    pub full: bool,
}

/// The state, and a cache of encoded updates to its latest revision.
///
/// Updates are not queued per agent. When an agent's connection can be written again, the agent
/// gets a single update from the revision last sent to it to the latest one. A slow agent therefore
/// skips the revisions in between and uses no memory for them.
#[derive(Default)]
pub struct Distribution {
    state: RelayState,
    cached: HashMap<(Interest, u64), EncodedUpdate>,
    encoded_count: u64,
}

impl Distribution {
    /// The state.
    pub fn state(&self) -> &RelayState {
        &self.state
    }

    /// Applies an update from control if [`StateUpdate::check`] allows it, and then clears the cache.
    pub fn apply(&mut self, update: StateUpdate) -> UpdateCheck {
        let check = self.state.apply(update);
        if check == UpdateCheck::Applies {
            self.cached.clear();
        }
        check
    }

    /// The encoded update for a receiver at `from_revision`, or `None` if it already has the latest
    /// revision.
    pub fn update_from(
        &mut self,
        from_revision: u64,
        interest: &Interest,
    ) -> Result<Option<EncodedUpdate>, rmp_serde::encode::Error> {
        if from_revision >= self.state.revision() {
            return Ok(None);
        }
        let key = (interest.clone(), from_revision);
        if let Some(update) = self.cached.get(&key) {
            return Ok(Some(update.clone()));
        }
        let update = self.encode(from_revision, interest)?;
        if self.cached.len() >= MAX_CACHED_UPDATES {
            self.cached.clear();
        }
        if let Some(update) = &update {
            self.cached.insert(key, update.clone());
        }
        Ok(update)
    }

    /// Number of updates encoded so far.
    pub fn encoded_count(&self) -> u64 {
        self.encoded_count
    }

    fn encode(
        &mut self,
        from_revision: u64,
        interest: &Interest,
    ) -> Result<Option<EncodedUpdate>, rmp_serde::encode::Error> {
        let Some(update) = self.state.update_from(from_revision, interest) else {
            return Ok(None);
        };
        self.encoded_count += 1;
        let (revision, full) = (update.revision, update.full);
        let message = EncodedMessage::new(&RelayToAgent::Update(update))?;
        Ok(Some(EncodedUpdate {
            message,
            revision,
            full,
        }))
    }
}
