//! A bounded cache of the first outcome of each command.

use std::collections::{BTreeMap, VecDeque};

use sablehaven_types::{ApplyOutcome, CommandId};
use serde::{Deserialize, Serialize};

/// The most outcomes that are kept for commands that are sent again; the oldest are evicted first.
const MAX_OUTCOMES: usize = 1_024;

/// The first outcomes of recent commands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OutcomeCache {
    outcomes: BTreeMap<CommandId, ApplyOutcome>,
    /// The commands in the order in which their outcomes were added.
    order: VecDeque<CommandId>,
}

impl OutcomeCache {
    pub(super) fn get(&self, command: &CommandId) -> Option<&ApplyOutcome> {
        self.outcomes.get(command)
    }

    /// Adds the outcome of a command, which must not have one yet.
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
