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
fn what_a_replica_says_decides_whatever_the_lot() {
    let left = Duration::from_secs(2);
    let tenant = limited();
    assert_eq!(decide(TokenOutcome::Granted, &tenant, 1.0, 0.0), Ok(()));
    let refused = decide(TokenOutcome::OverQuota(left), &tenant, 0.0, 0.9);
    assert_eq!(refused, Err(Refusal::OverQuota { left }));
    let refused = decide(TokenOutcome::OverFairShare, &tenant, 0.1, 0.9);
    assert_eq!(refused, Err(Refusal::TooMany));
}

#[test]
fn without_a_word_a_quota_is_kept_and_pressure_goes_by_lot() {
    let refused = decide(TokenOutcome::Undecided, &limited(), 0.0, 0.5);
    assert_eq!(refused, Err(Refusal::NoTokens));
    let unlimited = tenant(None);
    assert_eq!(
        decide(TokenOutcome::Undecided, &unlimited, 0.3, 0.5),
        Ok(())
    );
    let refused = decide(TokenOutcome::Undecided, &unlimited, 0.7, 0.5);
    assert_eq!(refused, Err(Refusal::TooMany));
}

/// Asks replicas that have no part the first `without` times.
async fn asked_times(caller_try: CallerTry, without: u32) -> (TokenOutcome, u32) {
    let asked = Cell::new(0);
    let wait = TokenWait::new(caller_try, Some(Duration::from_secs(1)));
    let waited = ask_again(wait, || {
        asked.set(asked.get() + 1);
        ready(if asked.get() > without {
            TokenOutcome::Granted
        } else {
            TokenOutcome::Undecided
        })
    });
    (waited.await, asked.get())
}

#[tokio::test]
async fn a_second_try_asks_until_a_replica_has_a_part_again() {
    let waited = asked_times(CallerTry::Resend, 2).await;
    assert_eq!(waited, (TokenOutcome::Granted, 3));
}

#[tokio::test]
async fn a_first_try_asks_once_and_a_second_one_not_for_ever() {
    let waited = asked_times(CallerTry::First, 1).await;
    assert_eq!(waited, (TokenOutcome::Undecided, 1));
    let (waited, asked) = asked_times(CallerTry::Resend, 1_000).await;
    assert_eq!(waited, TokenOutcome::Undecided);
    assert!((2..=4).contains(&asked), "{asked}");
}
