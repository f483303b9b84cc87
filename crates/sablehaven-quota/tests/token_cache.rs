//! What a gateway holds of tokens, asks for and forgets.

use std::time::Duration;

use sablehaven_quota::TokenStock;
use sablehaven_types::{QuotaTolerance, TenantName};

const TOLERANCE: QuotaTolerance = QuotaTolerance {
    window_ms: 5_000,
    excess_permille: 100,
    slack: 20,
};
/// Longer than a token of this tolerance is good, and than half of it.
const TOO_LATE: Duration = Duration::from_millis(501);
const START: Duration = Duration::from_secs(100);

fn tenant() -> TenantName {
    TenantName::from("tenant")
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Asks for a token at a steady rate; returns what is wanted at last.
fn wanted_at_rate(stock: &mut TokenStock, per_second: u64) -> u32 {
    let requests = (0..3 * per_second).map(|index| START + ms(index * 1_000 / per_second));
    requests
        .map(|now| stock.wanted(now, &tenant()))
        .last()
        .expect("requests")
}

#[test]
fn a_rare_tenant_is_asked_for_one_token() {
    let mut stock = TokenStock::new(&TOLERANCE);
    assert_eq!(stock.wanted(START, &tenant()), 1);
    assert_eq!(wanted_at_rate(&mut stock, 5), 1);
}

#[test]
fn what_is_asked_ahead_follows_the_rate() {
    // After a pause in which all that was asked for has expired.
    let asked = |per_second: u64| {
        let mut stock = TokenStock::new(&TOLERANCE);
        wanted_at_rate(&mut stock, per_second);
        stock.wanted(START + ms(3_100), &tenant())
    };
    assert!(asked(100) > 1);
    assert!(asked(1_000) > 5 * asked(100));
}

#[test]
fn what_is_on_its_way_is_not_asked_for_twice() {
    let mut stock = TokenStock::new(&TOLERANCE);
    wanted_at_rate(&mut stock, 1_000);
    let now = START + ms(4_000);
    let first = stock.wanted(now, &tenant());
    let second = stock.wanted(now, &tenant());
    assert!(first > 1);
    assert!(second <= 2, "{second} after {first}");
}

#[test]
fn what_is_held_is_spent_once() {
    let mut stock = TokenStock::new(&TOLERANCE);
    stock.put(START, &tenant(), 2);
    let spent = (0..5)
        .filter(|_| stock.spend(START + ms(1), &tenant()))
        .count();
    assert_eq!(spent, 2);
}

#[test]
fn a_token_expires_from_when_it_was_asked_for() {
    let mut stock = TokenStock::new(&TOLERANCE);
    stock.put(START, &tenant(), 1);
    assert!(!stock.spend(START + TOO_LATE, &tenant()));
}

#[test]
fn without_excess_nothing_is_held() {
    let tolerance = QuotaTolerance {
        excess_permille: 0,
        ..TOLERANCE
    };
    let mut stock = TokenStock::new(&tolerance);
    stock.put(START, &tenant(), 3);
    stock.put_back(START, START, &tenant());
    assert!(!stock.spend(START, &tenant()));
    assert_eq!(wanted_at_rate(&mut stock, 1_000), 1);
}

#[test]
fn a_token_that_is_put_back_is_spent_again_within_its_life() {
    let mut stock = TokenStock::new(&TOLERANCE);
    stock.put(START, &tenant(), 1);
    let asked_at = stock
        .spend_dated(START + ms(5), &tenant())
        .expect("a token");
    assert_eq!(asked_at, START);
    stock.put_back(START + ms(10), asked_at, &tenant());
    assert!(stock.spend(START + ms(11), &tenant()));
    stock.put_back(START + ms(12), asked_at, &tenant());
    assert!(!stock.spend(START + TOO_LATE, &tenant()));
}

#[test]
fn tenants_that_are_not_asked_for_are_forgotten() {
    let mut stock = TokenStock::new(&TOLERANCE);
    for index in 0..10_000 {
        stock.wanted(START, &TenantName(format!("tenant-{index}")));
    }
    let later = START + Duration::from_secs(30);
    stock.wanted(later, &tenant());
    assert_eq!(stock.tenants(), 1);
}

#[test]
fn tokens_of_many_replies_do_not_pile_up() {
    let mut stock = TokenStock::new(&TOLERANCE);
    for index in 0..100_000u64 {
        let now = START + ms(index);
        stock.wanted(now, &tenant());
        stock.put(now, &tenant(), 1);
    }
    let end = START + ms(100_000);
    let spent = (0..100_000).filter(|_| stock.spend(end, &tenant())).count();
    assert!(spent < 500, "{spent}");
}
