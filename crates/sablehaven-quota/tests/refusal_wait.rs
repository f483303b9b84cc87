//! Who is refused for want of tokens is told when one will be there for it.

use std::time::Duration;

use sablehaven_quota::QuotaPart;
use sablehaven_types::{QuotaTolerance, RequestQuota, TenantName, TokenRequest, TokenVerdict};

const TOLERANCE: QuotaTolerance = QuotaTolerance {
    window_ms: 5_000,
    excess_permille: 100,
    slack: 20,
};
const START: Duration = Duration::from_secs(60);
const LONGEST_WAIT_MS: u32 = 30_000;

struct Caller {
    part: QuotaPart,
    tenant: TenantName,
}

impl Caller {
    /// A replica whose part of the tenant is used up at the start.
    fn at_empty_part(per_second: f64) -> Self {
        let tenant = TenantName::from("tenant");
        let quota = RequestQuota {
            per_second,
            burst: 0.0,
        };
        let mut part = QuotaPart::new(TOLERANCE);
        part.set_parts(Duration::ZERO, Some(4));
        part.set_tenants(Duration::ZERO, [(&tenant, Some(quota))].into_iter());
        let mut caller = Self { part, tenant };
        while caller.ask(START) == TokenVerdict::Granted(1) {}
        caller.part.set_parts(START, None);
        caller.part.set_parts(START, Some(4));
        caller
    }

    fn ask(&mut self, now: Duration) -> TokenVerdict {
        let request = TokenRequest {
            number: 0,
            tenant: self.tenant.clone(),
            wanted: 1,
            shed_permille: 0,
            patience_ms: 0,
            is_resend: false,
        };
        self.part.take(now, &request, 0.5)
    }

    fn refused(&mut self, now: Duration) -> u32 {
        match self.ask(now) {
            TokenVerdict::OverQuota { retry_after_ms } => retry_after_ms,
            verdict => panic!("{verdict:?} of an empty part"),
        }
    }
}

fn after(wait_ms: u32) -> Duration {
    START + Duration::from_millis(u64::from(wait_ms))
}

#[test]
fn each_who_is_refused_finds_a_token_at_the_time_told() {
    for per_second in [0.5, 7.3, 200.0] {
        let mut caller = Caller::at_empty_part(per_second);
        let waits: Vec<_> = (0..5).map(|_| caller.refused(START)).collect();
        for wait in waits {
            assert_eq!(
                caller.ask(after(wait)),
                TokenVerdict::Granted(1),
                "{wait} at {per_second}"
            );
        }
    }
}

#[test]
fn those_refused_before_stand_before() {
    let mut caller = Caller::at_empty_part(7.3);
    let waits: Vec<_> = (0..5).map(|_| caller.refused(START)).collect();
    assert!(
        waits.is_sorted_by(|earlier, later| earlier < later),
        "{waits:?}"
    );
}

#[test]
fn those_whose_time_has_come_stand_before_nobody() {
    let mut caller = Caller::at_empty_part(7.3);
    let last = (0..5).map(|_| caller.refused(START)).last().expect("five");
    let later = after(last);
    while caller.ask(later) == TokenVerdict::Granted(1) {}
    let token_ms = 1_000.0 * 4.0 / 7.3;
    assert!(f64::from(caller.refused(later)) <= 2.0 * token_ms);
}

#[test]
fn a_wait_stays_of_use() {
    let mut caller = Caller::at_empty_part(0.5);
    let longest = (0..10_000).map(|_| caller.refused(START)).max();
    assert_eq!(longest, Some(LONGEST_WAIT_MS));
}
