//! Decides on automatic changes of the control replicas, as a pure function: the replacement of a replica that has lost
//! its disk or has failed permanently, the addition of a new replica, and the removal of a surplus one.
//!
//! A newcomer is a connected replica that is not a member.

use std::{net::SocketAddr, time::Duration};

use sablehaven_consensus::ReplicaId;

use crate::replicas::{ChangeKind, ReplacementOrder, ReplicaAddresses, ReplicaChange};

#[cfg(test)]
mod tests;

/// The conditions under which the leader changes the replicas automatically.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RepairPolicy {
    /// Silence after which a member counts as failed, so that it may be replaced or removed.
    pub(crate) patience: Duration,
    /// Number of members down to which silent ones are removed while no newcomer can replace them.
    pub(crate) minimum_members: usize,
    /// Number of members up to which newcomers are added.
    pub(crate) maximum_members: usize,
}

/// A member, as observed by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemberView {
    pub(crate) replica: ReplicaId,
    /// Its address for internal connections.
    pub(crate) internal: SocketAddr,
    /// Time since it last answered; zero for the leader itself.
    pub(crate) silent_for: Duration,
}

/// A connected replica that is not a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NewcomerView {
    pub(crate) replica: ReplicaId,
    pub(crate) addresses: ReplicaAddresses,
}

/// A change to propose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlannedChange {
    pub(crate) kind: ChangeKind,
    /// The addresses of the replica that joins, if any.
    pub(crate) addresses: Option<ReplicaAddresses>,
}

/// Returns the next change, if one is due. Only one change runs at a time: while one is in progress it may only be
/// cancelled, if the replica that joins has failed.
pub(crate) fn next_change(
    members: &[MemberView],
    newcomers: &[NewcomerView],
    current_change: Option<&ReplicaChange>,
    policy: &RepairPolicy,
) -> Option<PlannedChange> {
    if let Some(change) = current_change {
        return cancel(members, newcomers, change, policy);
    }
    replace_lost_disk(members, newcomers)
        .or_else(|| replace_silent(members, newcomers, policy))
        .or_else(|| add_newcomer(members, newcomers, policy))
        .or_else(|| remove_surplus(members, newcomers, policy))
}

/// Returns the removal of the joining replica, if it has been silent for the repair patience, or is silent and has lost
/// its disk.
fn cancel(
    members: &[MemberView],
    newcomers: &[NewcomerView],
    change: &ReplicaChange,
    policy: &RepairPolicy,
) -> Option<PlannedChange> {
    let joining = change.kind.added()?;
    let member = members.iter().find(|member| member.replica == joining)?;
    let has_lost_disk = newcomer_at(newcomers, member.internal).is_some();
    let has_failed =
        member.silent_for >= policy.patience || (has_lost_disk && !member.silent_for.is_zero());
    has_failed.then_some(PlannedChange {
        kind: ChangeKind::Remove { replica: joining },
        addresses: None,
    })
}

/// Replaces a silent member by a newcomer at the same address: the member has lost its disk and can never return.
fn replace_lost_disk(members: &[MemberView], newcomers: &[NewcomerView]) -> Option<PlannedChange> {
    members.iter().find_map(|member| {
        let newcomer = newcomer_at(newcomers, member.internal)?;
        (!member.silent_for.is_zero()).then(|| replacement(member, newcomer))
    })
}

/// Replaces the longest silent member by a newcomer after the repair patience.
fn replace_silent(
    members: &[MemberView],
    newcomers: &[NewcomerView],
    policy: &RepairPolicy,
) -> Option<PlannedChange> {
    let newcomer = newcomers.first()?;
    let silent = longest_silent(members)?;
    (silent.silent_for >= policy.patience).then(|| replacement(silent, newcomer))
}

/// Adds a newcomer if all members respond. The member that it is meant to replace is removed later, and until then
/// every quorum is as safe as before.
fn add_newcomer(
    members: &[MemberView],
    newcomers: &[NewcomerView],
    policy: &RepairPolicy,
) -> Option<PlannedChange> {
    // A newcomer at the address of a member can only replace that member.
    let is_elsewhere = |newcomer: &&NewcomerView| {
        let mut taken = members.iter().map(|member| member.internal);
        taken.all(|address| address != newcomer.addresses.internal)
    };
    let newcomer = newcomers.iter().find(is_elsewhere)?;
    let all_respond = members.iter().all(|member| member.silent_for.is_zero());
    let has_room = members.len() < policy.maximum_members;
    (all_respond && has_room).then_some(PlannedChange {
        kind: ChangeKind::Add {
            replica: newcomer.replica,
        },
        addresses: Some(newcomer.addresses),
    })
}

/// Removes the longest silent member after the repair patience: above the minimum, it only makes quorums larger.
fn remove_surplus(
    members: &[MemberView],
    newcomers: &[NewcomerView],
    policy: &RepairPolicy,
) -> Option<PlannedChange> {
    if !newcomers.is_empty() || members.len() <= policy.minimum_members {
        return None;
    }
    let silent = longest_silent(members)?;
    (silent.silent_for >= policy.patience).then_some(PlannedChange {
        kind: ChangeKind::Remove {
            replica: silent.replica,
        },
        addresses: None,
    })
}

fn longest_silent(members: &[MemberView]) -> Option<&MemberView> {
    members.iter().max_by_key(|member| member.silent_for)
}

fn newcomer_at(newcomers: &[NewcomerView], address: SocketAddr) -> Option<&NewcomerView> {
    newcomers
        .iter()
        .find(|newcomer| newcomer.addresses.internal == address)
}

/// Returns the replacement of a failed member. It is removed first, since it has failed; see [`ReplacementOrder`].
fn replacement(old: &MemberView, new: &NewcomerView) -> PlannedChange {
    PlannedChange {
        kind: ChangeKind::Replace {
            old: old.replica,
            new: new.replica,
            order: ReplacementOrder::RemoveFirst,
        },
        addresses: Some(new.addresses),
    }
}
