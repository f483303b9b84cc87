//! Proposes agents' observations, batched into few log entries.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::interval};

use crate::{
    clock,
    driver::read,
    membership::{AgentObservation, ObservationBatch},
    server::Context,
    shared::SharedCommand,
};

/// Maximum number of waiting observations; further ones are dropped, and agents repeat them while they are still valid.
pub(crate) const OBSERVATION_QUEUE_LENGTH: usize = 16_384;

/// Time over which observations are batched: if a rack fails, many agents observe it at nearly the same time, and their
/// reports become one update.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of observations in one log entry.
const MAXIMUM_BATCH_LENGTH: usize = 4_096;

/// Proposes the observations that change the membership state, until this replica stops.
pub(crate) async fn propose_observations(
    context: Arc<Context>,
    mut queue: mpsc::Receiver<AgentObservation>,
) {
    let mut ticker = interval(BATCH_INTERVAL);
    loop {
        ticker.tick().await;
        let mut batch = Vec::new();
        while batch.len() < MAXIMUM_BATCH_LENGTH {
            match queue.try_recv() {
                Ok(observation) => batch.push(observation),
                Err(_) => break,
            }
        }
        if !context.is_leader() {
            let dropped = batch.len() as u64;
            context.metrics.observations_dropped.inc_by(dropped);
            continue;
        }
        propose(&context, batch).await;
    }
}

async fn propose(context: &Context, mut observations: Vec<AgentObservation>) {
    let now_ms = clock::unix_ms();
    let has_changes = read(&context.state, |state| {
        let membership = state.membership();
        observations.retain(|observation| membership.would_change(observation, now_ms));
        !observations.is_empty() || membership.has_expired_suspicion(now_ms)
    });
    if !has_changes {
        return;
    }
    let batch = ObservationBatch {
        proposed_at_ms: now_ms,
        observations,
    };
    // Without a leader the observations are lost; agents repeat them to the next leader.
    if context
        .driver
        .propose(SharedCommand::Observations(batch))
        .await
        .is_err()
    {
        context.metrics.error("propose_observations");
    }
}
