//! A token of the tenant's quota for each request, before any server hears of it.

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
    quotas::{TokenAsk, TokenOutcome, TokenRequester},
    resends::CallerTry,
};

/// Part of the aim for which a request waits for a token: servers need the rest.
const WAIT_PART_OF_AIM: f64 = 0.5;
/// Part of the aim for which a replica may keep a request waiting for tokens that may not come: a caller that is refused
/// then has lost little.
const PATIENCE_PART_OF_AIM: f64 = 0.125;

impl TokenRequester for ControlLinks {
    fn connected(&self) -> Vec<(SocketAddr, Distance)> {
        self.by_distance()
    }

    fn send(&self, replica: SocketAddr, request: TokenRequest) -> bool {
        self.take_tokens(replica, request)
    }
}

/// A request that needs a token of its tenant's quota.
pub(super) struct TokenNeed<'a> {
    pub(super) tenant: &'a Tenant,
    pub(super) route: &'a Route,
    pub(super) request_id: &'a HeaderValue,
    /// Share of such requests that this gateway refuses lately for want of room, 0 to 1.
    pub(super) shed_share: f64,
    pub(super) caller_try: CallerTry,
    /// How long replicas are asked again while none has a part of the quotas.
    pub(super) wait: TokenWait,
}

/// Takes a token for a request.
///
/// # Errors
/// [`Refusal::OverQuota`] where the tenant's quota is used up, [`Refusal::TooMany`] where there is too little room and it
/// has had its fair share, [`Refusal::NoTokens`] where no control replica says so in time.
pub(super) async fn take_token(gateway: &Gateway, need: TokenNeed<'_>) -> Result<(), Refusal> {
    let TokenNeed {
        tenant, shed_share, ..
    } = need;
    let shed_permille = (shed_share * 1_000.0).round() as u16;
    let is_pressed = shed_permille > 0;
    if tenant.quota.is_none() && !is_pressed {
        return Ok(());
    }
    // Who passes under pressure is decided for each request, by what the tenant has had.
    if !is_pressed && gateway.tokens.spend(&tenant.name) {
        gateway.metrics.tokens_spent("stock");
        return Ok(());
    }
    let started = Instant::now();
    let aim = Duration::from_millis(need.route.aim_ms);
    let ask = || {
        let ask = TokenAsk {
            tenant: &tenant.name,
            shed_permille,
            patience: aim.mul_f64(PATIENCE_PART_OF_AIM),
            is_resend: need.caller_try == CallerTry::Resend,
            limit: aim.mul_f64(WAIT_PART_OF_AIM),
        };
        gateway.tokens.ask(&gateway.control_links, ask)
    };
    let outcome = if tenant.quota.is_some() {
        ask_again(need.wait, ask).await
    } else {
        ask().await
    };
    let seconds = started.elapsed().as_secs_f64();
    gateway.metrics.token_wait_seconds.observe(seconds);
    let decided = decide(outcome, tenant, shed_share, rand::random());
    match &decided {
        Ok(()) => gateway.metrics.tokens_spent("asked"),
        Err(refusal) => note_refusal(gateway, &need, refusal),
    }
    decided
}

/// Asks until some replica decides or the wait is over.
async fn ask_again<Asked: Future<Output = TokenOutcome>>(
    mut wait: TokenWait,
    ask: impl Fn() -> Asked,
) -> TokenOutcome {
    let started = Instant::now();
    loop {
        let outcome = ask().await;
        if outcome != TokenOutcome::Undecided {
            return outcome;
        }
        let Some(pause) = wait.next_pause(started.elapsed()) else {
            return outcome;
        };
        sleep(pause).await;
    }
}

/// What becomes of a request by what replicas said. Where none did, the gateway refuses by lot as it does without
/// tenants, and whatever needs a token of a quota. `draw` is uniform, 0 to 1.
fn decide(
    outcome: TokenOutcome,
    tenant: &Tenant,
    shed_share: f64,
    draw: f64,
) -> Result<(), Refusal> {
    match outcome {
        TokenOutcome::Granted => Ok(()),
        TokenOutcome::OverQuota(left) => Err(Refusal::OverQuota { left }),
        TokenOutcome::OverFairShare => Err(Refusal::TooMany),
        TokenOutcome::Undecided if draw < shed_share => Err(Refusal::TooMany),
        TokenOutcome::Undecided if tenant.quota.is_some() => Err(Refusal::NoTokens),
        TokenOutcome::Undecided => Ok(()),
    }
}

/// Counts and logs a refusal.
fn note_refusal(gateway: &Gateway, need: &TokenNeed<'_>, refusal: &Refusal) {
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
