//! Bounded memory of the first outcome of each command.

use std::collections::{BTreeMap, VecDeque};

use sablehaven_types::{ApplyOutcome, CommandId};
use serde::{Deserialize, Serialize};

/// Outcomes that are remembered for resends; the oldest is forgotten first.
const MAX_OUTCOMES: usize = 1_024;

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OutcomeCache {
    outcomes: BTreeMap<CommandId, ApplyOutcome>,
    order: VecDeque<CommandId>,
}

impl OutcomeCache {
    pub(super) fn get(&self, command: &CommandId) -> Option<&ApplyOutcome> {
        self.outcomes.get(command)
    }

    /// Remembers the outcome of a command that is not remembered yet.
    pub(super) fn insert(&mut self, command: CommandId, outcome: ApplyOutcome) {
        self.outcomes.insert(command.clone(), outcome);
        self.order.push_back(command);
        while self.order.len() > MAX_OUTCOMES {
            if let Some(oldest) = self.order.pop_front() {
                self.outcomes.remove(&oldest);
            }
        }
    }
}
