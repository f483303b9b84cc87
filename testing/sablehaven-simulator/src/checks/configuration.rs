//! The configuration: a linearizable register of versions that never go back, in force at agents
//! within a lease.
//!
//! Each accepted command makes the next version, so a history is linearizable exactly if every
//! operation's version is at least that of every operation that ended before it began, no two
//! commands have the same version, and nobody sees a version before it exists.

use std::collections::BTreeMap;

use sablehaven_types::{ApplyCommand, ApplyOutcome, CommandId};

use super::{Property, Verdict, seconds};
use crate::event_queue::Micros;

/// What an operation must see: the largest version that any operator knew of when it began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperationFloor(u64);

#[derive(Debug)]
pub(super) struct ConfigurationChecks {
    longest_lease: Micros,
    /// When each version was first applied by any replica.
    applied_at: BTreeMap<u64, Micros>,
    known_to_operators: u64,
    winners: BTreeMap<u64, CommandId>,
    outcomes: BTreeMap<CommandId, ApplyOutcome>,
    agents: BTreeMap<usize, u64>,
}

fn broken(detail: String) -> Verdict {
    Err((Property::ConfigurationLinearizable, detail))
}

impl ConfigurationChecks {
    pub(super) fn new(longest_lease: Micros) -> Self {
        Self {
            longest_lease,
            applied_at: BTreeMap::from([(0, 0)]),
            known_to_operators: 0,
            winners: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            agents: BTreeMap::new(),
        }
    }

    pub(super) fn latest_version(&self) -> u64 {
        self.applied_at.keys().next_back().copied().unwrap_or(0)
    }

    pub(super) fn latest_version_at(&self) -> Micros {
        self.applied_at.values().next_back().copied().unwrap_or(0)
    }

    pub(super) fn version_applied(&mut self, now: Micros, version: u64) {
        self.applied_at.entry(version).or_insert(now);
    }

    pub(super) fn operation_started(&self) -> OperationFloor {
        OperationFloor(self.known_to_operators)
    }

    pub(super) fn version_read(&mut self, floor: OperationFloor, version: u64) -> Verdict {
        self.see(version)?;
        if version < floor.0 {
            return broken(format!("version {version} was read after {}", floor.0));
        }
        Ok(())
    }

    /// An operator learns of a version.
    fn see(&mut self, version: u64) -> Verdict {
        self.known_to_operators = self.known_to_operators.max(version);
        if self.applied_at.contains_key(&version) {
            return Ok(());
        }
        broken(format!("version {version} was seen, but never made"))
    }

    pub(super) fn command_finished(
        &mut self,
        floor: OperationFloor,
        command: &ApplyCommand,
        outcome: &ApplyOutcome,
    ) -> Verdict {
        let id = &command.command_id;
        if let Some(first) = self.outcomes.get(id) {
            if first == outcome {
                return Ok(());
            }
            return broken(format!("{id} got {outcome:?} after {first:?}"));
        }
        self.outcomes.insert(id.clone(), outcome.clone());
        match outcome {
            ApplyOutcome::Accepted { version } => {
                self.see(*version)?;
                self.accepted(floor, command, *version)
            }
            ApplyOutcome::Conflict {
                current_version,
                winner,
            } => {
                self.see(*current_version)?;
                let winner = winner.as_ref();
                let winner = winner.map(|record| (record.version, &record.command_id));
                self.refused(floor, command, *current_version, winner)
            }
            ApplyOutcome::Invalid { .. } => Ok(()),
        }
    }

    fn accepted(&mut self, floor: OperationFloor, command: &ApplyCommand, version: u64) -> Verdict {
        let id = &command.command_id;
        if version != command.expected_version + 1 {
            let expected = command.expected_version;
            return broken(format!("{id} expected {expected} and made {version}"));
        }
        if version <= floor.0 {
            return broken(format!("{id} made {version} after {} was known", floor.0));
        }
        self.won(version, id)
    }

    fn won(&mut self, version: u64, id: &CommandId) -> Verdict {
        let winner = self.winners.entry(version).or_insert_with(|| id.clone());
        if winner == id {
            return Ok(());
        }
        broken(format!("{winner} and {id} both made version {version}"))
    }

    fn refused(
        &mut self,
        floor: OperationFloor,
        command: &ApplyCommand,
        current: u64,
        winner: Option<(u64, &CommandId)>,
    ) -> Verdict {
        let id = &command.command_id;
        if current < floor.0 || current == command.expected_version {
            let expected = command.expected_version;
            return broken(format!(
                "{id} expected {expected} and was refused at {current} after {}",
                floor.0
            ));
        }
        match winner {
            Some((version, winner)) => self.won(version, winner),
            None => Ok(()),
        }
    }

    pub(super) fn agent_started(&mut self, agent: usize) {
        self.agents.remove(&agent);
    }

    pub(super) fn agent(
        &mut self,
        now: Micros,
        agent: usize,
        version: u64,
        is_current: bool,
    ) -> Verdict {
        let before = self.agents.insert(agent, version).unwrap_or(0);
        if version < before {
            return broken(format!("agent {agent} went from {before} to {version}"));
        }
        let next = self.applied_at.range(version + 1..).next();
        let Some((newer, applied_at)) = next else {
            return Ok(());
        };
        if is_current && now > applied_at + self.longest_lease {
            let detail = format!(
                "agent {agent} calls itself current at version {version}, but {newer} was \
                 accepted {:.3} s ago",
                seconds(now - applied_at)
            );
            return Err((Property::InForceWithinLease, detail));
        }
        Ok(())
    }
}
