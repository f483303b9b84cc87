//! A request that finds no token is held only while another replica may lend one.

use std::time::Duration;

use sablehaven_quota::QuotaPart;
use sablehaven_types::{
    QuotaTolerance, RequestQuota, TenantName, TokenLoan, TokenRequest, TokenVerdict,
};

const TOLERANCE: QuotaTolerance = QuotaTolerance {
    window_ms: 5_000,
    excess_permille: 100,
    slack: 20,
};
const START: Duration = Duration::from_secs(60);
const MAX_HOLD: Duration = Duration::from_millis(200);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn tenant() -> TenantName {
    TenantName::from("tenant")
}

fn new_part() -> QuotaPart {
    part_with_rate(0.5)
}

fn part_with_rate(per_second: f64) -> QuotaPart {
    let quota = RequestQuota {
        per_second,
        burst: 0.0,
    };
    let mut part = QuotaPart::new(TOLERANCE);
    part.set_part_count(Duration::ZERO, Some(7));
    part.set_tenants(Duration::ZERO, [(&tenant(), Some(quota))].into_iter());
    part
}

fn request() -> TokenRequest {
    TokenRequest {
        number: 0,
        tenant: tenant(),
        wanted: 1,
        shed_permille: 0,
        patience_ms: 200,
        is_resend: false,
    }
}

fn exhausted_part() -> QuotaPart {
    let mut part = new_part();
    while part
        .take_or_hold(START, &request(), 0.5, Duration::ZERO)
        .is_some()
    {}
    part
}

#[test]
fn a_held_request_is_granted_a_lent_token() {
    let mut borrower = exhausted_part();
    let mut lender = new_part();
    let loan_request = borrower
        .loan_requests(START + ms(1))
        .pop()
        .expect("a loan request");
    let loan = lender.lend(START + ms(15), &loan_request).expect("a part");
    borrower.receive_loan(START + ms(30), &loan);
    let verdict = borrower.take_or_hold(START + ms(30), &request(), 0.5, ms(30));
    assert_eq!(verdict, Some(TokenVerdict::Granted(1)));
    assert_eq!(borrower.usage(START + ms(30))[0].refused, 0);
}

#[test]
fn a_request_is_refused_after_the_maximum_hold() {
    let mut borrower = exhausted_part();
    let verdict = borrower.take_or_hold(START + MAX_HOLD, &request(), 0.5, MAX_HOLD);
    assert!(
        matches!(verdict, Some(TokenVerdict::OverQuota { .. })),
        "{verdict:?}"
    );
}

#[test]
fn a_request_is_not_held_when_other_parts_have_no_tokens() {
    let mut borrower = exhausted_part();
    let mut now = START;
    for _ in 0..100 {
        now += ms(5);
        for loan_request in borrower.loan_requests(now) {
            let empty_loan = TokenLoan {
                number: loan_request.number,
                tenant: tenant(),
                tokens: 0,
            };
            borrower.receive_loan(now, &empty_loan);
        }
        let _ = borrower.take(now, &request(), 0.5);
    }
    while matches!(
        borrower.take(now, &request(), 0.5),
        TokenVerdict::Granted(_)
    ) {}
    let verdict = borrower.take_or_hold(now, &request(), 0.5, Duration::ZERO);
    assert!(
        matches!(verdict, Some(TokenVerdict::OverQuota { .. })),
        "{verdict:?}"
    );
}

#[test]
fn a_late_or_duplicate_loan_is_dropped() {
    let mut borrower = exhausted_part();
    let loan_request = borrower
        .loan_requests(START + ms(1))
        .pop()
        .expect("a loan request");
    let loan = TokenLoan {
        number: loan_request.number,
        tenant: tenant(),
        tokens: 1,
    };
    let before = borrower.usage(START + ms(200))[0].tokens;
    let mut late = borrower.clone();
    late.receive_loan(START + ms(200), &loan);
    assert_eq!(late.usage(START + ms(200))[0].tokens, before);

    borrower.receive_loan(START + ms(30), &loan);
    let once = borrower.usage(START + ms(30))[0].tokens;
    borrower.receive_loan(START + ms(30), &loan);
    assert_eq!(borrower.usage(START + ms(30))[0].tokens, once);
}

#[test]
fn two_parts_do_not_pass_the_same_tokens_back_and_forth() {
    let mut parts = [new_part(), new_part()];
    let mut loans = 0;
    for step in 0..5_000u64 {
        let now = START + ms(step);
        if step % 500 == 0 {
            for part in &mut parts {
                let _ = part.take(now, &request(), 0.5);
            }
        }
        for from in 0..2 {
            for loan_request in parts[from].loan_requests(now) {
                let loan = parts[1 - from].lend(now, &loan_request).expect("a part");
                loans += u32::from(loan.tokens > 0);
                parts[from].receive_loan(now, &loan);
            }
        }
    }
    assert!(loans <= 4, "{loans} loans");
}

#[test]
fn a_request_is_held_no_longer_than_its_gateway_allows() {
    let mut part = exhausted_part();
    let impatient = TokenRequest {
        patience_ms: 12,
        ..request()
    };
    let at = |held| START + ms(2_000 + held);
    let mut take = |held| part.take_or_hold(at(held), &impatient, 0.5, ms(held));
    assert_eq!(take(0), None);
    assert_eq!(take(11), None);
    assert!(matches!(take(12), Some(TokenVerdict::OverQuota { .. })));
}

/// The demand is about seven times the part's refill rate, and half of it comes from callers that were refused before.
#[test]
fn under_excess_demand_tokens_go_to_first_requests() {
    let mut part = part_with_rate(45.0);
    while let TokenVerdict::Granted(_) = part.take(START, &request(), 0.5) {}
    let (mut first_granted, mut resent_granted) = (0, 0);
    for step in 0..2_000_u64 {
        let now = START + ms(step * 20);
        let is_resend = step % 2 == 1;
        let request = TokenRequest {
            is_resend,
            patience_ms: 0,
            ..request()
        };
        if part.take(now, &request, 0.5) == TokenVerdict::Granted(1) {
            *(if is_resend {
                &mut resent_granted
            } else {
                &mut first_granted
            }) += 1;
        }
    }
    assert!(first_granted > 100, "{first_granted}");
    assert_eq!(resent_granted, 0, "beside {first_granted} first requests");
}

#[test]
fn a_resent_request_is_granted_a_spare_token() {
    let mut part = new_part();
    let request = TokenRequest {
        is_resend: true,
        ..request()
    };
    let now = START + ms(60_000);
    assert_eq!(part.take(now, &request, 0.5), TokenVerdict::Granted(1));
}
