//! Leadership transfer, so that a planned stop does not leave the group without a leader.

use crate::{
    Message, Replica, ReplicaId, TransferError, leading::LeadershipTransfer, replica::RoleState,
};

impl Replica {
    /// Transfers leadership to another voter: brings its log up to date and then asks it to start
    /// an election at once. Proposals are refused until then, or for at most one election timeout.
    pub fn transfer_leadership(&mut self, to: ReplicaId) -> Result<(), TransferError> {
        let is_other_voter = to != self.id && self.memberships.current().voters.contains(&to);
        let leader = self.leader;
        let RoleState::Leader(leader_state) = &mut self.role else {
            return Err(TransferError::NotLeader { leader });
        };
        if let Some(transfer) = leader_state.transfer {
            let to = transfer.to;
            return Err(TransferError::Pending { to });
        }
        if !is_other_voter {
            return Err(TransferError::NotVoter { to });
        }
        leader_state.transfer = Some(LeadershipTransfer {
            to,
            elapsed_ticks: 0,
            timeout_now_sent: false,
        });
        Ok(())
    }

    pub(crate) fn tick_transfer(&mut self) {
        let timeout = self.config.election_timeout_ticks;
        let RoleState::Leader(leader_state) = &mut self.role else {
            return;
        };
        let Some(transfer) = &mut leader_state.transfer else {
            return;
        };
        transfer.elapsed_ticks += 1;
        if transfer.elapsed_ticks >= timeout {
            leader_state.transfer = None;
        }
    }

    /// Asks the target of a transfer to start an election, once it has the whole log.
    pub(crate) fn continue_transfer(&mut self) {
        let last_index = self.log.last().index;
        let RoleState::Leader(leader_state) = &mut self.role else {
            return;
        };
        let Some(transfer) = &mut leader_state.transfer else {
            return;
        };
        let Some(progress) = leader_state.peers.get(&transfer.to) else {
            leader_state.transfer = None;
            return;
        };
        if transfer.timeout_now_sent || progress.match_index < last_index {
            return;
        }
        transfer.timeout_now_sent = true;
        let term = self.hard_state.term;
        self.outbox
            .send_before_sync(transfer.to, Message::TimeoutNow { term });
    }

    /// A leader that removed itself keeps leading until the removal is committed. It then sends a
    /// heartbeat to the others, asks the voter with the longest log to take over, and steps down.
    pub(crate) fn step_down_if_removed(&mut self) {
        let is_committed = self.memberships.current_index() <= self.log.commit();
        if self.is_voter() || !is_committed {
            return;
        }
        self.broadcast_heartbeat();
        let RoleState::Leader(leader_state) = &self.role else {
            return;
        };
        let voters = &self.memberships.current().voters;
        let peers = leader_state.peers.iter();
        let successor = peers
            .filter(|(peer, _)| voters.contains(peer))
            .max_by_key(|(_, progress)| progress.match_index)
            .map(|(peer, _)| *peer);
        let term = self.hard_state.term;
        if let Some(successor) = successor {
            self.outbox
                .send_before_sync(successor, Message::TimeoutNow { term });
        }
        self.become_follower(term, None);
    }
}
