//! Tests of the tokens that a replica grants from its part, and of requests that wait for loans.

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

/// Time after which a new part has some tokens. It gains none in its first 100 ms, because loans that its replica requested
/// before a restart may still arrive then.
const FIRST_TOKENS_DELAY: Duration = Duration::from_millis(200);
/// A tolerance that lets a part accumulate tokens.
const WITH_SLACK: QuotaTolerance = QuotaTolerance {
    window_ms: 1_000,
    excess_permille: 0,
    slack: 20,
};

/// A lease duration that is longer than any test here that does not wait for the lease to expire.
const LONG_LEASE: Duration = Duration::from_secs(600);

/// A replica's quotas, with the driver's side of the published state and a gateway's side of the replies.
struct Fixture {
    quotas: ReplicaQuotas,
    published: watch::Sender<PublishedState>,
    state: SharedStateHandle,
    reply_sender: ReplySender,
    replies: mpsc::Receiver<Vec<TokenReply>>,
}

impl Fixture {
    /// The quotas of a member of a group of one, which leads.
    fn new(tolerance: QuotaTolerance) -> Self {
        Self::with_lease(tolerance, LONG_LEASE)
    }

    /// As [`Self::new`], with a lease that starts now and lasts for about `lease_duration`.
    fn with_lease(tolerance: QuotaTolerance, lease_duration: Duration) -> Self {
        let published = PublishedState {
            leader: Some(ReplicaId(1)),
            members: 1,
            is_member: true,
            ..PublishedState::default()
        };
        let (published, receiver) = watch::channel(published);
        let state = SharedStateHandle::default();
        let metrics = Metrics::default();
        let limits = LeaseLimits::new(lease_duration, lease_duration);
        let lease = PartLease::new(ReplicaId(1), limits, 0);
        let grants = Arc::default();
        let quotas = ReplicaQuotas::new(
            tolerance,
            lease,
            grants,
            receiver,
            Arc::clone(&state),
            metrics,
        );
        quotas.record_grant(quotas.start_probe());
        let (reply_sender, replies) = mpsc::channel(8);
        Self {
            quotas,
            published,
            state,
            reply_sender,
            replies,
        }
    }

    /// Applies a version of the routes with one tenant, whose quota is `per_second` tokens.
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
        // Stands in for `follow_published_state`, which does not run here.
        drop(self.quotas.lock_current_part(self.quotas.now()));
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
        let replies = self.quotas.take(&[request], &self.reply_sender);
        assert_eq!(replies.len(), 1);
        assert_eq!(replies[0].number, number);
        replies[0].verdict
    }
}

#[test]
fn a_replica_grants_the_tokens_that_its_part_has_gained() {
    let fixture = Fixture::new(WITH_SLACK);
    fixture.apply(1, 1_000.0);
    sleep(FIRST_TOKENS_DELAY);
    assert_eq!(fixture.take(7, 3), TokenVerdict::Granted(3));
}

#[test]
fn a_replica_that_has_just_started_refuses_and_tells_when_to_retry() {
    let fixture = Fixture::new(QuotaTolerance::default());
    // One of two parts gains a token in 10 s, some of which have passed. Its first 100 ms without a gain come on top.
    fixture.apply(1, 0.2);
    let TokenVerdict::OverQuota { retry_after_ms } = fixture.take(1, 1) else {
        panic!("granted from an empty part");
    };
    assert!(
        (1_000..=10_100).contains(&retry_after_ms),
        "{retry_after_ms}"
    );
}

#[test]
fn a_replica_without_the_routes_of_a_tenant_has_no_part_of_its_quota() {
    let fixture = Fixture::new(QuotaTolerance::default());
    assert_eq!(fixture.take(1, 1), TokenVerdict::NoPart);
}

#[test]
fn a_replica_loses_its_part_as_soon_as_its_lease_expires() {
    let lease_duration = Duration::from_millis(200);
    let fixture = Fixture::with_lease(WITH_SLACK, lease_duration);
    fixture.apply(1, 1_000.0);
    sleep(FIRST_TOKENS_DELAY);
    fixture
        .published
        .send_modify(|published| published.leader = None);
    sleep(lease_duration);
    assert_eq!(fixture.take(1, 1), TokenVerdict::NoPart);
    // With a new lease the part starts empty: another replica may have granted the former tokens in the meantime.
    fixture.quotas.record_grant(fixture.quotas.start_probe());
    fixture.apply(2, 0.1);
    let verdict = fixture.take(2, 1);
    assert!(
        matches!(verdict, TokenVerdict::OverQuota { .. }),
        "{verdict:?}"
    );
}

#[test]
fn a_replica_without_a_leader_keeps_its_part_while_its_lease_is_valid() {
    let fixture = Fixture::new(WITH_SLACK);
    fixture.apply(1, 1_000.0);
    fixture
        .published
        .send_modify(|published| published.leader = None);
    sleep(FIRST_TOKENS_DELAY);
    assert_eq!(fixture.take(1, 1), TokenVerdict::Granted(1));
}

#[test]
fn a_replica_that_has_just_started_has_no_part_until_a_leader_grants_a_lease() {
    let fixture = Fixture::new(WITH_SLACK);
    *fixture.quotas.lease() =
        PartLease::new(ReplicaId(1), LeaseLimits::new(LONG_LEASE, LONG_LEASE), 0);
    fixture.apply(1, 1_000.0);
    sleep(Duration::from_millis(50));
    assert_eq!(fixture.take(1, 1), TokenVerdict::NoPart);
}

#[test]
fn a_lower_quota_applies_as_soon_as_its_version_is_applied() {
    let fixture = Fixture::new(WITH_SLACK);
    fixture.apply(1, 10_000.0);
    sleep(FIRST_TOKENS_DELAY);
    // The lower quota discards the tokens for which it has no room and may leave a debt; from here on the part fills at
    // the lower rate.
    fixture.apply(2, 0.1);
    if let TokenVerdict::Granted(granted) = fixture.take(1, 100) {
        assert!(granted <= 10, "{granted}");
    }
    let TokenVerdict::OverQuota { retry_after_ms } = fixture.take(2, 1) else {
        panic!("granted at the former rate");
    };
    // The tolerance lets each part gain one token per window; at the former rate it would gain thousands.
    let window_ms = u32::try_from(WITH_SLACK.window_ms).expect("a second");
    assert!(retry_after_ms > window_ms / 2, "{retry_after_ms}");
}

#[test]
fn replies_keep_the_numbers_of_their_requests() {
    let fixture = Fixture::new(QuotaTolerance::default());
    let request = |number| TokenRequest {
        number,
        tenant: "desk".into(),
        wanted: 1,
        shed_permille: 0,
        patience_ms: 200,
        is_resend: false,
    };
    let replies = fixture
        .quotas
        .take(&[request(5), request(3)], &fixture.reply_sender);
    let numbers: Vec<u64> = replies.iter().map(|reply| reply.number).collect();
    assert_eq!(numbers, [5, 3]);
}

#[test]
fn there_is_one_more_part_than_members_and_none_without_lease_vote_or_driver() {
    let member = PublishedState {
        leader: Some(ReplicaId(1)),
        members: 9,
        is_member: true,
        ..PublishedState::default()
    };
    assert_eq!(part_count(&member, true), Some(10));
    assert_eq!(part_count(&member, false), None);
    let failed = PublishedState {
        failure: Some("store: no space".to_owned()),
        ..member.clone()
    };
    assert_eq!(part_count(&failed, true), None);
    let removed = PublishedState {
        is_member: false,
        ..member
    };
    assert_eq!(part_count(&removed, true), None);
}

#[tokio::test]
async fn without_tenants_token_requests_do_not_start_loan_requests() {
    let fixture = Fixture::new(QuotaTolerance::default());
    fixture.take(1, 1);
    // A notification would be there at once.
    let notified = tokio::time::timeout(
        Duration::from_millis(50),
        fixture.quotas.wait_for_requests(),
    )
    .await;
    assert!(notified.is_err());
    fixture.apply(1, 1.0);
    fixture.take(2, 1);
    fixture.quotas.wait_for_requests().await;
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

/// A replica with an empty part, connected to replicas that may lend.
fn fixture_with_lenders() -> Fixture {
    let fixture = Fixture::new(WITH_SLACK);
    fixture.apply(1, 0.5);
    fixture.quotas.set_has_lenders(true);
    fixture
}

#[test]
fn a_request_waits_for_a_loan_and_is_answered_when_it_arrives() {
    let mut fixture = fixture_with_lenders();
    let replies = fixture
        .quotas
        .take(&[waiting_request(5)], &fixture.reply_sender);
    assert!(replies.is_empty(), "answered without waiting for a loan");
    let loan_requests = fixture.quotas.loans_wanted();
    let loan = TokenLoan {
        number: loan_requests[0].number,
        tenant: "desk".into(),
        tokens: 1,
    };
    fixture.quotas.receive(&loan);
    let replies = fixture.replies.try_recv().expect("a reply");
    assert_eq!(replies[0].number, 5);
    assert_eq!(replies[0].verdict, TokenVerdict::Granted(1));
    fixture.quotas.receive(&loan);
    assert!(fixture.replies.try_recv().is_err(), "answered twice");
}

#[test]
fn a_request_is_refused_if_no_loan_arrives_in_time() {
    let mut fixture = fixture_with_lenders();
    let replies = fixture
        .quotas
        .take(&[waiting_request(5)], &fixture.reply_sender);
    assert!(replies.is_empty(), "answered without waiting for a loan");
    sleep(FIRST_TOKENS_DELAY);
    fixture.quotas.decide_waiting();
    let replies = fixture.replies.try_recv().expect("a reply");
    let verdict = replies[0].verdict;
    assert!(
        matches!(verdict, TokenVerdict::OverQuota { .. }),
        "{verdict:?}"
    );
}

#[test]
fn a_request_of_a_disconnected_gateway_takes_no_token() {
    let fixture = fixture_with_lenders();
    let (disconnected, receiver) = mpsc::channel(8);
    assert!(
        fixture
            .quotas
            .take(&[waiting_request(5)], &disconnected)
            .is_empty()
    );
    drop(receiver);
    let loan_requests = fixture.quotas.loans_wanted();
    fixture.quotas.receive(&TokenLoan {
        number: loan_requests[0].number,
        tenant: "desk".into(),
        tokens: 1,
    });
    assert_eq!(fixture.take(6, 1), TokenVerdict::Granted(1));
}
