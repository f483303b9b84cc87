//! One sub-request: drives the decisions of [`SubRequest`] with attempts and a hedge timer.

use std::time::{Duration, Instant};

use futures::{StreamExt, stream::FuturesUnordered};
use prometheus_client::metrics::counter::Counter;
use prost_reflect::DynamicMessage;
use sablehaven_routing::ChosenBackend;
use sablehaven_types::{MissingReason, ShardId};
use tokio::time::sleep_until;

use super::{
    attempt::{SharedRequest, is_gone, run_attempt},
    coverage::ShardEnd,
    crashes::Turn,
    sub_request::{AttemptFailure, Step, SubRequest},
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
    let mut latest = None;
    let mut trial = match next_turn(shared).await {
        Turn::Send => None,
        Turn::Trial(trial) => Some(trial),
        Turn::Never => return ShardEnd::Missing(MissingReason::Failed),
    };
    let mut step = decide(shared, |router, now| sub_request.start(router, now));
    loop {
        match step {
            Step::Send {
                chosen,
                hedge_after,
            } => {
                latest = Some(chosen.clone());
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
                    if let Some(trial) = trial.take() {
                        end_trial(shared, failure, latest.as_ref()).await;
                        drop(trial);
                    }
                    if attempts.is_empty() {
                        trial = match next_turn(shared).await {
                            Turn::Send => None,
                            Turn::Trial(trial) => Some(trial),
                            Turn::Never => {
                                return ShardEnd::Missing(sub_request.missing_reason(failure));
                            }
                        };
                    }
                    let next = decide(shared, |router, now| {
                        sub_request.attempt_failed(router, now, failure)
                    });
                    count_sent(&next, &shared.metrics.retries);
                    next
                }
            },
            () = wait_until(hedge_at) => {
                hedge_at = None;
                if !shared.watch.is_clear(shared.service.router.now()) {
                    step = Step::Wait { hedge_after: None };
                    continue;
                }
                let next = decide(shared, |router, now| sub_request.hedge_due(router, now));
                count_sent(&next, &shared.metrics.hedges);
                next
            }
        };
    }
}

/// Waits for the query's turn to send to this shard.
async fn next_turn(shared: SharedRequest<'_>) -> Turn<'_> {
    shared.watch.turn(|| shared.service.router.now()).await
}

/// Notes the end of a suspect query's only attempt.
async fn end_trial(
    shared: SharedRequest<'_>,
    failure: AttemptFailure,
    chosen: Option<&ChosenBackend>,
) {
    let (AttemptFailure::Lost, Some(chosen)) = (failure, chosen) else {
        return;
    };
    let is_gone = is_gone(shared, chosen).await;
    let now = shared.service.router.now();
    shared.watch.trial_lost(now, is_gone);
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
