//! One sub-request: drives the decisions of [`SubRequest`] with attempts and a hedge timer.

use std::time::{Duration, Instant};

use futures::{StreamExt, stream::FuturesUnordered};
use prometheus_client::metrics::counter::Counter;
use prost_reflect::DynamicMessage;
use sablehaven_types::ShardId;
use tokio::time::sleep_until;

use super::{
    attempt::{SharedRequest, run_attempt},
    coverage::ShardEnd,
    sub_request::{Step, SubRequest},
};

/// Asks one shard until it answers or is given up. The caller bounds the time; dropping the future
/// cancels the attempts in flight.
pub async fn ask_shard(
    shared: SharedRequest<'_>,
    shard: ShardId,
    attempts_allowed: u32,
) -> ShardEnd<DynamicMessage> {
    let mut sub_request = SubRequest::new(shard, attempts_allowed);
    let mut attempts = FuturesUnordered::new();
    let mut hedge_at = None;
    let mut step = decide(shared, |router, now| sub_request.start(router, now));
    loop {
        match step {
            Step::Send {
                chosen,
                hedge_after,
            } => {
                attempts.push(run_attempt(shared, shard, chosen));
                hedge_at = moment(hedge_after);
            }
            Step::Wait { hedge_after } => hedge_at = moment(hedge_after).or(hedge_at),
            Step::GiveUp(reason) => return ShardEnd::Missing(reason),
        }
        step = tokio::select! {
            Some(result) = attempts.next() => match result {
                Ok(reply) => return ShardEnd::Answered(reply),
                Err(failure) => {
                    let next = decide(shared, |router, now| {
                        sub_request.attempt_failed(router, now, failure)
                    });
                    count_sent(&next, &shared.metrics.retries);
                    next
                }
            },
            () = wait_until(hedge_at) => {
                hedge_at = None;
                let next = decide(shared, |router, now| sub_request.hedge_due(router, now));
                count_sent(&next, &shared.metrics.hedges);
                next
            }
        };
    }
}

fn decide(
    shared: SharedRequest<'_>,
    decision: impl FnOnce(&mut crate::routing::PinnedRouter<'_>, Duration) -> Step,
) -> Step {
    let router = &shared.service.router;
    let now = router.now();
    let mut state = router.lock();
    decision(&mut state.pinned(shared.pinned), now)
}

fn count_sent(step: &Step, counter: &Counter) {
    if matches!(step, Step::Send { .. }) {
        counter.inc();
    }
}

fn moment(after: Option<Duration>) -> Option<Instant> {
    after.map(|after| Instant::now() + after)
}

/// Waits for a moment; without one, for ever.
async fn wait_until(moment: Option<Instant>) {
    match moment {
        Some(moment) => sleep_until(moment.into()).await,
        None => std::future::pending().await,
    }
}
