//! Waits until a version is in force at every agent that may hold a lease.

use std::time::{Duration, Instant};

use super::types::{AgentBehind, WaitReply};
use crate::{driver::read, relays::AgentReport, server::Context};

/// Longest time between two looks; leases run out without any message.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Least time between two looks. A look goes through all agents, and while a version spreads each of
/// them reports: looking at every report would cost the square of their number.
const LOOK_PAUSE: Duration = Duration::from_millis(25);

/// Waits until the version is in force or the time is over; `None` when this replica does not lead.
pub(super) async fn wait_until_in_force(
    context: &Context,
    version: u64,
    limit: Duration,
) -> Option<WaitReply> {
    let started = Instant::now();
    let mut changes = context.registry.changes();
    loop {
        let reply = look(context, version)?;
        let is_over = started.elapsed() >= limit;
        if reply.in_force || is_over {
            // Only a leader that a quorum still confirms knows which agents renew their leases.
            context.driver.prove_leadership().await?;
            return Some(reply);
        }
        tokio::time::sleep(LOOK_PAUSE).await;
        // Either way the next look decides.
        let _ = tokio::time::timeout(LOOK_INTERVAL - LOOK_PAUSE, changes.changed()).await;
    }
}

fn look(context: &Context, version: u64) -> Option<WaitReply> {
    let leading_since = context.published.borrow().leading_since?;
    let settling = leading_since.elapsed() < context.config.lease_duration();
    let applied = read(&context.state, |state| {
        state.configuration().current().version
    });
    let agents = context.registry.agents();
    let behind: Vec<AgentBehind> = agents
        .iter()
        .filter(|agent| agent.may_hold_lease && agent.configuration_version < version)
        .map(agent_behind)
        .collect();
    Some(WaitReply {
        version,
        in_force: applied >= version && behind.is_empty() && !settling,
        behind,
        settling,
    })
}

fn agent_behind(agent: &AgentReport) -> AgentBehind {
    AgentBehind {
        agent: agent.agent.clone(),
        version: agent.configuration_version,
        lease_age_ms: agent.lease_age.as_millis() as u64,
    }
}
