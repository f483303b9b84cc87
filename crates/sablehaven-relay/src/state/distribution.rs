//! Encoded updates, shared between agents with the same interest and revision.

use std::collections::HashMap;

use sablehaven_wire::{EncodedMessage, RelayToAgent, StateUpdate, UpdateFit};

use crate::state::{RelayState, interest::Interest};

/// Encoded updates kept for the newest revision, at most.
const MAXIMUM_FRAMES: usize = 256;

/// An encoded update.
#[derive(Clone)]
pub struct Frame {
    /// The message.
    pub message: EncodedMessage<RelayToAgent>,
    /// The revision that the receiver has after it.
    pub revision: u64,
    /// Whether it is the whole state.
    pub full: bool,
}

/// The state, and the encoded updates that lead to its newest revision.
///
/// There is no queue for an agent: whenever its connection takes bytes again, the agent gets the
/// one update that leads from what it was last sent to the newest revision. A slow agent skips the
/// revisions between, and costs no memory.
#[derive(Default)]
pub struct Distribution {
    state: RelayState,
    frames: HashMap<(Interest, u64), Frame>,
    encoded: u64,
}

impl Distribution {
    /// The state.
    pub fn state(&self) -> &RelayState {
        &self.state
    }

    /// Applies an update from control, if it fits.
    pub fn apply(&mut self, update: StateUpdate) -> UpdateFit {
        let fit = self.state.apply(update);
        if fit == UpdateFit::Applies {
            self.frames.clear();
        }
        fit
    }

    /// The encoded update for a receiver at revision `from`; `None` when it has the newest.
    pub fn frame(
        &mut self,
        from: u64,
        interest: &Interest,
    ) -> Result<Option<Frame>, rmp_serde::encode::Error> {
        if from >= self.state.revision() {
            return Ok(None);
        }
        let key = (interest.clone(), from);
        if let Some(frame) = self.frames.get(&key) {
            return Ok(Some(frame.clone()));
        }
        let frame = self.encode(from, interest)?;
        if self.frames.len() >= MAXIMUM_FRAMES {
            self.frames.clear();
        }
        if let Some(frame) = &frame {
            self.frames.insert(key, frame.clone());
        }
        Ok(frame)
    }

    /// How many updates were encoded so far.
    pub fn encoded(&self) -> u64 {
        self.encoded
    }

    fn encode(
        &mut self,
        from: u64,
        interest: &Interest,
    ) -> Result<Option<Frame>, rmp_serde::encode::Error> {
        let Some(update) = self.state.update_from(from, interest) else {
            return Ok(None);
        };
        self.encoded += 1;
        let (revision, full) = (update.revision, update.full);
        let message = EncodedMessage::new(&RelayToAgent::Update(update))?;
        Ok(Some(Frame {
            message,
            revision,
            full,
        }))
    }
}
