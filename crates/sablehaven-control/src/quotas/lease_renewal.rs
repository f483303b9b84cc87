//! Renews the lease on this replica's part of the quotas by probing the leader, or the other members if there is none,
//! and answers the probes of other replicas.

use std::{sync::Arc, time::Duration};

use sablehaven_consensus::{ReplicaId, Role};
use tokio::time::{sleep, timeout};

use super::lease::{GroupView, ProbeNumber};
use crate::{
    driver::{GroupState, read},
    peers::{PartAnswer, PartProbe, PeerPayload},
    server::Context,
};

/// Longest time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two probes while a leader is known and this replica has no lease.
const URGENT_PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Renews the lease while there are tenants, until the replica stops.
pub(crate) async fn renew_part_lease(context: Arc<Context>) {
    let mut published = context.published.clone();
    let election_timeout = context.config.election_timeout();
    let usual_interval = PROBE_INTERVAL.min(election_timeout / 5);
    loop {
        published.mark_unchanged();
        let has_lease = context.quotas.has_lease();
        if context.quotas.has_tenants() {
            send_probe(&context, has_lease, election_timeout);
        }
        if has_lease {
            sleep(usual_interval).await;
            continue;
        }
        let has_leader = published.borrow().leader.is_some();
        let pause = if has_leader {
            URGENT_PROBE_INTERVAL
        } else {
            usual_interval
        };
        // A change ends the pause early, so that a new leader is probed at once. An error means that the driver has ended.
        if let Ok(Err(_)) = timeout(pause, published.changed()).await {
            return;
        }
    }
}

/// Probes the leader, or all other replicas if the lease has not been renewed for half an election timeout.
fn send_probe(context: &Context, has_lease: bool, election_timeout: Duration) {
    let leader = context.published.borrow().leader;
    let number = context.quotas.start_probe();
    if leader == Some(context.replica) {
        context.probes.push(context.replica, number, !has_lease);
        return;
    }
    let probe = PartProbe {
        number,
        is_urgent: !has_lease,
    };
    let age = context.quotas.lease_age();
    let is_overdue = has_lease && age.is_some_and(|age| age >= election_timeout / 2);
    let recipients = if is_overdue {
        context.links.connected()
    } else {
        leader.into_iter().collect()
    };
    for replica in recipients {
        let payload = PeerPayload::PartProbe(probe);
        context.links.send_payload(replica, payload);
    }
}

/// Answers another replica's probe: the leader queues it for its next proof of leadership, and any other member answers
/// only if it has no leader.
pub(crate) async fn answer_probe(context: &Context, from: ReplicaId, probe: PartProbe) {
    if context.is_leader() {
        context.probes.push(from, probe.number, probe.is_urgent);
        return;
    }
    let Some(view) = current_view(context).await else {
        return;
    };
    if let Some(membership_index) = view.leaderless_at() {
        let answer = PartAnswer::Leaderless {
            number: probe.number,
            membership_index,
        };
        context
            .links
            .send_payload(from, PeerPayload::PartAnswer(answer));
    }
}

/// Handles another replica's answer to a probe of this one.
pub(crate) async fn handle_probe_answer(context: &Context, from: ReplicaId, answer: PartAnswer) {
    match answer {
        PartAnswer::Granted { number } => context.quotas.record_grant(number),
        PartAnswer::Leaderless {
            number,
            membership_index,
        } => handle_leaderless_answer(context, from, number, membership_index).await,
    }
}

async fn handle_leaderless_answer(
    context: &Context,
    from: ReplicaId,
    number: ProbeNumber,
    membership_index: u64,
) {
    if let Some(own_view) = current_view(context).await {
        let quotas = &context.quotas;
        quotas.record_leaderless(number, from, membership_index, &own_view);
    }
}

/// This replica's current view of the leader and the membership; `None` if the driver has ended.
async fn current_view(context: &Context) -> Option<GroupView> {
    let status = context.driver.status().await?;
    let group = status.groups.into_iter().next()?;
    let is_changing = read(&context.state, |state| state.replicas().change().is_some());
    let election_ticks = context.config.consensus().election_timeout_ticks;
    Some(group_view(group, is_changing, election_ticks))
}

fn group_view(group: GroupState, is_changing: bool, election_ticks: u32) -> GroupView {
    let status = group.replica;
    let is_silent = status.leader_silent_ticks >= election_ticks;
    GroupView {
        is_leaderless: is_silent && status.role != Role::Leader,
        is_settled: !group.has_unapplied_change && !is_changing,
        membership: status.membership,
        membership_index: status.membership_index,
    }
}

#[cfg(test)]
mod tests;
