//! Takes a token of the tenant's quota for each request before the request is sent to any server.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hyper::header::HeaderValue;
use sablehaven_types::{Distance, Route, Tenant, TokenRequest};
use tokio::time::sleep;

use super::{id_text, refusal::Refusal, token_wait::TokenWait};
use crate::{
    control_links::ControlLinks,
    gateway::Gateway,
    quotas::{AcquireOptions, TokenOutcome, TokenRequester},
    resends::CallerTry,
};

/// Fraction of the latency target for which a request waits for a token; servers need the rest.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// Fraction of the latency target for which a replica may hold a token request while no tokens are available. It is
/// small so that a caller that is refused in the end has lost little time.
const PATIENCE_FRACTION: f64 = 0.125;

impl TokenRequester for ControlLinks {
    fn connected(&self) -> Vec<(SocketAddr, Distance)> {
        self.by_distance()
    }

    fn send(&self, replica: SocketAddr, request: TokenRequest) -> bool {
        self.send_token_request(replica, request)
    }
}

/// The token that a request needs.
pub(super) struct TokenNeed<'a> {
    pub(super) tenant: &'a Tenant,
    pub(super) route: &'a Route,
    pub(super) request_id: &'a HeaderValue,
    /// Share of the requests of this class (0 to 1) that this gateway currently sheds because servers are overloaded.
    pub(super) shed_share: f64,
    pub(super) caller_try: CallerTry,
    /// Backoff while no replica can decide.
    pub(super) wait: TokenWait,
}

/// Takes a token for a request.
///
/// # Errors
/// [`Refusal::OverQuota`] if the tenant's quota is exhausted, [`Refusal::TooManyRequests`] if servers are overloaded
/// and the tenant has had its fair share, [`Refusal::NoTokens`] if no control replica decides in time.
pub(super) async fn take_token(gateway: &Gateway, need: TokenNeed<'_>) -> Result<(), Refusal> {
    let TokenNeed {
        tenant, shed_share, ..
    } = need;
    let shed_permille = (shed_share * 1_000.0).round() as u16;
    let is_overloaded = shed_permille > 0;
    if tenant.quota.is_none() && !is_overloaded {
        return Ok(());
    }
    // Under overload a replica decides on each request, since it knows how much the tenant has used.
    if !is_overloaded && gateway.tokens.spend(&tenant.name) {
        gateway.metrics.tokens_spent("stock");
        return Ok(());
    }
    let started = Instant::now();
    let latency_target = Duration::from_millis(need.route.aim_ms);
    let ask = || {
        let options = AcquireOptions {
            tenant: &tenant.name,
            shed_permille,
            replica_wait: latency_target.mul_f64(PATIENCE_FRACTION),
            is_resend: need.caller_try == CallerTry::Resend,
            timeout: latency_target.mul_f64(MAX_WAIT_FRACTION),
        };
        gateway.tokens.acquire(&gateway.control_links, options)
    };
    let outcome = if tenant.quota.is_some() {
        ask_until_decided(need.wait, ask).await
    } else {
        ask().await
    };
    let seconds = started.elapsed().as_secs_f64();
    gateway.metrics.token_wait_seconds.observe(seconds);
    let result = decide(outcome, tenant, shed_share, rand::random());
    match &result {
        Ok(()) => gateway.metrics.tokens_spent("asked"),
        Err(refusal) => report_refusal(gateway, &need, refusal),
    }
    result
}

/// Asks replicas until one decides or the backoff ends.
async fn ask_until_decided<AskFuture: Future<Output = TokenOutcome>>(
    mut wait: TokenWait,
    ask: impl Fn() -> AskFuture,
) -> TokenOutcome {
    let started = Instant::now();
    loop {
        let outcome = ask().await;
        if outcome != TokenOutcome::Undecided {
            return outcome;
        }
        let Some(delay) = wait.next_delay(started.elapsed()) else {
            return outcome;
        };
        sleep(delay).await;
    }
}

/// Decides on a request by the replicas' response. If no replica decided, the gateway refuses requests that need a
/// quota token, and sheds a random share of the requests as it does without tenants. `draw` is uniform, 0 to 1.
fn decide(
    outcome: TokenOutcome,
    tenant: &Tenant,
    shed_share: f64,
    draw: f64,
) -> Result<(), Refusal> {
    match outcome {
        TokenOutcome::Granted => Ok(()),
        TokenOutcome::OverQuota(retry_in) => Err(Refusal::OverQuota { retry_in }),
        TokenOutcome::OverFairShare => Err(Refusal::TooManyRequests),
        TokenOutcome::Undecided if draw < shed_share => Err(Refusal::TooManyRequests),
        TokenOutcome::Undecided if tenant.quota.is_some() => Err(Refusal::NoTokens),
        TokenOutcome::Undecided => Ok(()),
    }
}

/// Counts and logs a refusal.
fn report_refusal(gateway: &Gateway, need: &TokenNeed<'_>, refusal: &Refusal) {
    let reason = match refusal {
        Refusal::OverQuota { .. } => "over_quota",
        Refusal::NoTokens => "no_tokens",
        _ => "over_fair_share",
    };
    gateway.metrics.tokens_refused(reason);
    log::warn!(
        event = "refused", request:% = id_text(need.request_id), tenant = need.tenant.name.as_str(),
        reason:% = refusal, route = need.route.name.as_str();
        "request"
    );
}

#[cfg(test)]
mod tests;
