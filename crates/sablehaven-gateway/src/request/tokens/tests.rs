//! Tests of taking a token of a quota.

use std::{cell::Cell, future::ready};

use sablehaven_types::{AllowedRegions, RequestQuota};

use super::*;
use crate::resends::CallerTry;

fn tenant(quota: Option<RequestQuota>) -> Tenant {
    Tenant {
        name: "desk".into(),
        keys: Vec::new(),
        priority: 0,
        allowed_regions: AllowedRegions::default(),
        quota,
    }
}

fn limited() -> Tenant {
    tenant(Some(RequestQuota {
        per_second: 1.0,
        burst: 0.0,
    }))
}

#[test]
fn a_replicas_decision_overrides_random_shedding() {
    let retry_in = Duration::from_secs(2);
    let tenant = limited();
    assert_eq!(decide(TokenOutcome::Granted, &tenant, 1.0, 0.0), Ok(()));
    let refused = decide(TokenOutcome::OverQuota(retry_in), &tenant, 0.0, 0.9);
    assert_eq!(refused, Err(Refusal::OverQuota { retry_in }));
    let refused = decide(TokenOutcome::OverFairShare, &tenant, 0.1, 0.9);
    assert_eq!(refused, Err(Refusal::TooManyRequests));
}

#[test]
fn without_a_decision_quotas_hold_and_shedding_is_random() {
    let refused = decide(TokenOutcome::Undecided, &limited(), 0.0, 0.5);
    assert_eq!(refused, Err(Refusal::NoTokens));
    let unlimited = tenant(None);
    assert_eq!(
        decide(TokenOutcome::Undecided, &unlimited, 0.3, 0.5),
        Ok(())
    );
    let refused = decide(TokenOutcome::Undecided, &unlimited, 0.7, 0.5);
    assert_eq!(refused, Err(Refusal::TooManyRequests));
}

/// Asks replicas that cannot decide the first `undecided` times. Returns the outcome and how often they were asked.
async fn ask_undecided_replicas(caller_try: CallerTry, undecided: u32) -> (TokenOutcome, u32) {
    let asked = Cell::new(0);
    let wait = TokenWait::new(caller_try, Some(Duration::from_secs(1)));
    let outcome = ask_until_decided(wait, || {
        asked.set(asked.get() + 1);
        ready(if asked.get() > undecided {
            TokenOutcome::Granted
        } else {
            TokenOutcome::Undecided
        })
    });
    (outcome.await, asked.get())
}

#[tokio::test]
async fn a_resend_asks_until_a_replica_decides() {
    let outcome = ask_undecided_replicas(CallerTry::Resend, 2).await;
    assert_eq!(outcome, (TokenOutcome::Granted, 3));
}

#[tokio::test]
async fn a_first_try_asks_once_and_a_resend_stops_eventually() {
    let outcome = ask_undecided_replicas(CallerTry::First, 1).await;
    assert_eq!(outcome, (TokenOutcome::Undecided, 1));
    let (outcome, asked) = ask_undecided_replicas(CallerTry::Resend, 1_000).await;
    assert_eq!(outcome, TokenOutcome::Undecided);
    assert!((2..=4).contains(&asked), "{asked}");
}
