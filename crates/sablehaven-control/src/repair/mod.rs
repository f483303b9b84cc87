//! Changes of the control replicas that need no operator, as a pure decision: a replica that lost
//! its disk, one that is gone for good, and one that has joined.

use std::{net::SocketAddr, time::Duration};

use sablehaven_consensus::ReplicaId;

use crate::replicas::{ChangeKind, ReplacementOrder, ReplicaAddresses, ReplicaChange};

#[cfg(test)]
mod tests;

/// When the leader changes the replicas by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RepairPolicy {
    /// Silence after which a member counts as gone if another can take its place.
    pub(crate) patience: Duration,
    /// Members that stay even while one of them is silent and nobody can take its place.
    pub(crate) minimum_members: usize,
    /// Members beyond which nobody is added.
    pub(crate) maximum_members: usize,
}

/// A member as the leader sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemberView {
    pub(crate) replica: ReplicaId,
    /// Its address for internal connections.
    pub(crate) internal: SocketAddr,
    /// Time since it last answered; zero for the leader itself.
    pub(crate) silent_for: Duration,
}

/// A connected replica that is no member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NewcomerView {
    pub(crate) replica: ReplicaId,
    pub(crate) addresses: ReplicaAddresses,
}

/// A change to begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlannedChange {
    pub(crate) kind: ChangeKind,
    /// The addresses of the replica that joins, if any.
    pub(crate) addresses: Option<ReplicaAddresses>,
}

/// The next change, if one is due. One at a time: while another is under way it may only be called
/// off, when the replica that joins has gone.
pub(crate) fn next_change(
    members: &[MemberView],
    newcomers: &[NewcomerView],
    under_way: Option<&ReplicaChange>,
    policy: &RepairPolicy,
) -> Option<PlannedChange> {
    if let Some(change) = under_way {
        return call_off(members, newcomers, change, policy);
    }
    replace_lost_disk(members, newcomers)
        .or_else(|| replace_silent(members, newcomers, policy))
        .or_else(|| add_newcomer(members, newcomers, policy))
        .or_else(|| remove_surplus(members, newcomers, policy))
}

fn call_off(
    members: &[MemberView],
    newcomers: &[NewcomerView],
    change: &ReplicaChange,
    policy: &RepairPolicy,
) -> Option<PlannedChange> {
    let joining = change.kind.added()?;
    let member = members.iter().find(|member| member.replica == joining)?;
    let has_lost_disk = newcomer_at(newcomers, member.internal).is_some();
    let is_gone =
        member.silent_for >= policy.patience || (has_lost_disk && !member.silent_for.is_zero());
    is_gone.then_some(PlannedChange {
        kind: ChangeKind::Remove { replica: joining },
        addresses: None,
    })
}

/// A member whose address another replica answers at has lost its disk and can never come back.
fn replace_lost_disk(members: &[MemberView], newcomers: &[NewcomerView]) -> Option<PlannedChange> {
    members.iter().find_map(|member| {
        let newcomer = newcomer_at(newcomers, member.internal)?;
        (!member.silent_for.is_zero()).then(|| replacement(member, newcomer))
    })
}

fn replace_silent(
    members: &[MemberView],
    newcomers: &[NewcomerView],
    policy: &RepairPolicy,
) -> Option<PlannedChange> {
    let newcomer = newcomers.first()?;
    let silent = longest_silent(members)?;
    (silent.silent_for >= policy.patience).then(|| replacement(silent, newcomer))
}

/// A newcomer joins beside members that all answer: the one that it is to replace goes later, and
/// until then every quorum is as safe as before.
fn add_newcomer(
    members: &[MemberView],
    newcomers: &[NewcomerView],
    policy: &RepairPolicy,
) -> Option<PlannedChange> {
    // One at a member's own address takes that one's place and no other.
    let is_elsewhere = |newcomer: &&NewcomerView| {
        let mut taken = members.iter().map(|member| member.internal);
        taken.all(|address| address != newcomer.addresses.internal)
    };
    let newcomer = newcomers.iter().find(is_elsewhere)?;
    let is_whole = members.iter().all(|member| member.silent_for.is_zero());
    let has_room = members.len() < policy.maximum_members;
    (is_whole && has_room).then_some(PlannedChange {
        kind: ChangeKind::Add {
            replica: newcomer.replica,
        },
        addresses: Some(newcomer.addresses),
    })
}

/// Beyond the minimum a silent member only makes quorums larger.
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

/// The one that goes is dead, so it goes first; see [`ReplacementOrder`].
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
