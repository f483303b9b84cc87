//! Membership changes, one at a time.
//!
//! If one replica is added or removed at a time, every quorum before a change shares a replica with
//! every quorum after it. A change can therefore take effect as soon as it is appended (Ongaro's
//! thesis, section 4.1, with the correction that a leader first commits an entry of its own term).

use serde::{Deserialize, Serialize};

use crate::{
    EntryPayload, Membership, MembershipError, Position, Replica, ReplicaId, replica::RoleState,
};

/// A membership change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a replica that receives the log but does not count towards a quorum. There can be only
    /// one learner at a time.
    AddLearner(ReplicaId),
    /// Turns a learner that has caught up into a voter.
    Promote(ReplicaId),
    /// Removes a voter or a learner. A leader that removes itself keeps leading until the removal
    /// is committed.
    Remove(ReplicaId),
}

impl Replica {
    /// Starts a membership change. It is complete once the entry at the returned position is
    /// committed.
    pub fn change_membership(
        &mut self,
        change: MembershipChange,
    ) -> Result<Position, MembershipError> {
        self.check_no_change_pending()?;
        let membership = self.changed_membership(change)?;
        self.check_quorum_active(&membership)?;
        let position = self.append_as_leader(EntryPayload::Membership(membership));
        let peers = self.other_members();
        if let RoleState::Leader(leader_state) = &mut self.role {
            leader_state.set_peers(&peers, position.index);
        }
        // With fewer voters, the existing acknowledgements may be a quorum.
        self.advance_commit();
        Ok(position)
    }

    fn check_no_change_pending(&self) -> Result<(), MembershipError> {
        let RoleState::Leader(leader_state) = &self.role else {
            let leader = self.leader;
            return Err(MembershipError::NotLeader { leader });
        };
        if leader_state.transfer.is_some() {
            return Err(MembershipError::NotLeader { leader: None });
        }
        if self.log.commit() < leader_state.term_start {
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
            RoleState::Leader(leader_state) => leader_state.peers.get(&learner),
            _ => None,
        }
        .map_or(0, |progress| progress.match_index);
        let lag = self.log.commit().saturating_sub(match_index);
        // If the log is short, even a blank learner lags by few entries, so it must also have
        // acknowledged an entry.
        let is_behind = match_index == 0 || lag > self.config.promote_lag_entries;
        if is_behind || !self.is_active(learner) {
            return Err(MembershipError::NotCaughtUp { learner, lag });
        }
        Ok(())
    }

    /// Refuses a change after which no quorum responds. It could be neither committed nor reverted.
    fn check_quorum_active(&self, membership: &Membership) -> Result<(), MembershipError> {
        let voters = membership.voters.iter();
        let active = voters.filter(|voter| self.is_active(**voter)).count();
        let quorum = membership.quorum();
        if active < quorum {
            return Err(MembershipError::WouldLoseQuorum { active, quorum });
        }
        Ok(())
    }

    /// Returns whether `replica` is this one or has responded to this leader within the last
    /// election timeout.
    pub(crate) fn is_active(&self, replica: ReplicaId) -> bool {
        let RoleState::Leader(leader_state) = &self.role else {
            return false;
        };
        let timeout = self.config.election_timeout_ticks;
        let peer = leader_state.peers.get(&replica);
        replica == self.id || peer.is_some_and(|progress| progress.is_active(timeout))
    }
}
