use std::{collections::BTreeMap, thread::sleep};

use sablehaven_consensus::ReplicaId;
use sablehaven_types::{AllowedRegions, CallerLimits, Tenant};
use tokio::sync::mpsc;

use super::*;
use crate::{
    quotas::LeaseLimits,
    routes::PutRoutes,
    shared::{SharedCommand, SharedState},
};

/// A part gains nothing for 100 ms after its start, while loans to its former start may come; some tokens have come then.
const FIRST_TOKENS: Duration = Duration::from_millis(200);
/// Leaves room for tokens to be kept.
const WITH_SLACK: QuotaTolerance = QuotaTolerance {
    window_ms: 1_000,
    excess_permille: 0,
    slack: 20,
};

/// A hold that outlasts a test that does not wait for its end.
const HOLD: Duration = Duration::from_secs(600);

/// A replica's quotas, and what its driver publishes.
struct Counter {
    quotas: ReplicaQuotas,
    published: watch::Sender<Published>,
    state: SharedHandle,
    replying: ReplySender,
    replies: mpsc::Receiver<Vec<TokenReply>>,
}

impl Counter {
    /// The quotas of a member of a group of one, which leads.
    fn new(tolerance: QuotaTolerance) -> Self {
        Self::holding(tolerance, HOLD)
    }

    /// The same with another time for which it holds its part from now on.
    fn holding(tolerance: QuotaTolerance, hold: Duration) -> Self {
        let published = Published {
            leader: Some(ReplicaId(1)),
            members: 1,
            is_member: true,
            ..Published::default()
        };
        let (published, receiver) = watch::channel(published);
        let state = SharedHandle::default();
        let metrics = Metrics::default();
        let limits = LeaseLimits::new(hold, hold);
        let hold = PartLease::new(ReplicaId(1), limits, 0);
        let grants = Arc::default();
        let quotas = ReplicaQuotas::new(
            tolerance,
            hold,
            grants,
            receiver,
            Arc::clone(&state),
            metrics,
        );
        quotas.record_grant(quotas.ask());
        let (replying, replies) = mpsc::channel(8);
        Self {
            quotas,
            published,
            state,
            replying,
            replies,
        }
    }

    /// Applies a version of the routes with one tenant.
    fn apply(&self, version: u64, per_second: f64) {
        let quota = RequestQuota {
            per_second,
            burst: 0.0,
        };
        let tenant = Tenant {
            name: "desk".into(),
            keys: Vec::new(),
            priority: 0,
            allowed_regions: AllowedRegions::default(),
            quota: Some(quota),
        };
        let document = RouteDocument {
            version,
            services: BTreeMap::new(),
            routes: Vec::new(),
            limits: CallerLimits::default(),
            tenants: vec![tenant],
        };
        let put = PutRoutes {
            document: Arc::new(document),
            source: Vec::new().into(),
        };
        let mut state: std::sync::RwLockWriteGuard<'_, SharedState> =
            self.state.write().expect("the state");
        state.apply(version, SharedCommand::Routes(put));
        drop(state);
        self.published
            .send_modify(|published| published.routes_version = version);
        // As the task does that follows the driver.
        drop(self.quotas.current(self.quotas.now()));
    }

    fn take(&self, number: u64, wanted: u32) -> TokenVerdict {
        let request = TokenRequest {
            number,
            tenant: "desk".into(),
            wanted,
            shed_permille: 0,
            patience_ms: 200,
            is_resend: false,
        };
        let replies = self.quotas.take(&[request], &self.replying);
        assert_eq!(replies.len(), 1);
        assert_eq!(replies[0].number, number);
        replies[0].verdict
    }
}

#[test]
fn a_replica_grants_what_has_come_into_its_part() {
    let counter = Counter::new(WITH_SLACK);
    counter.apply(1, 1_000.0);
    sleep(FIRST_TOKENS);
    assert_eq!(counter.take(7, 3), TokenVerdict::Granted(3));
}

#[test]
fn a_replica_that_has_just_started_refuses_and_says_when_a_token_is_there() {
    let counter = Counter::new(QuotaTolerance::default());
    // One of two parts: a token in 10 s, of which some has passed, after the pause of a start.
    counter.apply(1, 0.2);
    let TokenVerdict::OverQuota { retry_after_ms } = counter.take(1, 1) else {
        panic!("granted from an empty part");
    };
    assert!(
        (1_000..=10_100).contains(&retry_after_ms),
        "{retry_after_ms}"
    );
}

#[test]
fn an_unknown_tenant_is_no_business_of_a_replica_without_its_version() {
    let counter = Counter::new(QuotaTolerance::default());
    assert_eq!(counter.take(1, 1), TokenVerdict::NoPart);
}

#[test]
fn a_replica_whose_hold_is_over_has_no_part_at_once() {
    let hold = Duration::from_millis(200);
    let counter = Counter::holding(WITH_SLACK, hold);
    counter.apply(1, 1_000.0);
    sleep(FIRST_TOKENS);
    counter
        .published
        .send_modify(|published| published.leader = None);
    sleep(hold);
    assert_eq!(counter.take(1, 1), TokenVerdict::NoPart);
    // Its part is empty when it has one again: what it held may have been granted elsewhere by then.
    counter.quotas.record_grant(counter.quotas.ask());
    counter.apply(2, 0.1);
    let verdict = counter.take(2, 1);
    assert!(
        matches!(verdict, TokenVerdict::OverQuota { .. }),
        "{verdict:?}"
    );
}

#[test]
fn a_replica_that_knows_no_leader_keeps_its_part_while_its_hold_lasts() {
    let counter = Counter::new(WITH_SLACK);
    counter.apply(1, 1_000.0);
    counter
        .published
        .send_modify(|published| published.leader = None);
    sleep(FIRST_TOKENS);
    assert_eq!(counter.take(1, 1), TokenVerdict::Granted(1));
}

#[test]
fn a_replica_that_has_just_started_has_no_part_until_a_leader_grants_it() {
    let counter = Counter::new(WITH_SLACK);
    *counter.quotas.hold() = PartLease::new(ReplicaId(1), LeaseLimits::new(HOLD, HOLD), 0);
    counter.apply(1, 1_000.0);
    sleep(Duration::from_millis(50));
    assert_eq!(counter.take(1, 1), TokenVerdict::NoPart);
}

#[test]
fn a_lower_limit_binds_with_its_version() {
    let counter = Counter::new(WITH_SLACK);
    counter.apply(1, 10_000.0);
    sleep(FIRST_TOKENS);
    // What the lower limit leaves no room for is gone, and more of it may be owed; the rate is the lower one from here on.
    counter.apply(2, 0.1);
    if let TokenVerdict::Granted(granted) = counter.take(1, 100) {
        assert!(granted <= 10, "{granted}");
    }
    let TokenVerdict::OverQuota { retry_after_ms } = counter.take(2, 1) else {
        panic!("granted at the former rate");
    };
    // The tolerance gives each part a token a window; at the former rate there were thousands.
    let window_ms = u32::try_from(WITH_SLACK.window_ms).expect("a second");
    assert!(retry_after_ms > window_ms / 2, "{retry_after_ms}");
}

#[test]
fn replies_keep_the_numbers_of_their_requests() {
    let counter = Counter::new(QuotaTolerance::default());
    let request = |number| TokenRequest {
        number,
        tenant: "desk".into(),
        wanted: 1,
        shed_permille: 0,
        patience_ms: 200,
        is_resend: false,
    };
    let replies = counter
        .quotas
        .take(&[request(5), request(3)], &counter.replying);
    let numbers: Vec<u64> = replies.iter().map(|reply| reply.number).collect();
    assert_eq!(numbers, [5, 3]);
}

#[test]
fn parts_are_one_more_than_members_and_none_without_a_hold_a_vote_or_a_driver() {
    let member = Published {
        leader: Some(ReplicaId(1)),
        members: 9,
        is_member: true,
        ..Published::default()
    };
    assert_eq!(parts(&member, true), Some(10));
    assert_eq!(parts(&member, false), None);
    let failed = Published {
        failure: Some("store: no space".to_owned()),
        ..member.clone()
    };
    assert_eq!(parts(&failed, true), None);
    let replaced = Published {
        is_member: false,
        ..member
    };
    assert_eq!(parts(&replaced, true), None);
}

#[tokio::test]
async fn without_tenants_nothing_asks_for_loans() {
    let counter = Counter::new(QuotaTolerance::default());
    counter.take(1, 1);
    // The word would be there at once.
    let asked = tokio::time::timeout(Duration::from_millis(50), counter.quotas.asked()).await;
    assert!(asked.is_err());
    counter.apply(1, 1.0);
    counter.take(2, 1);
    counter.quotas.asked().await;
}

fn waiting_request(number: u64) -> TokenRequest {
    TokenRequest {
        number,
        tenant: "desk".into(),
        wanted: 1,
        shed_permille: 0,
        patience_ms: 200,
        is_resend: false,
    }
}

/// Quotas whose part is empty, beside replicas that may lend.
fn beside_lenders() -> Counter {
    let counter = Counter::new(WITH_SLACK);
    counter.apply(1, 0.5);
    counter.quotas.note_lenders(true);
    counter
}

#[test]
fn a_request_waits_for_a_loan_and_is_answered_when_it_comes() {
    let mut counter = beside_lenders();
    let now = counter
        .quotas
        .take(&[waiting_request(5)], &counter.replying);
    assert!(now.is_empty(), "it waits");
    let asked = counter.quotas.loans_wanted();
    let loan = TokenLoan {
        number: asked[0].number,
        tenant: "desk".into(),
        tokens: 1,
    };
    counter.quotas.receive(&loan);
    let replies = counter.replies.try_recv().expect("an answer");
    assert_eq!(replies[0].number, 5);
    assert_eq!(replies[0].verdict, TokenVerdict::Granted(1));
    counter.quotas.receive(&loan);
    assert!(counter.replies.try_recv().is_err(), "it is answered once");
}

#[test]
fn a_request_that_no_loan_comes_for_is_refused_in_the_end() {
    let mut counter = beside_lenders();
    let now = counter
        .quotas
        .take(&[waiting_request(5)], &counter.replying);
    assert!(now.is_empty(), "it waits");
    sleep(FIRST_TOKENS);
    counter.quotas.settle();
    let replies = counter.replies.try_recv().expect("an answer");
    let verdict = replies[0].verdict;
    assert!(
        matches!(verdict, TokenVerdict::OverQuota { .. }),
        "{verdict:?}"
    );
}

#[test]
fn a_request_whose_gateway_has_gone_takes_no_token() {
    let counter = beside_lenders();
    let (gone, closed) = mpsc::channel(8);
    assert!(counter.quotas.take(&[waiting_request(5)], &gone).is_empty());
    drop(closed);
    let asked = counter.quotas.loans_wanted();
    counter.quotas.receive(&TokenLoan {
        number: asked[0].number,
        tenant: "desk".into(),
        tokens: 1,
    });
    assert_eq!(counter.take(6, 1), TokenVerdict::Granted(1));
}
