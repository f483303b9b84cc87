//! A query over many shards: one server of each, and an answer from what is in when it is due.

use std::{
    cmp::Reverse,
    rc::Rc,
    time::{Duration, Instant},
};

use futures::{StreamExt, stream::FuturesUnordered};
use hyper::{
    Response,
    header::{CONTENT_TYPE, HeaderValue},
};
use sablehaven_http::WholeBody;
use sablehaven_types::{Gather, ServiceName};
use tokio::time::{sleep, sleep_until};

use super::{
    Accepted,
    hedge_timer::BUDGET_PAUSE,
    lateness::{AnswerBody, SendObserver, TimerProbe},
    merge::greatest_records,
    query_attempts::{PartPlace, QueryAttempts, settle},
    refusal::Refusal,
    sub_request::{PartFailure, SubRequest, Tried},
    wait::{Next, Progress, next},
};
use crate::{metrics::Outcome, servers::ServerReply};

/// What has come of the shards so far.
#[derive(Default)]
struct Parts {
    replies: Vec<ServerReply>,
    missing: Vec<(String, PartFailure)>,
    /// Shards without a result yet, with the servers that were asked.
    awaited: Vec<(ServiceName, Tried)>,
    extra: u32,
    unaffordable: u32,
    /// Whether a server may have run a part.
    may_have_run: bool,
}

impl Parts {
    /// Whether parts are missing because servers end when they run the request.
    fn is_quarantined(&self) -> bool {
        let mut failures = self.missing.iter().map(|(_, failure)| failure);
        failures.any(|failure| matches!(failure, PartFailure::Quarantined))
    }
}

/// The refusal when too many shards will not come. Only where no server may have run a part does it say so.
fn failure(accepted: &Accepted, parts: &Parts, may_have_run: bool) -> Refusal {
    if parts.is_quarantined() {
        return Refusal::after_crashes(accepted, may_have_run);
    }
    if may_have_run {
        return Refusal::TooFewShards;
    }
    Refusal::NotRun
}

/// Asks one server of every shard of the pinned version, and answers when the answer is whole, or
/// when waiting longer would cost more than the shards that are missing.
pub(super) async fn answer(
    accepted: &Accepted,
    gather: &Gather,
) -> Result<(Response<AnswerBody>, Outcome), Refusal> {
    let servable = servable_shards(accepted, gather);
    if servable < gather.min_shards() {
        log_unservable(accepted, gather, servable);
        return Err(Refusal::NoServers);
    }
    let mut parts = Parts::default();
    let query = QueryAttempts::new(gather.shards.len(), gather.min_shards());
    let mut running: FuturesUnordered<_> = in_order(accepted, gather)
        .into_iter()
        .enumerate()
        .map(|(number, shard)| {
            let service = accepted.gateway.registry.service(shard);
            let query = Rc::clone(&query);
            let place = PartPlace { query, number };
            let part = SubRequest::new(accepted, service, Some(place));
            parts.awaited.push((shard.clone(), part.tried()));
            async move { (shard, part.run().await) }
        })
        .collect();
    let mut probe = TimerProbe::start(accepted);
    let mut planned_at = accepted.outgoing.deadline;
    let outcome = loop {
        probe.look(accepted);
        settle(accepted, &query);
        let progress = progress(accepted, gather, &parts);
        let wait_until = match next(&progress) {
            Next::Answer => break Ok(()),
            Next::Fail => {
                let may_have_run = parts.may_have_run || !running.is_empty();
                break Err(failure(accepted, &parts, may_have_run));
            }
            Next::OutOfTime => break Err(Refusal::OutOfTime),
            Next::WaitUntil(at) => accepted.arrived + at,
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
                        query.arrived();
                        parts.replies.push(reply);
                    }
                    Err(failure) => {
                        query.lost();
                        parts.missing.push((shard.to_string(), failure));
                    }
                }
            }
            () = sleep(BUDGET_PAUSE), if query.has_failed_parts() => {}
            () = sleep_until(probe.wake_at(wait_until).into()) => {}
        }
    };
    log_unusual(accepted, gather, &parts, outcome.as_ref().err());
    let is_whole = parts.replies.len() == gather.shards.len();
    let kind = if is_whole {
        Outcome::Whole
    } else {
        Outcome::Partial
    };
    let observer = SendObserver::new(accepted, planned_at.min(Instant::now()));
    outcome.map(|()| (respond(accepted, gather, &parts, observer), kind))
}

/// The shards in the order in which they are asked: those with most servers to spare first where the first may be a
/// trial that costs its server.
fn in_order<'a>(accepted: &Accepted, gather: &'a Gather) -> Vec<&'a ServiceName> {
    let mut shards: Vec<&ServiceName> = gather.shards.iter().collect();
    let now = accepted.gateway.clock.now();
    if accepted.outgoing.crash_watch.is_clear(now) {
        return shards;
    }
    let registry = &accepted.gateway.registry;
    let allowed = accepted.allowed_regions();
    shards.sort_by_cached_key(|shard| Reverse(registry.service(shard).spare(allowed, &[])));
    shards
}

/// The shards of which some server may take the request. With too few of them there can be no answer, and
/// asking the others would only be work for nothing.
fn servable_shards(accepted: &Accepted, gather: &Gather) -> usize {
    let registry = &accepted.gateway.registry;
    let allowed = accepted.allowed_regions();
    let can_serve = |shard: &&ServiceName| registry.service(shard).can_serve(allowed);
    gather.shards.iter().filter(can_serve).count()
}

fn log_unservable(accepted: &Accepted, gather: &Gather, servable: usize) {
    log::warn!(
        event = "refused", request:% = accepted.id(), reason = "too few shards have a server that may answer",
        route = accepted.planned.route().name.as_str(), version = accepted.planned.version,
        shards = gather.shards.len(), servable = servable;
        "request"
    );
}

fn progress(accepted: &Accepted, gather: &Gather, parts: &Parts) -> Progress {
    let aim = Duration::from_millis(accepted.planned.route().aim_ms);
    let held = accepted.outgoing.deadline;
    Progress {
        shards: gather.shards.len(),
        least: gather.min_shards(),
        arrived: parts.replies.len(),
        failed: parts.missing.len(),
        elapsed: accepted.arrived.elapsed(),
        due: aim.saturating_sub(accepted.answer_margin()),
        limit: held.saturating_duration_since(accepted.arrived),
    }
}

fn respond(
    accepted: &Accepted,
    gather: &Gather,
    parts: &Parts,
    observer: Option<SendObserver>,
) -> Response<AnswerBody> {
    let names = &accepted.gateway.names;
    let bodies = parts.replies.iter().map(|reply| &reply.body[..]);
    let records = greatest_records(bodies, gather.top_k);
    let mut response = Response::new(AnswerBody::new(WholeBody::new(records), observer));
    let headers = response.headers_mut();
    let octets = HeaderValue::from_static("application/octet-stream");
    headers.insert(CONTENT_TYPE, octets);
    headers.insert(&names.request_id, accepted.outgoing.request_id.clone());
    let stamps = parts
        .replies
        .iter()
        .filter_map(|reply| reply.stamp.as_ref());
    let joined = stamps
        .map(HeaderValue::as_bytes)
        .collect::<Vec<_>>()
        .join(&b", "[..]);
    if let Ok(joined) = HeaderValue::from_bytes(&joined) {
        headers.insert(&names.part_stamps, joined);
    }
    let missing = gather.shards.len() - parts.replies.len();
    headers.insert(&names.missing_parts, HeaderValue::from(missing));
    response
}

/// A query that is whole and in time is not worth a line.
fn log_unusual(accepted: &Accepted, gather: &Gather, parts: &Parts, refusal: Option<&Refusal>) {
    let taken = accepted.arrived.elapsed();
    let route = accepted.planned.route();
    let is_whole = parts.replies.len() == gather.shards.len();
    let is_late = taken > Duration::from_millis(route.aim_ms);
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
        arrived = parts.replies.len(), extra = parts.extra + still_extra(&parts.awaited),
        unaffordable = parts.unaffordable,
        after_ms = taken.as_millis() as u64,
        left_ms = accepted.outgoing.deadline.saturating_duration_since(Instant::now()).as_millis() as u64,
        target = accepted.outgoing.crash_watch.fingerprint_text().as_str(),
        lost = accepted.outgoing.crash_watch.lost_text().as_str(),
        missing = missing_text(&parts.missing).as_str(),
        awaited = awaited_text(&parts.awaited).as_str();
        "request"
    );
}

fn missing_text(missing: &[(String, PartFailure)]) -> String {
    let each = missing
        .iter()
        .map(|(shard, failure)| format!("{shard}: {failure}"));
    each.collect::<Vec<_>>().join("; ")
}

fn awaited_text(awaited: &[(ServiceName, Tried)]) -> String {
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

/// Second attempts of the shards that are still awaited.
fn still_extra(awaited: &[(ServiceName, Tried)]) -> u32 {
    let beyond_first = |tried: &Tried| tried.borrow().len().saturating_sub(1) as u32;
    awaited.iter().map(|(_, tried)| beyond_first(tried)).sum()
}
