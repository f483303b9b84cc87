//! Queries over many shards: asks one server per shard and merges the replies that have arrived when the response is
//! due.

use std::{
    cmp::Reverse,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use futures::{FutureExt, StreamExt, stream::FuturesUnordered};
use hyper::{
    Response,
    header::{CONTENT_TYPE, HeaderValue},
};
use sablehaven_http::WholeBody;
use sablehaven_types::{Gather, ServiceName};
use tokio::time::{sleep, sleep_until};

use super::{
    Accepted,
    hedge_timer::BUDGET_RETRY_INTERVAL,
    lateness::{AnswerBody, SendObserver, TimerProbe},
    merge::greatest_records,
    query_attempts::{PartHandle, QueryAttempts, decide_failed_parts},
    refusal::Refusal,
    sub_request::{PartFailure, SubRequest, Tried},
    wait::{NextStep, Progress, next_step},
};
use crate::{metrics::Outcome, servers::ServerReply};

/// Results of the shards so far.
#[derive(Default)]
struct Parts {
    replies: Vec<ServerReply>,
    missing: Vec<(String, PartFailure)>,
    /// Shards without a result yet, with the servers that were tried.
    awaited: Vec<(ServiceName, Tried)>,
    extra: u32,
    unaffordable: u32,
    /// Whether a server may have executed a part of the query.
    may_have_run: bool,
}

impl Parts {
    /// Whether parts are missing because the request is quarantined for crashing servers.
    fn is_quarantined(&self) -> bool {
        let mut failures = self.missing.iter().map(|(_, failure)| failure);
        failures.any(|failure| matches!(failure, PartFailure::Quarantined))
    }
}

/// The refusal of a query that can't reach its minimum number of shards. It only says that the request has not run if
/// no server may have executed any part.
fn failure(accepted: &Accepted, parts: &Parts, may_have_run: bool) -> Refusal {
    if parts.is_quarantined() {
        return Refusal::after_crashes(accepted, may_have_run);
    }
    if may_have_run {
        return Refusal::TooFewShards;
    }
    Refusal::NotRun
}

/// Asks one server of every shard of the pinned version. Responds when all shards have replied, or when waiting
/// longer would cost more than the missing shards are worth.
pub(super) async fn answer(
    accepted: &Accepted,
    gather: &Gather,
) -> Result<(Response<AnswerBody>, Outcome), Refusal> {
    let servable = servable_shards(accepted, gather);
    if servable < gather.min_shards() {
        log_unservable(accepted, gather, servable);
        return Err(Refusal::NoServerAvailable);
    }
    let mut parts = Parts::default();
    let query = QueryAttempts::new(gather.shards.len(), gather.min_shards());
    let mut running: FuturesUnordered<_> = ordered_shards(accepted, gather)
        .into_iter()
        .enumerate()
        .map(|(number, shard)| {
            let service = accepted.gateway.registry.service(shard);
            let query = Rc::clone(&query);
            let handle = PartHandle { query, number };
            let part = SubRequest::new(accepted, service, Some(handle));
            parts.awaited.push((shard.clone(), part.tried()));
            async move { (shard, part.run().await) }
        })
        .collect();
    let mut probe = TimerProbe::start(accepted);
    let mut planned_at = accepted.outgoing.deadline;
    let mut answers_due = pin!(accepted.gateway.planned_stop.answers_due().fuse());
    let outcome = loop {
        probe.check(accepted);
        decide_failed_parts(accepted, &query);
        let progress = progress(accepted, gather, &parts);
        let wait_until = match next_step(&progress) {
            NextStep::Answer => break Ok(()),
            NextStep::Fail => {
                let may_have_run = parts.may_have_run || !running.is_empty();
                break Err(failure(accepted, &parts, may_have_run));
            }
            NextStep::DeadlineExceeded => break Err(Refusal::DeadlineExceeded),
            NextStep::WaitUntil(at) => accepted.arrived + at,
        };
        planned_at = wait_until;
        tokio::select! {
            Some((shard, part)) = running.next() => {
                parts.awaited.retain(|(awaited, _)| awaited != shard);
                parts.extra += part.extra;
                parts.unaffordable += part.unaffordable;
                parts.may_have_run |= part.may_have_run || part.result.is_ok();
                match part.result {
                    Ok(reply) => {
                        query.record_arrived();
                        parts.replies.push(reply);
                    }
                    Err(failure) => {
                        query.record_lost();
                        parts.missing.push((shard.to_string(), failure));
                    }
                }
            }
            () = sleep(BUDGET_RETRY_INTERVAL), if query.has_failed_parts() => {}
            () = sleep_until(probe.wake_at(wait_until).into()) => {}
            () = &mut answers_due => {}
        }
    };
    log_if_incomplete_or_late(accepted, gather, &parts, outcome.as_ref().err());
    let is_whole = parts.replies.len() == gather.shards.len();
    let success_outcome = if is_whole {
        Outcome::Whole
    } else {
        Outcome::Partial
    };
    let observer = SendObserver::new(accepted, planned_at.min(Instant::now()));
    outcome.map(|()| (respond(accepted, gather, &parts, observer), success_outcome))
}

/// The shards in the order in which they are asked. If the first attempt may crash its server, the shards with the
/// most spare servers come first.
fn ordered_shards<'a>(accepted: &Accepted, gather: &'a Gather) -> Vec<&'a ServiceName> {
    let mut shards: Vec<&ServiceName> = gather.shards.iter().collect();
    let now = accepted.gateway.clock.now();
    if accepted.outgoing.crash_watch.is_clear(now) {
        return shards;
    }
    let registry = &accepted.gateway.registry;
    let allowed = accepted.allowed_regions();
    shards.sort_by_cached_key(|shard| {
        Reverse(registry.service(shard).count_spare_servers(allowed, &[]))
    });
    shards
}

/// Number of shards with a server that can take the request. If there are too few, the query can't be answered and
/// asking the others would be wasted work.
fn servable_shards(accepted: &Accepted, gather: &Gather) -> usize {
    let registry = &accepted.gateway.registry;
    let allowed = accepted.allowed_regions();
    let can_serve = |shard: &&ServiceName| registry.service(shard).can_serve(allowed);
    gather.shards.iter().filter(can_serve).count()
}

fn log_unservable(accepted: &Accepted, gather: &Gather, servable: usize) {
    log::warn!(
        event = "refused", request:% = accepted.id(), reason = "too few shards have an available server",
        route = accepted.planned.route().name.as_str(), version = accepted.planned.version,
        shards = gather.shards.len(), servable = servable;
        "request"
    );
}

fn progress(accepted: &Accepted, gather: &Gather, parts: &Parts) -> Progress {
    let latency_target = Duration::from_millis(accepted.planned.route().aim_ms);
    let deadline = accepted.outgoing.deadline;
    let elapsed = accepted.arrived.elapsed();
    let stop_limit = accepted.gateway.planned_stop.time_left();
    let stop_limit = stop_limit.map_or(Duration::MAX, |left| elapsed + left);
    Progress {
        shards: gather.shards.len(),
        min_shards: gather.min_shards(),
        arrived: parts.replies.len(),
        failed: parts.missing.len(),
        elapsed,
        due: latency_target.saturating_sub(accepted.answer_margin()),
        limit: deadline
            .saturating_duration_since(accepted.arrived)
            .min(stop_limit),
    }
}

fn respond(
    accepted: &Accepted,
    gather: &Gather,
    parts: &Parts,
    observer: Option<SendObserver>,
) -> Response<AnswerBody> {
    let names = &accepted.gateway.names;
    let bodies = parts.replies.iter().map(|reply| &reply.body.bytes()[..]);
    let records = greatest_records(bodies, gather.top_k);
    let mut response = Response::new(AnswerBody::new(WholeBody::new(records), observer));
    let headers = response.headers_mut();
    let content_type = HeaderValue::from_static("application/octet-stream");
    headers.insert(CONTENT_TYPE, content_type);
    headers.insert(&names.request_id, accepted.outgoing.request_id.clone());
    let stamps = parts
        .replies
        .iter()
        .filter_map(|reply| reply.stamp.as_ref());
    let stamp_list = stamps
        .map(HeaderValue::as_bytes)
        .collect::<Vec<_>>()
        .join(&b", "[..]);
    if let Ok(stamp_list) = HeaderValue::from_bytes(&stamp_list) {
        headers.insert(&names.part_stamps, stamp_list);
    }
    let missing = gather.shards.len() - parts.replies.len();
    headers.insert(&names.missing_parts, HeaderValue::from(missing));
    response
}

/// Logs a query that failed, is incomplete or is late. Complete queries in time are not logged.
fn log_if_incomplete_or_late(
    accepted: &Accepted,
    gather: &Gather,
    parts: &Parts,
    refusal: Option<&Refusal>,
) {
    let elapsed = accepted.arrived.elapsed();
    let route = accepted.planned.route();
    let is_whole = parts.replies.len() == gather.shards.len();
    let is_late = elapsed > Duration::from_millis(route.aim_ms);
    if is_whole && !is_late && refusal.is_none() {
        return;
    }
    let event = match refusal {
        Some(_) => "failed",
        None if is_whole => "late",
        None => "partial",
    };
    log::warn!(
        event = event, request:% = accepted.id(), route = route.name.as_str(),
        version = accepted.planned.version, shards = gather.shards.len(),
        arrived = parts.replies.len(), extra = parts.extra + running_extra_attempts(&parts.awaited),
        unaffordable = parts.unaffordable,
        after_ms = elapsed.as_millis() as u64,
        left_ms = accepted.outgoing.deadline.saturating_duration_since(Instant::now()).as_millis() as u64,
        target = accepted.outgoing.crash_watch.fingerprint_text().as_str(),
        lost = accepted.outgoing.crash_watch.lost_servers_text().as_str(),
        missing = missing_shards_text(&parts.missing).as_str(),
        awaited = awaited_shards_text(&parts.awaited).as_str();
        "request"
    );
}

fn missing_shards_text(missing: &[(String, PartFailure)]) -> String {
    let each = missing
        .iter()
        .map(|(shard, failure)| format!("{shard}: {failure}"));
    each.collect::<Vec<_>>().join("; ")
}

fn awaited_shards_text(awaited: &[(ServiceName, Tried)]) -> String {
    let each = awaited.iter().map(|(shard, tried)| {
        let tried = tried.borrow();
        let tried: Vec<&str> = tried
            .iter()
            .map(sablehaven_types::BackendId::as_str)
            .collect();
        format!("{shard}: {}", tried.join(", "))
    });
    each.collect::<Vec<_>>().join("; ")
}

/// Extra attempts of the shards that have no result yet.
fn running_extra_attempts(awaited: &[(ServiceName, Tried)]) -> u32 {
    let extra_attempts = |tried: &Tried| tried.borrow().len().saturating_sub(1) as u32;
    awaited.iter().map(|(_, tried)| extra_attempts(tried)).sum()
}
