//! The leader's own changes of the control replicas.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use sablehaven_consensus::{ReplicaId, Status};
use tokio::time::{MissedTickBehavior, interval};

use crate::{
    driver::read,
    repair::{MemberView, NewcomerView, RepairPolicy, next_change},
    replicas::{ReplicasCommand, ReplicasState},
    server::Context,
    shared::SharedCommand,
};

/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// Members beyond which nobody is added: larger groups sync and vote more slowly.
const MAXIMUM_MEMBERS: usize = 9;

/// Brings the members back to strength while this replica leads, until it stops.
pub(crate) async fn repair_members(context: Arc<Context>, minimum_members: usize) {
    let policy = RepairPolicy {
        patience: Duration::from_millis(context.config.repair_patience_ms),
        minimum_members,
        maximum_members: MAXIMUM_MEMBERS,
    };
    let mut ticker = interval(LOOK_INTERVAL);
    ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut silence = Silence::default();
    loop {
        ticker.tick().await;
        publish_controls(&context);
        if !context.is_leader() {
            silence = Silence::default();
            continue;
        }
        look(&context, &policy, &mut silence).await;
    }
}

/// Tells gateways where the control replicas are.
fn publish_controls(context: &Context) {
    let mut controls = read(&context.state, |state| {
        let replicas = state.replicas().replicas().values();
        replicas
            .map(|addresses| addresses.internal)
            .collect::<std::collections::BTreeSet<_>>()
    });
    controls.insert(context.peers.addresses.internal);
    context.gateways.set_controls(controls);
}

async fn look(context: &Context, policy: &RepairPolicy, silence: &mut Silence) {
    let Some(status) = context.driver.status().await else {
        return;
    };
    let Some(group) = status.groups.first() else {
        return;
    };
    let replicas = read(&context.state, |state| state.replicas().clone());
    if replicas.replicas().is_empty() {
        return;
    }
    let members = silence.members(&replicas, &group.replica, Instant::now());
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

/// Since when each member has been silent.
#[derive(Default)]
struct Silence {
    last_answers: BTreeMap<ReplicaId, Instant>,
}

impl Silence {
    fn members(
        &mut self,
        replicas: &ReplicasState,
        status: &Status,
        now: Instant,
    ) -> Vec<MemberView> {
        let members = replicas.replicas().iter();
        members
            .map(|(replica, addresses)| {
                let is_answering = *replica == status.id
                    || status.peers.get(replica).is_some_and(|peer| peer.active);
                let last = self.last_answers.entry(*replica).or_insert(now);
                if is_answering {
                    *last = now;
                }
                MemberView {
                    replica: *replica,
                    internal: addresses.internal,
                    silent_for: now.duration_since(*last),
                }
            })
            .collect()
    }
}
