//! The leader's own changes of the control replicas, and its answers to members that ask for their parts of the quotas:
//! both stand on the same proofs that it leads.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use sablehaven_consensus::{ReplicaId, Role, Status};
use sablehaven_wire::AgeClock;
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

/// Longest time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// Members beyond which nobody is added: larger groups sync and vote more slowly.
const MAXIMUM_MEMBERS: usize = 9;

/// Brings the members back to strength while this replica leads, unless `minimum_members` is 0, and answers those that
/// ask for their parts of the quotas, until it stops.
pub(crate) async fn watch_members(context: Arc<Context>, minimum_members: usize) {
    let policy = (minimum_members > 0).then(|| RepairPolicy {
        patience: Duration::from_millis(context.config.repair_patience_ms),
        minimum_members,
        maximum_members: MAXIMUM_MEMBERS,
    });
    let election_timeout = context.config.election_timeout();
    let mut ticker = interval(LOOK_INTERVAL.min(election_timeout / 5));
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
        let looked = look(&context, &mut silence, &probes).await;
        let Some(status) = looked else {
            silence.reset();
            continue;
        };
        if let Some(policy) = &policy {
            repair(&context, policy, &silence, &status).await;
        }
    }
}

/// Tells gateways where the control replicas are.
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

/// Has a quorum confirm that this replica leads, and answers the members that asked before. `None` if it does not lead.
async fn look(
    context: &Context,
    silence: &mut SilenceTracker,
    probes: &[(ReplicaId, ProbeNumber)],
) -> Option<Status> {
    let term = context.published.borrow().term;
    let asked_at = context.age_clock.now();
    for (member, _) in probes {
        // Before the members are looked at: one that is taken out after that look is known to have asked.
        context.quotas.grants().record_probe(asked_at, *member);
    }
    context.driver.prove_leadership().await?;
    let proven_at = context.age_clock.now();
    let status = context.driver.status().await?;
    let status = status.groups.into_iter().next()?.replica;
    if status.role != Role::Leader || status.term != term {
        return None;
    }
    let answering = answering(&status);
    let proof = LeadershipProof {
        term,
        asked_at,
        proven_at,
    };
    let members = read(&context.state, |state| state.replicas().clone());
    let members = members.replicas().keys().copied();
    let voters = status.membership.voters.iter().copied();
    silence.record_proof(proof, members.chain(voters), &answering);
    context.quotas.grants().record_leadership(proven_at, term);
    grant(context, &status, &answering, probes);
    Some(status)
}

fn answering(status: &Status) -> BTreeSet<ReplicaId> {
    let active = status.peers.iter().filter(|(_, peer)| peer.active);
    let mut answering: BTreeSet<ReplicaId> = active.map(|(replica, _)| *replica).collect();
    answering.insert(status.id);
    answering
}

/// Grants the members that answer their parts: the others count as silent.
fn grant(
    context: &Context,
    status: &Status,
    answering: &BTreeSet<ReplicaId>,
    probes: &[(ReplicaId, ProbeNumber)],
) {
    let voters = &status.membership.voters;
    let is_granted = |member: &ReplicaId| voters.contains(member) && answering.contains(member);
    for (member, number) in probes.iter().filter(|(member, _)| is_granted(member)) {
        if *member == context.replica {
            context.quotas.record_grant(*number);
            continue;
        }
        let payload = PeerPayload::PartAnswer(PartAnswer::Granted { number: *number });
        context.links.send_payload(*member, payload);
    }
}

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
    log::info!("change of control replicas: {:?}", planned.kind);
    let command = SharedCommand::Replicas(ReplicasCommand::Begin {
        kind: planned.kind,
        addresses: planned.addresses,
    });
    // Without a leader the next one looks anew.
    if context.driver.propose(command).await.is_err() {
        context.metrics.error("repair_members");
    }
}

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

/// Connected replicas that are no members.
fn newcomers(context: &Context, replicas: &ReplicasState) -> Vec<NewcomerView> {
    let heard = context.peers.directory.others();
    heard
        .into_iter()
        .filter(|(replica, _)| !replicas.replicas().contains_key(replica))
        .filter(|(replica, _)| context.links.is_connected(*replica))
        .map(|(replica, addresses)| NewcomerView { replica, addresses })
        .collect()
}
