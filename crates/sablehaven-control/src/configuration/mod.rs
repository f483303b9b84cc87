//! The configuration as a deterministic state machine. A command is a compare-and-set on the configuration's version. A
//! bounded number of command outcomes is kept, so that a command that is sent again gets its first outcome.

mod change;
mod outcomes;

use std::collections::{BTreeSet, VecDeque};

use sablehaven_types::{
    ApplyCommand, ApplyOutcome, CommandRecord, Configuration, ConfigurationChange, ServiceName,
};
use serde::{Deserialize, Serialize};

use self::outcomes::OutcomeCache;

/// The most accepted commands that the history keeps.
pub const HISTORY_LIMIT: usize = 256;

/// The current configuration, the history of accepted commands, and the outcomes of recent commands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationState {
    current: Configuration,
    history: VecDeque<CommandRecord>,
    outcomes: OutcomeCache,
}

/// What a command changed, from which the updates for relays are made.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationDifference {
    /// Whether the schema changed.
    pub schema: bool,
    /// Services that were added, changed or removed.
    pub services: BTreeSet<ServiceName>,
}

impl ConfigurationState {
    /// The current configuration.
    pub fn current(&self) -> &Configuration {
        &self.current
    }

    /// The commands that made the latest versions, oldest first.
    pub fn history(&self) -> &VecDeque<CommandRecord> {
        &self.history
    }

    /// The first outcome of a command, if it is still recorded.
    pub fn recorded_outcome(&self, command: &ApplyCommand) -> Option<ApplyOutcome> {
        self.outcomes.get(&command.command_id).cloned()
    }

    /// Returns the configuration that a change would make, or every reason why the change is invalid.
    ///
    /// Called before a command is proposed, so that invalid commands stay out of the log.
    pub fn preview(&self, change: &ConfigurationChange) -> Result<Configuration, Vec<String>> {
        change::apply(&self.current, change)
    }

    /// Applies a committed command, with the same result on every replica.
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

    /// Applies a command that has no recorded outcome.
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

    /// Returns the outcome of a command that expects a version other than the current one. If the history lists this
    /// very command as the one that replaced the expected version, it was accepted and its recorded outcome has been
    /// evicted: its resend gets that outcome again, not a conflict with itself.
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

    /// Returns the accepted command that replaced a version, if the history still contains it.
    fn accepted_from_version(&self, expected_version: u64) -> Option<&CommandRecord> {
        let accepted_version = expected_version.checked_add(1)?;
        self.history
            .iter()
            .find(|record| record.version == accepted_version)
    }

    /// Makes a configuration current and adds its command to the history.
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
