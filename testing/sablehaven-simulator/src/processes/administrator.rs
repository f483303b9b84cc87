//! The operator who brings every group to the wanted members, one step at a time.

use std::collections::BTreeSet;

use sablehaven_consensus::{MembershipChange, ReplicaId, Role as ReplicaRole, Status};

use crate::{
    network::NodeId,
    packet::{ControlReply, ControlRequest, Packet},
    process::{Context, Input, Role},
};

const ROUND_INTERVAL_MS: u64 = 250;

/// The administrator.
pub struct Administrator {
    /// The replicas that are to be the voters of every group.
    pub wanted: BTreeSet<ReplicaId>,
    /// Whether a lost replica goes before its successor gets its vote.
    pub removes_first: bool,
    /// Whether leadership is moved about for no reason.
    pub transfers: bool,
    last_round_ms: u64,
}

impl Administrator {
    /// An administrator who wants these voters.
    pub fn start(wanted: BTreeSet<ReplicaId>, removes_first: bool, transfers: bool) -> Self {
        Self {
            wanted,
            removes_first,
            transfers,
            last_round_ms: 0,
        }
    }

    /// Asks every machine for every group's status. The call's number is the group's.
    fn round(&mut self, context: &mut Context<'_>) {
        self.last_round_ms = context.local_ms;
        for group in 0..=context.settings.ledger_groups {
            for machine in 0..context.settings.control_machines {
                let call = u64::from(group);
                let request = ControlRequest::Status { group };
                let packet = Packet::ToControl { call, request };
                context.send(NodeId::Control(machine), packet);
            }
        }
    }

    fn next_step(&self, status: &Status) -> Option<MembershipChange> {
        let voters = &status.membership.voters;
        let learner = status.membership.learners.first().copied();
        if let Some(stray) = learner.filter(|learner| !self.wanted.contains(learner)) {
            return Some(MembershipChange::Remove(stray));
        }
        let extra = voters.difference(&self.wanted).next().copied();
        let missing = self.wanted.difference(voters).next().copied();
        let may_remove = missing.is_none() || (self.removes_first && learner.is_some());
        match (extra, missing) {
            (Some(extra), _) if may_remove => Some(MembershipChange::Remove(extra)),
            (_, Some(missing)) if learner == Some(missing) => {
                Some(MembershipChange::Promote(missing))
            }
            (_, Some(missing)) => Some(MembershipChange::AddLearner(missing)),
            _ => None,
        }
    }

    fn act(&self, context: &mut Context<'_>, from: NodeId, group: u32, status: &Status) {
        if status.role != ReplicaRole::Leader {
            return;
        }
        let call = u64::from(group);
        if let Some(change) = self.next_step(status) {
            let request = ControlRequest::Change { group, change };
            context.send(from, Packet::ToControl { call, request });
        } else if self.transfers && context.random.chance(100) {
            let voters: Vec<ReplicaId> = status.membership.voters.iter().copied().collect();
            let Some(to) = context.random.pick(&voters).copied() else {
                return;
            };
            let request = ControlRequest::Transfer { group, to };
            context.send(from, Packet::ToControl { call, request });
        }
    }
}

impl Role for Administrator {
    fn handle(&mut self, context: &mut Context<'_>, input: Input) {
        match input {
            Input::Tick
                if context.local_ms >= self.last_round_ms + context.scaled(ROUND_INTERVAL_MS) =>
            {
                self.round(context);
            }
            Input::Packet {
                from,
                packet:
                    Packet::FromControl {
                        call,
                        reply: ControlReply::Status(status),
                    },
            } => self.act(context, from, call as u32, &status),
            Input::Tick | Input::Packet { .. } | Input::Synced(_) => {}
        }
    }
}
