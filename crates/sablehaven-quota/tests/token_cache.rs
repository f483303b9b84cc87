//! Tests which tokens a gateway caches, requests and discards.

use std::time::Duration;

use sablehaven_quota::TokenCache;
use sablehaven_types::{QuotaTolerance, TenantName};

const TOLERANCE: QuotaTolerance = QuotaTolerance {
    window_ms: 5_000,
    excess_permille: 100,
    slack: 20,
};
/// Longer than the lifetime of a token with this tolerance (40 ms), and than the longest lifetime with any tolerance
/// (500 ms).
const AFTER_EXPIRY: Duration = Duration::from_millis(501);
const START: Duration = Duration::from_secs(100);

fn tenant() -> TenantName {
    TenantName::from("tenant")
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Requests tokens at a steady rate for three seconds; returns the number of tokens that the last request asks for.
fn tokens_requested_at_rate(cache: &mut TokenCache, per_second: u64) -> u32 {
    let requests = (0..3 * per_second).map(|index| START + ms(index * 1_000 / per_second));
    requests
        .map(|now| cache.tokens_to_request(now, &tenant()))
        .last()
        .expect("requests")
}

#[test]
fn one_token_is_requested_for_a_rare_tenant() {
    let mut cache = TokenCache::new(&TOLERANCE);
    assert_eq!(cache.tokens_to_request(START, &tenant()), 1);
    assert_eq!(tokens_requested_at_rate(&mut cache, 5), 1);
}

#[test]
fn tokens_requested_ahead_follow_the_rate() {
    // Pauses until all requested tokens have expired.
    let requested_ahead = |per_second: u64| {
        let mut cache = TokenCache::new(&TOLERANCE);
        tokens_requested_at_rate(&mut cache, per_second);
        cache.tokens_to_request(START + ms(3_100), &tenant())
    };
    assert!(requested_ahead(100) > 1);
    assert!(requested_ahead(1_000) > 5 * requested_ahead(100));
}

#[test]
fn pending_tokens_are_not_requested_again() {
    let mut cache = TokenCache::new(&TOLERANCE);
    tokens_requested_at_rate(&mut cache, 1_000);
    let now = START + ms(4_000);
    let first = cache.tokens_to_request(now, &tenant());
    let second = cache.tokens_to_request(now, &tenant());
    assert!(first > 1);
    assert!(second <= 2, "{second} after {first}");
}

#[test]
fn a_cached_token_is_spent_once() {
    let mut cache = TokenCache::new(&TOLERANCE);
    cache.add(START, &tenant(), 2);
    let spent = (0..5)
        .filter(|_| cache.spend(START + ms(1), &tenant()))
        .count();
    assert_eq!(spent, 2);
}

#[test]
fn a_token_lifetime_starts_when_it_was_requested() {
    let mut cache = TokenCache::new(&TOLERANCE);
    cache.add(START, &tenant(), 1);
    assert!(!cache.spend(START + AFTER_EXPIRY, &tenant()));
}

#[test]
fn without_tolerated_excess_no_token_is_cached() {
    let tolerance = QuotaTolerance {
        excess_permille: 0,
        ..TOLERANCE
    };
    let mut cache = TokenCache::new(&tolerance);
    cache.add(START, &tenant(), 3);
    cache.return_token(START, START, &tenant());
    assert!(!cache.spend(START, &tenant()));
    assert_eq!(tokens_requested_at_rate(&mut cache, 1_000), 1);
}

#[test]
fn a_returned_token_can_be_spent_within_its_lifetime() {
    let mut cache = TokenCache::new(&TOLERANCE);
    cache.add(START, &tenant(), 1);
    let requested_at = cache
        .spend_with_request_time(START + ms(5), &tenant())
        .expect("a token");
    assert_eq!(requested_at, START);
    cache.return_token(START + ms(10), requested_at, &tenant());
    assert!(cache.spend(START + ms(11), &tenant()));
    cache.return_token(START + ms(12), requested_at, &tenant());
    assert!(!cache.spend(START + AFTER_EXPIRY, &tenant()));
}

#[test]
fn idle_tenants_are_removed() {
    let mut cache = TokenCache::new(&TOLERANCE);
    for index in 0..10_000 {
        cache.tokens_to_request(START, &TenantName(format!("tenant-{index}")));
    }
    let later = START + Duration::from_secs(30);
    cache.tokens_to_request(later, &tenant());
    assert_eq!(cache.tenants(), 1);
}

#[test]
fn tokens_of_many_replies_do_not_accumulate() {
    let mut cache = TokenCache::new(&TOLERANCE);
    for index in 0..100_000u64 {
        let now = START + ms(index);
        cache.tokens_to_request(now, &tenant());
        cache.add(now, &tenant(), 1);
    }
    let end = START + ms(100_000);
    let spent = (0..100_000).filter(|_| cache.spend(end, &tenant())).count();
    assert!(spent < 500, "{spent}");
}
