//! Changes of the members, one at a time.
//!
//! With one replica added or removed at a time, every quorum before a change shares a replica with
//! every quorum after it, so a change may be in force as soon as it is appended (Ongaro's thesis,
//! 4.1; with the correction that a leader first commits an entry of its own term).

use serde::{Deserialize, Serialize};

use crate::{
    EntryPayload, Membership, MembershipError, Position, Replica, ReplicaId, replica::RoleState,
};

/// A change of the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a replica that receives the log but does not count. One learner at a time.
    AddLearner(ReplicaId),
    /// Makes a learner that has caught up a voter.
    Promote(ReplicaId),
    /// Removes a voter or a learner. A leader that removes itself leads until that is committed.
    Remove(ReplicaId),
}

impl Replica {
    /// Starts a change of the members; it is done once the entry at the returned place is committed.
    pub fn change_membership(
        &mut self,
        change: MembershipChange,
    ) -> Result<Position, MembershipError> {
        self.check_no_change_pending()?;
        let membership = self.changed_membership(change)?;
        self.check_quorum_answers(&membership)?;
        let position = self.append_as_leader(EntryPayload::Membership(membership));
        let peers = self.other_members();
        if let RoleState::Leader(leading) = &mut self.role {
            leading.set_peers(&peers, position.index);
        }
        // With fewer voters, what is there may be enough.
        self.advance_commit();
        Ok(position)
    }

    fn check_no_change_pending(&self) -> Result<(), MembershipError> {
        let RoleState::Leader(leading) = &self.role else {
            let leader = self.leader;
            return Err(MembershipError::NotLeader { leader });
        };
        if leading.transfer.is_some() {
            return Err(MembershipError::NotLeader { leader: None });
        }
        if self.log.commit() < leading.term_start {
            return Err(MembershipError::LeaderNotReady);
        }
        let index = self.memberships.current_index();
        if index > self.log.commit() {
            return Err(MembershipError::ChangePending { index });
        }
        Ok(())
    }

    fn changed_membership(&self, change: MembershipChange) -> Result<Membership, MembershipError> {
        let mut membership = self.memberships.current().clone();
        match change {
            MembershipChange::AddLearner(replica) => {
                if membership.contains(replica) {
                    return Err(MembershipError::AlreadyMember { replica });
                }
                if let Some(learner) = membership.learners.first() {
                    let learner = *learner;
                    return Err(MembershipError::LearnerPending { learner });
                }
                membership.learners.insert(replica);
            }
            MembershipChange::Promote(replica) => {
                if !membership.learners.remove(&replica) {
                    return Err(MembershipError::NotLearner { replica });
                }
                self.check_caught_up(replica)?;
                membership.voters.insert(replica);
            }
            MembershipChange::Remove(replica) => {
                let was_voter = membership.voters.remove(&replica);
                if !was_voter && !membership.learners.remove(&replica) {
                    return Err(MembershipError::NotMember { replica });
                }
            }
        }
        Ok(membership)
    }

    fn check_caught_up(&self, learner: ReplicaId) -> Result<(), MembershipError> {
        let match_index = match &self.role {
            RoleState::Leader(leading) => leading.peers.get(&learner),
            _ => None,
        }
        .map_or(0, |progress| progress.match_index);
        let lag = self.log.commit().saturating_sub(match_index);
        // A blank learner may lag little in a short log; it must have acknowledged something.
        let is_behind = match_index == 0 || lag > self.config.promote_lag_entries;
        if is_behind || !self.is_answering(learner) {
            return Err(MembershipError::NotCaughtUp { learner, lag });
        }
        Ok(())
    }

    /// A change that leaves a quorum which does not answer could never be committed, nor undone.
    fn check_quorum_answers(&self, membership: &Membership) -> Result<(), MembershipError> {
        let voters = membership.voters.iter();
        let active = voters.filter(|voter| self.is_answering(**voter)).count();
        let quorum = membership.quorum();
        if active < quorum {
            return Err(MembershipError::WouldLoseQuorum { active, quorum });
        }
        Ok(())
    }

    /// Whether a replica is this one, or answered this leader within the last election timeout.
    pub(crate) fn is_answering(&self, replica: ReplicaId) -> bool {
        let RoleState::Leader(leading) = &self.role else {
            return false;
        };
        let timeout = self.config.election_timeout_ticks;
        let peer = leading.peers.get(&replica);
        replica == self.id || peer.is_some_and(|progress| progress.is_active(timeout))
    }
}
