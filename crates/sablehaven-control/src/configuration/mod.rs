//! The configuration as a deterministic state machine: compare-and-set on the version, and bounded
//! memory of what became of operators' commands.

mod change;
mod outcomes;

use std::collections::{BTreeSet, VecDeque};

use sablehaven_types::{
    ApplyCommand, ApplyOutcome, CommandRecord, Configuration, ConfigurationChange, ServiceName,
};
use serde::{Deserialize, Serialize};

use self::outcomes::OutcomeCache;

/// Winning commands that the history keeps.
pub const HISTORY_LIMIT: usize = 256;

/// The configuration in force, with who made it and what became of recent commands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationState {
    current: Configuration,
    history: VecDeque<CommandRecord>,
    outcomes: OutcomeCache,
}

/// What a command changed, for the updates that relays get.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationDifference {
    /// Whether the schema changed.
    pub schema: bool,
    /// Services that were added, changed or removed.
    pub services: BTreeSet<ServiceName>,
}

impl ConfigurationState {
    /// The configuration in force.
    pub fn current(&self) -> &Configuration {
        &self.current
    }

    /// The commands that won the latest versions, oldest first.
    pub fn history(&self) -> &VecDeque<CommandRecord> {
        &self.history
    }

    /// The first outcome of a command, if it is still remembered.
    pub fn recorded_outcome(&self, command: &ApplyCommand) -> Option<ApplyOutcome> {
        self.outcomes.get(&command.command_id).cloned()
    }

    /// The configuration that a command would make, or every reason why it cannot be made.
    ///
    /// Used before a command is proposed, so that an invalid one never enters the log.
    pub fn preview(&self, change: &ConfigurationChange) -> Result<Configuration, Vec<String>> {
        change::apply(&self.current, change)
    }

    /// Applies a committed command; the same on every replica.
    pub fn apply(
        &mut self,
        command: ApplyCommand,
        proposed_at_ms: u64,
    ) -> (ApplyOutcome, ConfigurationDifference) {
        if let Some(first) = self.outcomes.get(&command.command_id) {
            return (first.clone(), ConfigurationDifference::default());
        }
        let command_id = command.command_id.clone();
        let (outcome, difference) = self.apply_first(command, proposed_at_ms);
        self.outcomes.insert(command_id, outcome.clone());
        (outcome, difference)
    }

    fn apply_first(
        &mut self,
        command: ApplyCommand,
        proposed_at_ms: u64,
    ) -> (ApplyOutcome, ConfigurationDifference) {
        if command.expected_version != self.current.version {
            let outcome = self.conflict(&command);
            return (outcome, ConfigurationDifference::default());
        }
        match change::apply(&self.current, &command.change) {
            Ok(next) => self.accept(next, command, proposed_at_ms),
            Err(reasons) => {
                let outcome = ApplyOutcome::Invalid { reasons };
                (outcome, ConfigurationDifference::default())
            }
        }
    }

    /// A command whose outcome is forgotten, but which the history still names as the winner, was
    /// accepted: its resend is not told that it lost against itself.
    fn conflict(&self, command: &ApplyCommand) -> ApplyOutcome {
        let winner = self.accepted_from_version(command.expected_version);
        match winner {
            Some(record) if record.command_id == command.command_id => ApplyOutcome::Accepted {
                version: record.version,
            },
            winner => ApplyOutcome::Conflict {
                current_version: self.current.version,
                winner: winner.cloned(),
            },
        }
    }

    fn accepted_from_version(&self, expected_version: u64) -> Option<&CommandRecord> {
        let accepted_version = expected_version.checked_add(1)?;
        self.history
            .iter()
            .find(|record| record.version == accepted_version)
    }

    fn accept(
        &mut self,
        next: Configuration,
        command: ApplyCommand,
        proposed_at_ms: u64,
    ) -> (ApplyOutcome, ConfigurationDifference) {
        let difference = change::difference(&self.current, &next);
        let version = next.version;
        self.current = next;
        self.history.push_back(CommandRecord {
            version,
            command_id: command.command_id,
            operator: command.operator,
            reason: command.reason,
            proposed_at_ms,
        });
        while self.history.len() > HISTORY_LIMIT {
            self.history.pop_front();
        }
        (ApplyOutcome::Accepted { version }, difference)
    }
}
