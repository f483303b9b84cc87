//! A refused caller is told when a token will be available for it.

use std::time::Duration;

use sablehaven_quota::QuotaPart;
use sablehaven_types::{QuotaTolerance, RequestQuota, TenantName, TokenRequest, TokenVerdict};

const TOLERANCE: QuotaTolerance = QuotaTolerance {
    window_ms: 5_000,
    excess_permille: 100,
    slack: 20,
};
const START: Duration = Duration::from_secs(60);
const MAX_WAIT_MS: u32 = 30_000;

/// A caller of a single replica.
struct Caller {
    part: QuotaPart,
    tenant: TenantName,
}

impl Caller {
    /// Creates a caller of a replica whose part of the tenant's quota is empty at [`START`].
    fn with_empty_part(per_second: f64) -> Self {
        let tenant = TenantName::from("tenant");
        let quota = RequestQuota {
            per_second,
            burst: 0.0,
        };
        let mut part = QuotaPart::new(TOLERANCE);
        part.set_part_count(Duration::ZERO, Some(4));
        part.set_tenants(Duration::ZERO, [(&tenant, Some(quota))].into_iter());
        let mut caller = Self { part, tenant };
        while caller.ask(START) == TokenVerdict::Granted(1) {}
        caller.part.set_part_count(START, None);
        caller.part.set_part_count(START, Some(4));
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

    /// Sends a request that has to be refused, and returns the wait that it is told.
    fn expect_refusal(&mut self, now: Duration) -> u32 {
        match self.ask(now) {
            TokenVerdict::OverQuota { retry_after_ms } => retry_after_ms,
            verdict => panic!("an empty part answered {verdict:?}"),
        }
    }
}

fn time_after(wait_ms: u32) -> Duration {
    START + Duration::from_millis(u64::from(wait_ms))
}

#[test]
fn each_refused_caller_finds_a_token_at_the_time_it_was_told() {
    for per_second in [0.5, 7.3, 200.0] {
        let mut caller = Caller::with_empty_part(per_second);
        let waits_ms: Vec<_> = (0..5).map(|_| caller.expect_refusal(START)).collect();
        for wait_ms in waits_ms {
            assert_eq!(
                caller.ask(time_after(wait_ms)),
                TokenVerdict::Granted(1),
                "no token after {wait_ms} ms at {per_second} tokens per second"
            );
        }
    }
}

#[test]
fn callers_refused_earlier_wait_less() {
    let mut caller = Caller::with_empty_part(7.3);
    let waits_ms: Vec<_> = (0..5).map(|_| caller.expect_refusal(START)).collect();
    assert!(
        waits_ms.is_sorted_by(|earlier, later| earlier < later),
        "{waits_ms:?}"
    );
}

#[test]
fn callers_whose_wait_has_ended_do_not_delay_others() {
    let mut caller = Caller::with_empty_part(7.3);
    let last_wait_ms = (0..5)
        .map(|_| caller.expect_refusal(START))
        .last()
        .expect("five refusals");
    let later = time_after(last_wait_ms);
    while caller.ask(later) == TokenVerdict::Granted(1) {}
    let token_interval_ms = 1_000.0 * 4.0 / 7.3;
    assert!(f64::from(caller.expect_refusal(later)) <= 2.0 * token_interval_ms);
}

#[test]
fn the_wait_has_an_upper_limit() {
    let mut caller = Caller::with_empty_part(0.5);
    let max_wait_ms = (0..10_000).map(|_| caller.expect_refusal(START)).max();
    assert_eq!(max_wait_ms, Some(MAX_WAIT_MS));
}
