//! Automatic repair of the control replicas by the leader, and its answers to members that probe for a lease on their
//! parts of the quotas. Both depend on the same proofs that this replica leads.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use sablehaven_consensus::{ReplicaId, Role, Status};
use sablehaven_wire::SuspendAwareClock;
use tokio::time::{MissedTickBehavior, interval};

use super::silence::{LeadershipProof, SilenceTracker};
use crate::{
    driver::read,
    peers::{PartAnswer, PeerPayload},
    quotas::ProbeNumber,
    repair::{MemberView, NewcomerView, RepairPolicy, next_change},
    replicas::{ReplicasCommand, ReplicasState},
    server::Context,
    shared::SharedCommand,
};

/// Maximum time between two checks of the members.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Number of members up to which newcomers are added: larger groups replicate and vote more slowly.
const MAXIMUM_MEMBERS: usize = 9;

/// While this replica leads, replaces failed members, unless `minimum_members` is 0, and answers members that probe for
/// a lease on their parts of the quotas. Runs until this replica stops.
pub(crate) async fn watch_members(context: Arc<Context>, minimum_members: usize) {
    let policy = (minimum_members > 0).then(|| RepairPolicy {
        patience: Duration::from_millis(context.config.repair_patience_ms),
        minimum_members,
        maximum_members: MAXIMUM_MEMBERS,
    });
    let election_timeout = context.config.election_timeout();
    let mut ticker = interval(CHECK_INTERVAL.min(election_timeout / 5));
    ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut silence = SilenceTracker::new(election_timeout);
    loop {
        tokio::select! {
            _ = ticker.tick() => {}
            () = context.probes.wait_for_urgent() => {}
        }
        if policy.is_some() {
            publish_controls(&context);
        }
        let probes = context.probes.take();
        if !context.is_leader() {
            silence.reset();
            continue;
        }
        let confirmed = confirm_leadership(&context, &mut silence, &probes).await;
        let Some(status) = confirmed else {
            silence.reset();
            continue;
        };
        if let Some(policy) = &policy {
            repair(&context, policy, &silence, &status).await;
        }
    }
}

/// Publishes the addresses of the control replicas to gateways.
fn publish_controls(context: &Context) {
    let mut controls = read(&context.state, |state| {
        let replicas = state.replicas().replicas().values();
        replicas
            .map(|addresses| addresses.internal)
            .collect::<BTreeSet<_>>()
    });
    controls.insert(context.peers.addresses.internal);
    context.gateways.set_controls(controls);
}

/// Has a quorum confirm that this replica leads, then answers the probes that were received before that. Returns `None`
/// if it does not lead.
async fn confirm_leadership(
    context: &Context,
    silence: &mut SilenceTracker,
    probes: &[(ReplicaId, ProbeNumber)],
) -> Option<Status> {
    let term = context.published.borrow().term;
    let asked_at = context.age_clock.now();
    for (member, _) in probes {
        // Recorded before the members are read, so that a member that is removed after that read is known to have sent
        // a probe.
        context.quotas.grants().record_probe(asked_at, *member);
    }
    context.driver.prove_leadership().await?;
    let proven_at = context.age_clock.now();
    let status = context.driver.status().await?;
    let status = status.groups.into_iter().next()?.replica;
    if status.role != Role::Leader || status.term != term {
        return None;
    }
    let responsive = responsive(&status);
    let proof = LeadershipProof {
        term,
        asked_at,
        proven_at,
    };
    let members = read(&context.state, |state| state.replicas().clone());
    let members = members.replicas().keys().copied();
    let voters = status.membership.voters.iter().copied();
    silence.record_proof(proof, members.chain(voters), &responsive);
    context.quotas.grants().record_leadership(proven_at, term);
    answer_probes(context, &status, &responsive, probes);
    Some(status)
}

/// Returns the members that respond to this replica, including itself.
fn responsive(status: &Status) -> BTreeSet<ReplicaId> {
    let active = status.peers.iter().filter(|(_, peer)| peer.active);
    let mut responsive: BTreeSet<ReplicaId> = active.map(|(replica, _)| *replica).collect();
    responsive.insert(status.id);
    responsive
}

/// Grants the leases of the responsive voters that sent a probe. The other members count as silent.
fn answer_probes(
    context: &Context,
    status: &Status,
    responsive: &BTreeSet<ReplicaId>,
    probes: &[(ReplicaId, ProbeNumber)],
) {
    let voters = &status.membership.voters;
    let gets_grant = |member: &ReplicaId| voters.contains(member) && responsive.contains(member);
    for (member, number) in probes.iter().filter(|(member, _)| gets_grant(member)) {
        if *member == context.replica {
            context.quotas.record_grant(*number);
            continue;
        }
        let payload = PeerPayload::PartAnswer(PartAnswer::Granted { number: *number });
        context.links.send_payload(*member, payload);
    }
}

/// Proposes the next change of the members, if one is due.
async fn repair(
    context: &Context,
    policy: &RepairPolicy,
    silence: &SilenceTracker,
    status: &Status,
) {
    let replicas = read(&context.state, |state| state.replicas().clone());
    if replicas.replicas().is_empty() {
        return;
    }
    let members = members(&replicas, silence, status);
    let newcomers = newcomers(context, &replicas);
    let Some(planned) = next_change(&members, &newcomers, replicas.change(), policy) else {
        return;
    };
    log::info!(
        "proposing a change of the control replicas: {:?}",
        planned.kind
    );
    let command = SharedCommand::Replicas(ReplicasCommand::Begin {
        kind: planned.kind,
        addresses: planned.addresses,
    });
    // If the proposal fails, the next leader decides again.
    if context.driver.propose(command).await.is_err() {
        context.metrics.error("repair_members");
    }
}

/// Returns the members with the time since each last responded; zero for this replica.
fn members(replicas: &ReplicasState, silence: &SilenceTracker, status: &Status) -> Vec<MemberView> {
    let members = replicas.replicas().iter();
    members
        .map(|(replica, addresses)| {
            let silent_for = silence.silent_for(*replica);
            let is_self = *replica == status.id;
            MemberView {
                replica: *replica,
                internal: addresses.internal,
                silent_for: if is_self { Duration::ZERO } else { silent_for },
            }
        })
        .collect()
}

/// Returns the connected replicas that are not members.
fn newcomers(context: &Context, replicas: &ReplicasState) -> Vec<NewcomerView> {
    let others = context.peers.directory.others();
    others
        .into_iter()
        .filter(|(replica, _)| !replicas.replicas().contains_key(replica))
        .filter(|(replica, _)| context.links.is_connected(*replica))
        .map(|(replica, addresses)| NewcomerView { replica, addresses })
        .collect()
}
