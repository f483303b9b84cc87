//! Tests of acquiring tokens: the order of the replicas, timeouts, late grants, and suspension of the machine.

use std::{cell::Cell, rc::Rc};

use futures::FutureExt;
use tokio::task::{LocalSet, spawn_local, yield_now};

use super::*;

const FIRST: u16 = 1;
const SECOND: u16 = 2;
const TIMEOUT: Duration = Duration::from_millis(400);

fn replica(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn tenant() -> TenantName {
    "desk".into()
}

/// A clock that the test advances.
#[derive(Clone, Default)]
struct ManualClock(Rc<Cell<Duration>>);

impl SuspendAwareClock for ManualClock {
    fn now(&self) -> Duration {
        self.0.get()
    }
}

impl ManualClock {
    fn advance(&self, time: Duration) {
        self.0.set(self.0.get() + time);
    }
}

/// Records the token requests instead of sending them.
#[derive(Default)]
struct RecordingRequester {
    connected: Vec<u16>,
    sent: RefCell<Vec<(SocketAddr, TokenRequest)>>,
}

impl TokenRequester for RecordingRequester {
    fn connected(&self) -> Vec<(SocketAddr, Distance)> {
        let ports = self.connected.iter();
        ports.map(|port| (replica(*port), Distance::Zone)).collect()
    }

    fn send(&self, replica: SocketAddr, request: TokenRequest) -> bool {
        self.sent.borrow_mut().push((replica, request));
        true
    }
}

impl RecordingRequester {
    fn request_number(&self, position: usize) -> TokenRequestNumber {
        self.sent.borrow()[position].1.number
    }

    fn requested_replicas(&self) -> Vec<SocketAddr> {
        self.sent
            .borrow()
            .iter()
            .map(|(replica, _)| *replica)
            .collect()
    }
}

/// A client with its recorded requests and its clock.
struct TestClient {
    client: Rc<TokenClient<ManualClock>>,
    requests: Rc<RecordingRequester>,
    clock: ManualClock,
}

impl TestClient {
    fn new(connected: &[u16]) -> Self {
        let clock = ManualClock::default();
        clock.advance(Duration::from_secs(100));
        // Tokens are valid for half a second.
        let tolerance = QuotaTolerance {
            window_ms: 5_000,
            excess_permille: 100,
            slack: 20,
        };
        let requests = RecordingRequester {
            connected: connected.to_vec(),
            ..RecordingRequester::default()
        };
        Self {
            client: Rc::new(TokenClient::new(clock.clone(), &tolerance)),
            requests: Rc::new(requests),
            clock,
        }
    }

    fn acquire(&self, shed_permille: u16) -> tokio::task::JoinHandle<TokenOutcome> {
        let client = Rc::clone(&self.client);
        let requests = Rc::clone(&self.requests);
        spawn_local(async move {
            let tenant = tenant();
            client
                .acquire(&*requests, options(&tenant, shed_permille))
                .await
        })
    }

    fn reply(&self, from: u16, position: usize, verdict: TokenVerdict) {
        let number = self.requests.request_number(position);
        let reply = TokenReply { number, verdict };
        self.client.handle_replies(replica(from), &[reply]);
    }

    async fn wait_until_sent(&self, count: usize) {
        while self.requests.sent.borrow().len() < count {
            yield_now().await;
        }
    }
}

fn options(tenant: &TenantName, shed_permille: u16) -> AcquireOptions<'_> {
    AcquireOptions {
        tenant,
        shed_permille,
        replica_wait: Duration::from_millis(10),
        is_resend: false,
        timeout: TIMEOUT,
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn spends_one_granted_token_and_stocks_the_rest() {
    run(async {
        let fixture = TestClient::new(&[FIRST, SECOND]);
        let acquiring = fixture.acquire(0);
        fixture.wait_until_sent(1).await;
        fixture.reply(FIRST, 0, TokenVerdict::Granted(3));
        assert_eq!(
            acquiring.await.expect("the task completes"),
            TokenOutcome::Granted
        );
        assert!(fixture.client.spend(&tenant()));
        assert!(fixture.client.spend(&tenant()));
        assert!(!fixture.client.spend(&tenant()));
        assert_eq!(fixture.requests.requested_replicas(), [replica(FIRST)]);
    });
}

#[test]
fn is_undecided_at_once_without_a_connected_replica() {
    run(async {
        let fixture = TestClient::new(&[]);
        let tenant = tenant();
        let acquiring = fixture
            .client
            .acquire(&*fixture.requests, options(&tenant, 0));
        assert_eq!(acquiring.now_or_never(), Some(TokenOutcome::Undecided));
    });
}

#[test]
fn reports_an_exhausted_quota_with_its_retry_delay() {
    run(async {
        let fixture = TestClient::new(&[FIRST, SECOND]);
        let acquiring = fixture.acquire(0);
        fixture.wait_until_sent(1).await;
        let retry_after_ms = 700;
        fixture.reply(FIRST, 0, TokenVerdict::OverQuota { retry_after_ms });
        let retry_after = Duration::from_millis(700);
        assert_eq!(
            acquiring.await.expect("the task completes"),
            TokenOutcome::OverQuota(retry_after)
        );
        assert_eq!(fixture.requests.requested_replicas(), [replica(FIRST)]);
    });
}

#[test]
fn asks_the_next_replica_if_one_holds_no_part() {
    run(async {
        let fixture = TestClient::new(&[FIRST, SECOND]);
        let acquiring = fixture.acquire(0);
        fixture.wait_until_sent(1).await;
        fixture.reply(FIRST, 0, TokenVerdict::NoPart);
        fixture.wait_until_sent(2).await;
        fixture.reply(SECOND, 1, TokenVerdict::Granted(1));
        assert_eq!(
            acquiring.await.expect("the task completes"),
            TokenOutcome::Granted
        );
        assert_eq!(
            fixture.requests.requested_replicas(),
            [replica(FIRST), replica(SECOND)]
        );
    });
}

#[test]
fn asks_the_next_replica_after_a_timeout_and_stocks_the_late_grant() {
    run(async {
        let fixture = TestClient::new(&[FIRST, SECOND]);
        let acquiring = fixture.acquire(0);
        fixture.wait_until_sent(2).await;
        assert_eq!(
            fixture.requests.requested_replicas(),
            [replica(FIRST), replica(SECOND)]
        );
        fixture.reply(SECOND, 1, TokenVerdict::Granted(1));
        assert_eq!(
            acquiring.await.expect("the task completes"),
            TokenOutcome::Granted
        );
        fixture.reply(FIRST, 0, TokenVerdict::Granted(1));
        assert!(fixture.client.spend(&tenant()));
        assert!(!fixture.client.spend(&tenant()));
    });
}

#[test]
fn the_next_request_does_not_wait_for_a_replica_that_timed_out() {
    run(async {
        let fixture = TestClient::new(&[FIRST, SECOND]);
        let first = fixture.acquire(0);
        fixture.wait_until_sent(2).await;
        fixture.reply(SECOND, 1, TokenVerdict::Granted(1));
        first.await.expect("the task completes");
        let second = fixture.acquire(0);
        fixture.wait_until_sent(3).await;
        assert_eq!(fixture.requests.requested_replicas()[2], replica(SECOND));
        fixture.reply(SECOND, 2, TokenVerdict::Granted(1));
        assert_eq!(
            second.await.expect("the task completes"),
            TokenOutcome::Granted
        );
    });
}

#[test]
fn the_wait_ends_at_the_timeout_if_no_replica_replies() {
    run(async {
        let fixture = TestClient::new(&[FIRST, SECOND]);
        let started = Instant::now();
        assert_eq!(
            fixture.acquire(0).await.expect("the task completes"),
            TokenOutcome::Undecided
        );
        assert!(started.elapsed() >= TIMEOUT, "{:?}", started.elapsed());
        assert_eq!(
            fixture.requests.requested_replicas(),
            [replica(FIRST), replica(SECOND)]
        );
    });
}

#[test]
fn asks_the_next_replica_when_a_connection_ends() {
    run(async {
        let fixture = TestClient::new(&[FIRST, SECOND]);
        let acquiring = fixture.acquire(0);
        fixture.wait_until_sent(1).await;
        fixture.client.remove_replica(replica(FIRST));
        fixture.wait_until_sent(2).await;
        fixture.reply(SECOND, 1, TokenVerdict::Granted(1));
        assert_eq!(
            acquiring.await.expect("the task completes"),
            TokenOutcome::Granted
        );
        // A reply after the end of the connection is ignored.
        fixture.reply(FIRST, 0, TokenVerdict::Granted(1));
        assert!(!fixture.client.spend(&tenant()));
    });
}

#[test]
fn tokens_granted_after_a_cancellation_are_stocked() {
    run(async {
        let fixture = TestClient::new(&[FIRST]);
        let acquiring = fixture.acquire(0);
        fixture.wait_until_sent(1).await;
        acquiring.abort();
        assert!(acquiring.await.is_err());
        fixture.reply(FIRST, 0, TokenVerdict::Granted(2));
        assert!(fixture.client.spend(&tenant()));
        assert!(fixture.client.spend(&tenant()));
        assert!(!fixture.client.spend(&tenant()));
    });
}

#[test]
fn a_token_granted_just_before_a_cancellation_is_stocked() {
    run(async {
        let fixture = TestClient::new(&[FIRST]);
        let acquiring = fixture.acquire(0);
        fixture.wait_until_sent(1).await;
        fixture.reply(FIRST, 0, TokenVerdict::Granted(1));
        acquiring.abort();
        assert!(acquiring.await.is_err());
        assert!(fixture.client.spend(&tenant()));
    });
}

#[test]
fn tokens_from_before_a_suspension_are_not_spent_after_it() {
    run(async {
        let fixture = TestClient::new(&[FIRST]);
        let acquiring = fixture.acquire(0);
        fixture.wait_until_sent(1).await;
        fixture.reply(FIRST, 0, TokenVerdict::Granted(3));
        assert_eq!(
            acquiring.await.expect("the task completes"),
            TokenOutcome::Granted
        );
        fixture.clock.advance(Duration::from_secs(1));
        assert!(!fixture.client.spend(&tenant()));
    });
}

#[test]
fn a_request_that_waited_through_a_suspension_does_not_use_its_old_token() {
    run(async {
        let fixture = TestClient::new(&[FIRST]);
        let acquiring = fixture.acquire(0);
        fixture.wait_until_sent(1).await;
        fixture.clock.advance(Duration::from_secs(1));
        fixture.reply(FIRST, 0, TokenVerdict::Granted(1));
        assert_eq!(
            acquiring.await.expect("the task completes"),
            TokenOutcome::Undecided
        );
        assert!(!fixture.client.spend(&tenant()));
    });
}

#[test]
fn the_age_of_a_late_grant_counts_from_its_request() {
    run(async {
        let fixture = TestClient::new(&[FIRST]);
        let acquiring = fixture.acquire(0);
        fixture.wait_until_sent(1).await;
        acquiring.abort();
        fixture.clock.advance(Duration::from_millis(400));
        fixture.reply(FIRST, 0, TokenVerdict::Granted(1));
        fixture.clock.advance(Duration::from_millis(200));
        assert!(!fixture.client.spend(&tenant()));
    });
}

#[test]
fn under_overload_one_token_is_requested_with_the_shed_fraction() {
    run(async {
        let fixture = TestClient::new(&[FIRST]);
        let acquiring = fixture.acquire(300);
        fixture.wait_until_sent(1).await;
        fixture.reply(FIRST, 0, TokenVerdict::OverFairShare);
        assert_eq!(
            acquiring.await.expect("the task completes"),
            TokenOutcome::OverFairShare
        );
        let sent = fixture.requests.sent.borrow();
        assert_eq!((sent[0].1.shed_permille, sent[0].1.wanted), (300, 1));
    });
}

#[test]
fn a_reply_of_a_replica_that_was_not_asked_is_ignored() {
    run(async {
        let fixture = TestClient::new(&[FIRST]);
        let acquiring = fixture.acquire(0);
        fixture.wait_until_sent(1).await;
        fixture.reply(SECOND, 0, TokenVerdict::OverFairShare);
        fixture.reply(FIRST, 0, TokenVerdict::Granted(1));
        assert_eq!(
            acquiring.await.expect("the task completes"),
            TokenOutcome::Granted
        );
    });
}
