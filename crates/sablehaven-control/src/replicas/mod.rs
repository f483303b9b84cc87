//! The control replicas as a deterministic state machine: their addresses, and one membership change at a time.
//!
//! The state defines the members that every consensus group should have (see [`Target`]); the leader of each group
//! changes its group accordingly. A change proceeds in phases. Each phase starts only when the previous one is complete
//! in every group, so that a second change cannot start while some groups have not finished the first.

mod change;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
};

use sablehaven_consensus::ReplicaId;
use serde::{Deserialize, Serialize};

pub use self::change::{ChangeKind, ChangePhase, ReplacementOrder, ReplicaChange};

/// Maximum number of finished changes that are kept.
const HISTORY_LIMIT: usize = 32;

/// The addresses of a control replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaAddresses {
    /// Its address for internal connections.
    pub internal: SocketAddr,
    /// The address of its operator interface.
    pub http: SocketAddr,
}

/// A command about the control replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicasCommand {
    /// Sets the first members of a new deployment; ignored if there are members already.
    Form(BTreeMap<ReplicaId, ReplicaAddresses>),
    /// Updates the addresses of a known replica.
    Announce {
        /// The replica.
        replica: ReplicaId,
        /// Its addresses.
        addresses: ReplicaAddresses,
    },
    /// Starts a change.
    Begin {
        /// The change.
        kind: ChangeKind,
        /// The addresses of the replica that is added, if any.
        addresses: Option<ReplicaAddresses>,
    },
    /// Reports that a phase is complete in every group.
    Advance {
        /// The change's number.
        change: u64,
        /// The phase that is complete.
        phase: ChangePhase,
    },
}

/// The outcome of a command about the control replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ReplicasOutcome {
    /// The change has started.
    Started {
        /// The change's number.
        change: u64,
    },
    /// Another change is in progress.
    Busy {
        /// The change that is in progress.
        current: ReplicaChange,
    },
    /// The change is not valid for the current members.
    Refused {
        /// The reason.
        reason: String,
    },
    /// The command has been applied, or it had no effect.
    Recorded,
}

/// The members that every group should have.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Target {
    /// Replicas that should be voters.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that should be learners, without a vote.
    pub learners: BTreeSet<ReplicaId>,
}

/// The control replicas, and the change in progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicasState {
    replicas: BTreeMap<ReplicaId, ReplicaAddresses>,
    change: Option<ReplicaChange>,
    finished: VecDeque<ReplicaChange>,
    changes: u64,
}

impl ReplicasState {
    /// Returns every replica that is or will become a member, with its addresses.
    pub fn replicas(&self) -> &BTreeMap<ReplicaId, ReplicaAddresses> {
        &self.replicas
    }

    /// Returns the change in progress.
    pub fn change(&self) -> Option<&ReplicaChange> {
        self.change.as_ref()
    }

    /// Whether the change with this number is finished or was cancelled.
    pub fn is_finished(&self, number: u64) -> bool {
        let current = self.change.as_ref();
        number <= self.changes && current.is_none_or(|change| change.number != number)
    }

    /// Returns the members that every group should have in the current phase.
    pub fn target(&self) -> Target {
        let mut target = Target {
            voters: self.replicas.keys().copied().collect(),
            learners: BTreeSet::new(),
        };
        let Some(change) = &self.change else {
            return target;
        };
        if let Some(added) = change.kind.added()
            && !change.has_reached_promotion()
        {
            target.voters.remove(&added);
            target.learners.insert(added);
        }
        if let Some(removed) = change.kind.removed()
            && change.has_reached_removal()
        {
            target.voters.remove(&removed);
        }
        target
    }

    /// Applies a committed command; the same on every replica.
    pub fn apply(&mut self, command: ReplicasCommand) -> ReplicasOutcome {
        match command {
            ReplicasCommand::Form(replicas) => self.form(replicas),
            ReplicasCommand::Announce { replica, addresses } => self.announce(replica, addresses),
            ReplicasCommand::Begin { kind, addresses } => self.begin(kind, addresses),
            ReplicasCommand::Advance { change, phase } => self.advance(change, phase),
        }
    }

    fn form(&mut self, replicas: BTreeMap<ReplicaId, ReplicaAddresses>) -> ReplicasOutcome {
        if self.replicas.is_empty() {
            self.replicas = replicas;
        }
        ReplicasOutcome::Recorded
    }

    fn announce(&mut self, replica: ReplicaId, addresses: ReplicaAddresses) -> ReplicasOutcome {
        match self.replicas.get_mut(&replica) {
            Some(known) => {
                *known = addresses;
                ReplicasOutcome::Recorded
            }
            None => refused(format!("replica {replica} is not a member")),
        }
    }

    fn begin(&mut self, kind: ChangeKind, addresses: Option<ReplicaAddresses>) -> ReplicasOutcome {
        if let Some(current) = &self.change
            && current.kind.has_same_members(kind)
        {
            // The operator did not receive the response and has repeated the command.
            return ReplicasOutcome::Started {
                change: current.number,
            };
        }
        if let Some(current) = &self.change
            && !current.can_be_cancelled_by(kind)
        {
            return ReplicasOutcome::Busy {
                current: current.clone(),
            };
        }
        if let Err(reason) = self.check(kind, addresses) {
            return refused(reason);
        }
        if let Some(cancelled) = self.change.take() {
            // A replica that has already been removed from every group must not be added again.
            if cancelled.has_reached_removal()
                && let Some(removed) = cancelled.kind.removed()
            {
                self.replicas.remove(&removed);
            }
            self.record_finished(cancelled);
        }
        if let (Some(added), Some(addresses)) = (kind.added(), addresses) {
            self.replicas.insert(added, addresses);
        }
        self.changes += 1;
        self.change = Some(ReplicaChange::new(self.changes, kind));
        ReplicasOutcome::Started {
            change: self.changes,
        }
    }

    /// Checks that a change is valid for the current members; the error is the reason of the refusal.
    fn check(&self, kind: ChangeKind, addresses: Option<ReplicaAddresses>) -> Result<(), String> {
        if let Some(added) = kind.added() {
            if self.replicas.contains_key(&added) {
                return Err(format!("replica {added} is a member already"));
            }
            let Some(addresses) = addresses else {
                return Err(format!("replica {added} comes without addresses"));
            };
            self.check_address_is_free(kind, addresses)?;
        }
        let Some(removed) = kind.removed() else {
            return Ok(());
        };
        if !self.replicas.contains_key(&removed) {
            return Err(format!("replica {removed} is not a member"));
        }
        if self.replicas.len() == 1 && kind.added().is_none() {
            return Err(format!("replica {removed} is the only one"));
        }
        Ok(())
    }

    /// Checks that no member uses the address of the new replica, except the one that it replaces.
    fn check_address_is_free(
        &self,
        kind: ChangeKind,
        addresses: ReplicaAddresses,
    ) -> Result<(), String> {
        let taken = self.replicas.iter().find(|(replica, known)| {
            known.internal == addresses.internal && Some(**replica) != kind.removed()
        });
        match taken {
            Some((replica, _)) => Err(format!(
                "address {} belongs to replica {replica}; replace that one",
                addresses.internal
            )),
            None => Ok(()),
        }
    }

    /// Moves to the next phase, or finishes the change after the last one. A report of any other phase than the current
    /// one was proposed by a former leader and is ignored.
    fn advance(&mut self, number: u64, phase: ChangePhase) -> ReplicasOutcome {
        let Some(change) = &mut self.change else {
            return ReplicasOutcome::Recorded;
        };
        if change.number != number || change.phase != phase {
            return ReplicasOutcome::Recorded;
        }
        if let Some(next) = change.next_phase() {
            change.phase = next;
            return ReplicasOutcome::Recorded;
        }
        if let Some(done) = self.change.take() {
            if let Some(removed) = done.kind.removed() {
                self.replicas.remove(&removed);
            }
            self.record_finished(done);
        }
        ReplicasOutcome::Recorded
    }

    /// Adds a change to the bounded history.
    fn record_finished(&mut self, change: ReplicaChange) {
        self.finished.push_back(change);
        while self.finished.len() > HISTORY_LIMIT {
            self.finished.pop_front();
        }
    }
}

fn refused(reason: String) -> ReplicasOutcome {
    ReplicasOutcome::Refused { reason }
}
