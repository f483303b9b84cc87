//! Membership changes and leadership transfers. The leader of each group changes its membership step by step to the
//! target that group 0's state defines, and the leaders of the ledger groups transfer their leadership to the leader of
//! group 0.

use std::time::{Duration, Instant};

use sablehaven_consensus::{MembershipChange, ReplicaId, Status};
use sablehaven_wire::SuspendAwareClock;

use tokio::sync::oneshot;

use super::{group::Group, input::LeadershipTransferError, machine::read, run::Driver};
use crate::{
    replicas::{ChangePhase, ReplicaChange, ReplicasCommand, ReplicasState, Target},
    shared::SharedCommand,
};

/// The minimum time between two transfers that co-locate the leader of one group with the leader of group 0.
const TRANSFER_INTERVAL: Duration = Duration::from_secs(1);

/// The most entries by which a learner may lag behind the commit index of each group when the next phase starts.
const MAX_LEARNER_LAG_ENTRIES: u64 = 64;

impl Driver {
    /// Performs the membership tasks of the groups that this replica leads; called at each tick.
    pub(super) fn drive_membership(&mut self, now: Instant) {
        let replicas = read(&self.state, |state| state.replicas().clone());
        if self.groups[0].is_leader {
            self.propose_replicas_command(&replicas);
        }
        if replicas.replicas().is_empty() || self.is_stepping_down {
            return;
        }
        let target = replicas.target();
        for group in self.groups.iter_mut().filter(|group| group.is_leader) {
            step_towards_target(group, &target);
        }
        self.colocate_leaders(now);
    }

    /// Proposes the next command about the replicas, as the leader of group 0: records the first members and changed
    /// addresses, and advances a membership change when its current phase is complete in every group. Proposes nothing
    /// while another proposal is pending.
    fn propose_replicas_command(&mut self, replicas: &ReplicasState) {
        if !self.groups[0].pending.is_empty() {
            return;
        }
        let command = if replicas.replicas().is_empty() {
            self.formation_command()
        } else if let Some(change) = replicas.change() {
            self.is_phase_done(change, replicas)
                .then_some(ReplicasCommand::Advance {
                    change: change.number,
                    phase: change.phase,
                })
        } else {
            self.announce_command(replicas)
        };
        if let Some(command) = command {
            self.groups[0].propose_internal(&SharedCommand::Replicas(command));
        }
    }

    /// Returns the command that records the first voters, once the addresses of all of them are known.
    fn formation_command(&self) -> Option<ReplicasCommand> {
        let voters = &self.groups[0].applied_membership.voters;
        let known = voters.iter().map(|voter| {
            let addresses = self.directory.addresses(*voter)?;
            Some((*voter, addresses))
        });
        let members: Option<std::collections::BTreeMap<_, _>> = known.collect();
        members
            .filter(|members| !members.is_empty())
            .map(ReplicasCommand::Form)
    }

    /// Returns the command that records the new addresses of one replica whose addresses have changed.
    fn announce_command(&self, replicas: &ReplicasState) -> Option<ReplicasCommand> {
        replicas.replicas().iter().find_map(|(replica, recorded)| {
            let addresses = self.directory.addresses(*replica)?;
            (addresses != *recorded).then_some(ReplicasCommand::Announce {
                replica: *replica,
                addresses,
            })
        })
    }

    /// Whether the current phase of a change is complete in every group.
    fn is_phase_done(&mut self, change: &ReplicaChange, replicas: &ReplicasState) -> bool {
        let kind = change.kind;
        match change.phase {
            ChangePhase::Learning => kind.added().is_some_and(|learner| {
                let mut groups = self.groups.iter();
                groups.all(|group| has_caught_up(&group.replica.status(), learner))
            }),
            ChangePhase::Promoting => kind.added().is_some_and(|voter| {
                let mut groups = self.groups.iter();
                groups.all(|group| group.applied_membership.voters.contains(&voter))
            }),
            ChangePhase::Removing => kind.removed().is_some_and(|removed| {
                let mut groups = self.groups.iter();
                let now = self.age_clock.now();
                let has_left = groups.all(|group| !group.applied_membership.contains(removed));
                let term = self.groups[0].replica.term();
                has_left
                    && self
                        .removal
                        .is_removal_complete(now, term, change, replicas)
            }),
        }
    }

    /// Transfers the leadership of the ledger groups to group 0's leader, because relays connect to that replica.
    fn colocate_leaders(&mut self, now: Instant) {
        let Some(leader) = self.groups[0].replica.status().leader else {
            return;
        };
        if leader == self.id {
            return;
        }
        for group in self.groups[1..].iter_mut().filter(|group| group.is_leader) {
            transfer_if_due(group, leader, now);
        }
    }

    /// Starts a transfer of a group's leadership that an operator has requested.
    pub(super) fn transfer_leadership(
        &mut self,
        group: u32,
        to: ReplicaId,
    ) -> Result<(), LeadershipTransferError> {
        let Some(group) = self.groups.get_mut(group as usize) else {
            return Err(LeadershipTransferError::NoGroup { group });
        };
        let result = group.replica.transfer_leadership(to);
        result.map_err(LeadershipTransferError::Refused)
    }

    /// Transfers the leadership of every group before a planned stop, and responds once this is done: no proposal is
    /// pending in any group, and each group either has another leader or has no replica that could become its leader.
    pub(super) fn continue_step_down(&mut self, now: Instant) {
        let Some(pending_step_down) = &self.pending_step_down else {
            return;
        };
        // A group without a leader for this long has no quorum that could elect one.
        let election_grace = 2 * self.config.election_timeout();
        let has_grace_elapsed = now.duration_since(pending_step_down.started_at) >= election_grace;
        for group in self.groups.iter_mut().filter(|group| group.is_leader) {
            start_transfer(group);
        }
        let id = self.id;
        let mut groups = self.groups.iter();
        let is_done = groups.all(|group| {
            let status = group.replica.status();
            let has_other_leader = status.leader.is_some_and(|leader| leader != id);
            let is_released = if group.is_leader {
                transfer_target(&status).is_none()
            } else {
                has_other_leader || has_grace_elapsed
            };
            is_released && group.pending.is_empty()
        });
        if is_done && let Some(pending_step_down) = self.pending_step_down.take() {
            // Fails if the caller no longer waits.
            let _ = pending_step_down.responder.send(());
        }
    }
}

/// A transfer of all leadership before a planned stop, in progress.
pub(crate) struct PendingStepDown {
    pub(super) responder: oneshot::Sender<()>,
    pub(super) started_at: Instant,
}

/// Proposes the next membership change towards the target. A change that is refused is proposed again at the next tick.
fn step_towards_target(group: &mut Group, target: &Target) {
    let status = group.replica.status();
    if let Some(change) = next_membership_change(&status, target) {
        // Refused while an earlier change is uncommitted or a learner has not caught up.
        let _ = group.replica.change_membership(change);
    }
}

/// Returns the next membership change towards the target. Additions come before removals, so that the group keeps a
/// quorum at every step even if all of its members are replaced.
fn next_membership_change(status: &Status, target: &Target) -> Option<MembershipChange> {
    let membership = &status.membership;
    let wanted = target.voters.union(&target.learners);
    let missing = wanted.copied().find(|id| !membership.contains(*id));
    if let Some(missing) = missing {
        return Some(MembershipChange::AddLearner(missing));
    }
    let learners = membership.learners.iter().copied();
    let to_promote = learners.clone().find(|id| target.voters.contains(id));
    if let Some(learner) = to_promote {
        return Some(MembershipChange::Promote(learner));
    }
    let members = membership.voters.iter().copied().chain(learners);
    let is_wanted = |id: &ReplicaId| target.voters.contains(id) || target.learners.contains(id);
    let surplus = members.into_iter().find(|id| !is_wanted(id));
    surplus.map(MembershipChange::Remove)
}

/// Whether a learner answers and its log is nearly complete in one group.
fn has_caught_up(status: &Status, learner: ReplicaId) -> bool {
    let peer = status.peers.get(&learner);
    peer.is_some_and(|peer| {
        peer.active
            && peer.match_index > 0
            && peer.match_index + MAX_LEARNER_LAG_ENTRIES >= status.commit
    })
}

/// Starts a transfer of leadership unless the last one started less than [`TRANSFER_INTERVAL`] ago.
fn transfer_if_due(group: &mut Group, to: ReplicaId, now: Instant) {
    let is_recent = group
        .last_transfer
        .is_some_and(|last| now.duration_since(last) < TRANSFER_INTERVAL);
    if is_recent {
        return;
    }
    group.last_transfer = Some(now);
    // Refused if the replica is not a voter of this group; the first tick after the interval tries again.
    let _ = group.replica.transfer_leadership(to);
}

/// Returns the responsive voter, other than this replica, with the longest replicated log.
fn transfer_target(status: &Status) -> Option<ReplicaId> {
    let voters = &status.membership.voters;
    let peers = status.peers.iter();
    peers
        .filter(|(peer, progress)| progress.active && voters.contains(peer))
        .max_by_key(|(_, progress)| progress.match_index)
        .map(|(peer, _)| *peer)
}

/// Starts a transfer of leadership to the best candidate unless one is in progress.
fn start_transfer(group: &mut Group) {
    let status = group.replica.status();
    if status.transfer.is_some() {
        return;
    }
    if let Some(target) = transfer_target(&status) {
        // A refused transfer is tried again at the next tick.
        let _ = group.replica.transfer_leadership(target);
    }
}
