//! The control replicas as a deterministic state machine: their addresses, and one change of them
//! at a time.
//!
//! The state says what every consensus group's members are to be; the leader of each group brings
//! its group there (see [`Target`]). A change moves through phases, each of which starts only when
//! the one before is done in every group, so that a second change cannot start half-way.

mod change;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
};

use sablehaven_consensus::ReplicaId;
use serde::{Deserialize, Serialize};

pub use self::change::{ChangeKind, ChangePhase, ReplacementOrder, ReplicaChange};

/// Changes that are remembered after they are done.
const HISTORY_LIMIT: usize = 32;

/// Where a control replica is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaAddresses {
    /// For internal connections.
    pub internal: SocketAddr,
    /// Its operators' interface.
    pub http: SocketAddr,
}

/// A command about the control replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicasCommand {
    /// The first members of a new deployment; ignored once there are any.
    Form(BTreeMap<ReplicaId, ReplicaAddresses>),
    /// A known replica is reached elsewhere.
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
    /// The phase is done in every group.
    Advance {
        /// The change's number.
        change: u64,
        /// The phase that is done.
        phase: ChangePhase,
    },
}

/// What became of a command about the control replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ReplicasOutcome {
    /// The change has started, with this number.
    Started {
        /// The change's number.
        change: u64,
    },
    /// Another change is not done yet.
    Busy {
        /// The change that is under way.
        current: ReplicaChange,
    },
    /// The change makes no sense here.
    Refused {
        /// Why.
        reason: String,
    },
    /// Recorded, or already so.
    Recorded,
}

/// What the members of every group are to be now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Target {
    /// Replicas that are to vote.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that are to follow without a vote.
    pub learners: BTreeSet<ReplicaId>,
}

/// The control replicas and the change under way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicasState {
    replicas: BTreeMap<ReplicaId, ReplicaAddresses>,
    change: Option<ReplicaChange>,
    finished: VecDeque<ReplicaChange>,
    changes: u64,
}

impl ReplicasState {
    /// Every replica that is or becomes a member, with its addresses.
    pub fn replicas(&self) -> &BTreeMap<ReplicaId, ReplicaAddresses> {
        &self.replicas
    }

    /// The change under way.
    pub fn change(&self) -> Option<&ReplicaChange> {
        self.change.as_ref()
    }

    /// Whether the change with this number is done (or was called off).
    pub fn is_finished(&self, number: u64) -> bool {
        let under_way = self.change.as_ref();
        number <= self.changes && under_way.is_none_or(|change| change.number != number)
    }

    /// What the members of every group are to be now.
    pub fn target(&self) -> Target {
        let mut target = Target {
            voters: self.replicas.keys().copied().collect(),
            learners: BTreeSet::new(),
        };
        let Some(change) = &self.change else {
            return target;
        };
        if let Some(added) = change.kind.added()
            && !change.has_promoted()
        {
            target.voters.remove(&added);
            target.learners.insert(added);
        }
        if let Some(removed) = change.kind.removed()
            && change.has_removed()
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
            // The operator's answer was lost, and it has sent the same again.
            return ReplicasOutcome::Started {
                change: current.number,
            };
        }
        if let Some(current) = &self.change
            && !current.may_be_called_off_by(kind)
        {
            return ReplicasOutcome::Busy {
                current: current.clone(),
            };
        }
        if let Err(reason) = self.check(kind, addresses) {
            return refused(reason);
        }
        if let Some(called_off) = self.change.take() {
            // What is out of every group already must not be taken back in.
            if called_off.has_removed()
                && let Some(removed) = called_off.kind.removed()
            {
                self.replicas.remove(&removed);
            }
            self.remember(called_off);
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

    /// A replacement may take the address of the replica that it replaces, and no other.
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

    /// A phase that is not the current one is an old leader's word and changes nothing.
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
            self.remember(done);
        }
        ReplicasOutcome::Recorded
    }

    fn remember(&mut self, change: ReplicaChange) {
        self.finished.push_back(change);
        while self.finished.len() > HISTORY_LIMIT {
            self.finished.pop_front();
        }
    }
}

fn refused(reason: String) -> ReplicasOutcome {
    ReplicasOutcome::Refused { reason }
}
