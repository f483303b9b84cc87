//! Refreshes the gauges whose values are read from the current state.

use std::{sync::Arc, time::Duration};

use tokio::time::interval;

use super::Context;
use crate::driver::read;

/// The time between two refreshes. The cost of counting agents grows with their number, so they are not counted at each
/// report of an agent.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Refreshes the gauges until the replica stops.
pub(super) async fn refresh_gauges(context: Arc<Context>) {
    let mut ticker = interval(REFRESH_INTERVAL);
    loop {
        ticker.tick().await;
        let metrics = &context.metrics;
        metrics.leading.set(i64::from(context.is_leader()));
        metrics.agents.set(gauge(context.registry.agent_count()));
        let revision = read(&context.state, |state| state.revision());
        metrics
            .revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }
}

/// Converts a count to the value of a gauge.
fn gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
