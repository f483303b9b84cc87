//! Handing leadership over, so that a planned stop leaves no gap without a leader.

use crate::{
    Message, Replica, ReplicaId, TransferError, leading::LeadershipTransfer, replica::RoleState,
};

impl Replica {
    /// Hands leadership over to another voter: it is brought up to date and then stands at once.
    /// Until then, or for one election timeout, proposals are refused.
    pub fn transfer_leadership(&mut self, to: ReplicaId) -> Result<(), TransferError> {
        let is_other_voter = to != self.id && self.memberships.current().voters.contains(&to);
        let leader = self.leader;
        let RoleState::Leader(leading) = &mut self.role else {
            return Err(TransferError::NotLeader { leader });
        };
        if let Some(transfer) = leading.transfer {
            let to = transfer.to;
            return Err(TransferError::Pending { to });
        }
        if !is_other_voter {
            return Err(TransferError::NotVoter { to });
        }
        leading.transfer = Some(LeadershipTransfer {
            to,
            elapsed_ticks: 0,
            is_asked: false,
        });
        Ok(())
    }

    pub(crate) fn tick_transfer(&mut self) {
        let timeout = self.config.election_timeout_ticks;
        let RoleState::Leader(leading) = &mut self.role else {
            return;
        };
        let Some(transfer) = &mut leading.transfer else {
            return;
        };
        transfer.elapsed_ticks += 1;
        if transfer.elapsed_ticks >= timeout {
            leading.transfer = None;
        }
    }

    /// Asks the target of a transfer to stand, once it has the whole log.
    pub(crate) fn continue_transfer(&mut self) {
        let last_index = self.log.last().index;
        let RoleState::Leader(leading) = &mut self.role else {
            return;
        };
        let Some(transfer) = &mut leading.transfer else {
            return;
        };
        let Some(progress) = leading.peers.get(&transfer.to) else {
            leading.transfer = None;
            return;
        };
        if transfer.is_asked || progress.match_index < last_index {
            return;
        }
        transfer.is_asked = true;
        let term = self.hard_state.term;
        self.outbox
            .before_sync(transfer.to, Message::TimeoutNow { term });
    }

    /// A leader that removed itself leads until its removal is committed. Then it tells the others,
    /// asks the one with the longest log to take over, and steps down.
    pub(crate) fn finish_removal_of_leader(&mut self) {
        let is_committed = self.memberships.current_index() <= self.log.commit();
        if self.is_voter() || !is_committed {
            return;
        }
        self.broadcast_heartbeat();
        let RoleState::Leader(leading) = &self.role else {
            return;
        };
        let voters = &self.memberships.current().voters;
        let peers = leading.peers.iter();
        let successor = peers
            .filter(|(peer, _)| voters.contains(peer))
            .max_by_key(|(_, progress)| progress.match_index)
            .map(|(peer, _)| *peer);
        let term = self.hard_state.term;
        if let Some(successor) = successor {
            self.outbox
                .before_sync(successor, Message::TimeoutNow { term });
        }
        self.become_follower(term, None);
    }
}
