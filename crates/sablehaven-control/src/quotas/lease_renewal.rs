//! Keeps this replica's part: asks the leader, or without one the other members, whether it may, and answers others.

use std::{sync::Arc, time::Duration};

use sablehaven_consensus::{ReplicaId, Role};
use tokio::time::{sleep, timeout};

use super::lease::{MemberContact, ProbeNumber};
use crate::{
    driver::{GroupState, read},
    peers::{PartAnswer, PartProbe, PeerPayload},
    server::Context,
};

/// Longest time between two questions.
const ASK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two questions while a leader is known and the part is not held.
const URGENT_INTERVAL: Duration = Duration::from_millis(50);

/// Keeps the part while there are tenants, until the replica stops.
pub(crate) async fn renew_part_lease(context: Arc<Context>) {
    let mut published = context.published.clone();
    let election_timeout = context.config.election_timeout();
    let usual_interval = ASK_INTERVAL.min(election_timeout / 5);
    loop {
        published.mark_unchanged();
        let is_held = context.quotas.holds();
        if context.quotas.has_tenants() {
            ask(&context, is_held, election_timeout);
        }
        if is_held {
            sleep(usual_interval).await;
            continue;
        }
        let has_leader = published.borrow().leader.is_some();
        let pause = if has_leader {
            URGENT_INTERVAL
        } else {
            usual_interval
        };
        // A new leader is asked at once; an ended driver publishes nothing more.
        if let Ok(Err(_)) = timeout(pause, published.changed()).await {
            return;
        }
    }
}

/// Asks the leader; where a hold has not been renewed for half of an election timeout, all other replicas.
fn ask(context: &Context, is_held: bool, election_timeout: Duration) {
    let leader = context.published.borrow().leader;
    let number = context.quotas.ask();
    if leader == Some(context.replica) {
        context.probes.push(context.replica, number, !is_held);
        return;
    }
    let probe = PartProbe {
        number,
        is_urgent: !is_held,
    };
    let age = context.quotas.hold_age();
    let is_overdue = is_held && age.is_some_and(|age| age >= election_timeout / 2);
    let asked = if is_overdue {
        context.links.connected()
    } else {
        leader.into_iter().collect()
    };
    for replica in asked {
        let payload = PeerPayload::PartProbe(probe);
        context.links.send_payload(replica, payload);
    }
}

/// Answers another replica that asks whether it may keep its part.
pub(crate) async fn answer_probe(context: &Context, from: ReplicaId, probe: PartProbe) {
    if context.is_leader() {
        context.probes.push(from, probe.number, probe.is_urgent);
        return;
    }
    let Some(contact) = contact(context).await else {
        return;
    };
    if let Some(membership_index) = contact.leaderless_at() {
        let answer = PartAnswer::Leaderless {
            number: probe.number,
            membership_index,
        };
        context
            .links
            .send_payload(from, PeerPayload::PartAnswer(answer));
    }
}

/// Takes an answer of another replica.
pub(crate) async fn handle_probe_answer(context: &Context, from: ReplicaId, answer: PartAnswer) {
    match answer {
        PartAnswer::Granted { number } => context.quotas.record_grant(number),
        PartAnswer::Leaderless {
            number,
            membership_index,
        } => leaderless(context, from, number, membership_index).await,
    }
}

async fn leaderless(
    context: &Context,
    from: ReplicaId,
    number: ProbeNumber,
    membership_index: u64,
) {
    if let Some(contact) = contact(context).await {
        let quotas = &context.quotas;
        quotas.leaderless(number, from, membership_index, &contact);
    }
}

/// What this replica knows of leaders and of the group.
async fn contact(context: &Context) -> Option<MemberContact> {
    let status = context.driver.status().await?;
    let group = status.groups.into_iter().next()?;
    let is_changing = read(&context.state, |state| state.replicas().change().is_some());
    let election_ticks = context.config.consensus().election_timeout_ticks;
    Some(view(group, is_changing, election_ticks))
}

fn view(group: GroupState, is_changing: bool, election_ticks: u32) -> MemberContact {
    let status = group.replica;
    let is_silent = status.leader_silent_ticks >= election_ticks;
    MemberContact {
        is_leaderless: is_silent && status.role != Role::Leader,
        is_settled: !group.has_unapplied_change && !is_changing,
        membership: status.membership,
        membership_index: status.membership_index,
    }
}

#[cfg(test)]
mod tests;
