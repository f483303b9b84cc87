//! Operator calls that only read.

use sablehaven_consensus::Status;
use sablehaven_types::{BackendRecord, CommandRecord, Configuration};

use super::{
    handlers::CallError,
    types::{
        AgentState, ControlStatus, GroupStatus, PeerState, QuotaUsage, RelayState, ReplicaState,
    },
};
use crate::{
    driver::{DriverStatus, GroupState, read},
    server::Context,
};

/// Whether a reply requires a proof of leadership from a quorum. Without one the reply is the state that this replica
/// has applied, which may be stale; after the loss of a quorum no other state can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Confirmation {
    Required,
    Waived,
}

impl Confirmation {
    /// Obtains a proof of leadership if one is required.
    async fn obtain(self, context: &Context) -> Result<(), CallError> {
        match self {
            Self::Required => context.require_leadership_proof().await,
            Self::Waived => Ok(()),
        }
    }
}

/// Returns the current configuration.
pub(super) async fn configuration(
    context: &Context,
    confirmation: Confirmation,
) -> Result<Configuration, CallError> {
    confirmation.obtain(context).await?;
    Ok(read(&context.state, |state| {
        state.configuration().current().clone()
    }))
}

/// Returns the records of the applied commands, oldest first.
pub(super) async fn history(
    context: &Context,
    confirmation: Confirmation,
) -> Result<Vec<CommandRecord>, CallError> {
    confirmation.obtain(context).await?;
    Ok(read(&context.state, |state| {
        state.configuration().history().iter().cloned().collect()
    }))
}

/// Returns the records of the back ends.
pub(super) async fn backends(
    context: &Context,
    confirmation: Confirmation,
) -> Result<Vec<BackendRecord>, CallError> {
    confirmation.obtain(context).await?;
    Ok(read(&context.state, |state| {
        state.membership().records().values().cloned().collect()
    }))
}

/// Returns this replica's view of the deployment, without confirmation by a quorum.
pub(super) async fn status(context: &Context) -> Result<ControlStatus, CallError> {
    let Some(driver) = context.driver.status().await else {
        return Err(CallError::Unavailable {
            reason: "read status: the replica stops".to_owned(),
        });
    };
    Ok(control_status(context, &driver))
}

/// Returns what each tenant has used of its quota at this replica.
pub(super) fn quotas(context: &Context) -> Vec<QuotaUsage> {
    let usage = context.quotas.usage().into_iter();
    usage
        .map(|usage| QuotaUsage {
            tenant: usage.tenant,
            quota: usage.quota,
            granted: usage.granted,
            refused: usage.refused,
            tokens: usage.tokens,
        })
        .collect()
}

/// Builds the reply to `status` from the states of the driver, the shared state machine and the connections.
fn control_status(context: &Context, driver: &DriverStatus) -> ControlStatus {
    let published = context.published.borrow().clone();
    read(&context.state, |state| ControlStatus {
        replica: context.replica,
        deployment: context.config.deployment.clone(),
        is_formed: published.is_formed,
        leader: published.leader,
        configuration_version: state.configuration().current().version,
        revision: state.revision(),
        replicas: state
            .replicas()
            .replicas()
            .iter()
            .map(|(replica, addresses)| ReplicaState {
                replica: *replica,
                addresses: *addresses,
                connected: *replica == context.replica || context.links.is_connected(*replica),
            })
            .collect(),
        change: state.replicas().change().cloned(),
        groups: driver.groups.iter().map(group_status).collect(),
        relays: relays(context),
        agents: agents(context),
        held_back: state.membership().held_back().iter().cloned().collect(),
    })
}

fn group_status(group: &GroupState) -> GroupStatus {
    let status = &group.replica;
    GroupStatus {
        group: group.group,
        leader: status.leader,
        term: status.term,
        commit: status.commit,
        applied: group.applied,
        last_index: status.last_index,
        voters: status.membership.voters.iter().copied().collect(),
        learners: status.membership.learners.iter().copied().collect(),
        peers: peers(status),
    }
}

fn peers(status: &Status) -> Vec<PeerState> {
    let peers = status.peers.iter();
    peers
        .map(|(replica, peer)| PeerState {
            replica: *replica,
            acknowledged: peer.match_index,
            active: peer.active,
        })
        .collect()
}

fn relays(context: &Context) -> Vec<RelayState> {
    let relays = context.registry.relays().into_iter();
    relays
        .map(|relay| RelayState {
            relay: relay.relay,
            address: relay.address,
            agents: relay.agents,
        })
        .collect()
}

fn agents(context: &Context) -> Vec<AgentState> {
    let agents = context.registry.agents().into_iter();
    agents
        .map(|agent| AgentState {
            agent: agent.agent,
            placement: agent.placement,
            version: agent.configuration_version,
            lease_age_ms: agent.lease_age.as_millis() as u64,
            may_hold_lease: agent.may_hold_lease,
        })
        .collect()
}
