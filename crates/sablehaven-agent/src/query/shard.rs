//! Runs one sub-request: sends the attempts and sets the hedge timer as [`SubRequest`] decides.

use std::time::{Duration, Instant};

use futures::{StreamExt, stream::FuturesUnordered};
use prometheus_client::metrics::counter::Counter;
use prost_reflect::DynamicMessage;
use sablehaven_routing::ChosenBackend;
use sablehaven_types::{MissingReason, ShardId};
use tokio::time::sleep_until;

use super::{
    attempt::{SharedRequest, is_terminated, run_attempt},
    coverage::ShardResult,
    crashes::Turn,
    sub_request::{AttemptFailure, Step, SubRequest},
};

/// Sends attempts to the replicas of one shard until one replies or the sub-request has failed.
///
/// This function has no timeout of its own. Dropping the future cancels the attempts in flight.
pub async fn run_sub_request(
    shared: SharedRequest<'_>,
    shard: ShardId,
    max_attempts: u32,
) -> ShardResult<DynamicMessage> {
    let mut sub_request = SubRequest::new(shard, max_attempts);
    let mut attempts = FuturesUnordered::new();
    let mut hedge_at = None;
    let mut latest_chosen = None;
    let mut trial = match next_turn(shared).await {
        Turn::Send => None,
        Turn::Trial(trial) => Some(trial),
        Turn::Never => return ShardResult::Missing(MissingReason::Failed),
    };
    let mut step = decide(shared, |router, now| sub_request.start(router, now));
    loop {
        match step {
            Step::Send {
                chosen,
                hedge_after,
            } => {
                latest_chosen = Some(chosen.clone());
                attempts.push(run_attempt(shared, shard, chosen));
                hedge_at = deadline_after(hedge_after);
            }
            Step::Wait { hedge_after } => hedge_at = deadline_after(hedge_after).or(hedge_at),
            Step::GiveUp(reason) => return ShardResult::Missing(reason),
        }
        step = tokio::select! {
            Some(result) = attempts.next() => match result {
                Ok(reply) => return ShardResult::Answered(reply),
                Err(failure) => {
                    if let Some(trial) = trial.take() {
                        end_trial(shared, failure, latest_chosen.as_ref()).await;
                        drop(trial);
                    }
                    if attempts.is_empty() {
                        trial = match next_turn(shared).await {
                            Turn::Send => None,
                            Turn::Trial(trial) => Some(trial),
                            Turn::Never => {
                                return ShardResult::Missing(sub_request.missing_reason(failure));
                            }
                        };
                    }
                    let next = decide(shared, |router, now| {
                        sub_request.attempt_failed(router, now, failure)
                    });
                    count_if_sent(&next, &shared.metrics.retries);
                    next
                }
            },
            () = wait_until(hedge_at) => {
                hedge_at = None;
                if !shared.crash_watch.is_clear(shared.service.router.now()) {
                    step = Step::Wait { hedge_after: None };
                    continue;
                }
                let next = decide(shared, |router, now| sub_request.hedge_due(router, now));
                count_if_sent(&next, &shared.metrics.hedges);
                next
            }
        };
    }
}

/// Waits until the query may send another attempt, or must not send any more.
async fn next_turn(shared: SharedRequest<'_>) -> Turn<'_> {
    shared
        .crash_watch
        .turn(|| shared.service.router.now())
        .await
}

/// Records the result of the only attempt of a suspect query if its connection was lost.
async fn end_trial(
    shared: SharedRequest<'_>,
    failure: AttemptFailure,
    chosen: Option<&ChosenBackend>,
) {
    let (AttemptFailure::Lost, Some(chosen)) = (failure, chosen) else {
        return;
    };
    let is_terminated = is_terminated(shared, chosen).await;
    let now = shared.service.router.now();
    shared.crash_watch.trial_lost(now, is_terminated);
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

fn count_if_sent(step: &Step, counter: &Counter) {
    if matches!(step, Step::Send { .. }) {
        counter.inc();
    }
}

fn deadline_after(delay: Option<Duration>) -> Option<Instant> {
    delay.map(|delay| Instant::now() + delay)
}

/// Waits until the given time, or forever if there is none.
async fn wait_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline.into()).await,
        None => std::future::pending().await,
    }
}
