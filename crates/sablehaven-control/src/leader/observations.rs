//! Agents' observations, gathered into few log entries.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::interval};

use crate::{
    clock,
    driver::read,
    membership::{AgentObservation, ObservationBatch},
    server::Context,
    shared::SharedCommand,
};

/// Observations that may wait; more are dropped, and agents report again while it matters.
pub(crate) const OBSERVATION_QUEUE_LENGTH: usize = 16_384;

/// Time over which observations are gathered: many agents see a rack go at nearly the same moment,
/// and their reports become one update.
const GATHER_INTERVAL: Duration = Duration::from_millis(100);

/// Observations in one log entry.
const BATCH_LIMIT: usize = 4_096;

/// Proposes what is news in the observations, until this replica stops.
pub(crate) async fn propose_observations(
    context: Arc<Context>,
    mut queue: mpsc::Receiver<AgentObservation>,
) {
    let mut ticker = interval(GATHER_INTERVAL);
    loop {
        ticker.tick().await;
        let mut gathered = Vec::new();
        while gathered.len() < BATCH_LIMIT {
            match queue.try_recv() {
                Ok(observed) => gathered.push(observed),
                Err(_) => break,
            }
        }
        if !context.is_leader() {
            let dropped = gathered.len() as u64;
            context.metrics.observations_dropped.inc_by(dropped);
            continue;
        }
        propose(&context, gathered).await;
    }
}

async fn propose(context: &Context, mut observations: Vec<AgentObservation>) {
    let now_ms = clock::unix_ms();
    let is_due = read(&context.state, |state| {
        let membership = state.membership();
        observations.retain(|observed| membership.would_change(observed, now_ms));
        !observations.is_empty() || membership.has_expired_suspicion(now_ms)
    });
    if !is_due {
        return;
    }
    let batch = ObservationBatch {
        proposed_at_ms: now_ms,
        observations,
    };
    // Without a leader the observations are lost; agents report again to the next one.
    if context
        .driver
        .propose(SharedCommand::Observations(batch))
        .await
        .is_err()
    {
        context.metrics.error("propose_observations");
    }
}
