use std::{cell::Cell, rc::Rc};

use futures::FutureExt;
use tokio::task::{LocalSet, spawn_local, yield_now};

use super::*;

const NEAR: u16 = 1;
const NEXT: u16 = 2;
const TIMEOUT: Duration = Duration::from_millis(400);

fn replica(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], number).into()
}

fn tenant() -> TenantName {
    "desk".into()
}

/// A clock that the test moves on.
#[derive(Clone, Default)]
struct ManualClock(Rc<Cell<Duration>>);

impl AgeClock for ManualClock {
    fn now(&self) -> Duration {
        self.0.get()
    }
}

impl ManualClock {
    fn advance(&self, time: Duration) {
        self.0.set(self.0.get() + time);
    }
}

/// Connections that note what is sent.
#[derive(Default)]
struct RecordingRequester {
    connected: Vec<u16>,
    sent: RefCell<Vec<(SocketAddr, TokenRequest)>>,
}

impl TokenRequester for RecordingRequester {
    fn connected(&self) -> Vec<(SocketAddr, Distance)> {
        let numbers = self.connected.iter();
        numbers
            .map(|number| (replica(*number), Distance::Zone))
            .collect()
    }

    fn send(&self, replica: SocketAddr, request: TokenRequest) -> bool {
        self.sent.borrow_mut().push((replica, request));
        true
    }
}

impl RecordingRequester {
    fn number(&self, position: usize) -> TokenRequestNumber {
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

/// A client, what it sends, and its clock.
struct TestClient {
    client: Rc<TokenClient<ManualClock>>,
    requests: Rc<RecordingRequester>,
    clock: ManualClock,
}

impl TestClient {
    fn new(connected: &[u16]) -> Self {
        let clock = ManualClock::default();
        clock.advance(Duration::from_secs(100));
        // Tokens are good for half a second.
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
        let number = self.requests.number(position);
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
fn a_token_that_is_granted_is_spent_and_the_others_are_kept() {
    run(async {
        let test = TestClient::new(&[NEAR, NEXT]);
        let acquiring = test.acquire(0);
        test.wait_until_sent(1).await;
        test.reply(NEAR, 0, TokenVerdict::Granted(3));
        assert_eq!(acquiring.await.expect("an answer"), TokenOutcome::Granted);
        assert!(test.client.spend(&tenant()));
        assert!(test.client.spend(&tenant()));
        assert!(!test.client.spend(&tenant()));
        assert_eq!(test.requests.requested_replicas(), [replica(NEAR)]);
    });
}

#[test]
fn no_connected_replica_is_told_at_once() {
    run(async {
        let test = TestClient::new(&[]);
        let tenant = tenant();
        let acquiring = test.client.acquire(&*test.requests, options(&tenant, 0));
        assert_eq!(acquiring.now_or_never(), Some(TokenOutcome::Undecided));
    });
}

#[test]
fn a_used_up_quota_is_told_with_its_time() {
    run(async {
        let test = TestClient::new(&[NEAR, NEXT]);
        let acquiring = test.acquire(0);
        test.wait_until_sent(1).await;
        let retry_after_ms = 700;
        test.reply(NEAR, 0, TokenVerdict::OverQuota { retry_after_ms });
        let retry_after = Duration::from_millis(700);
        assert_eq!(
            acquiring.await.expect("an answer"),
            TokenOutcome::OverQuota(retry_after)
        );
        assert_eq!(test.requests.requested_replicas(), [replica(NEAR)]);
    });
}

#[test]
fn a_replica_without_a_part_sends_the_request_to_the_next() {
    run(async {
        let test = TestClient::new(&[NEAR, NEXT]);
        let acquiring = test.acquire(0);
        test.wait_until_sent(1).await;
        test.reply(NEAR, 0, TokenVerdict::NoPart);
        test.wait_until_sent(2).await;
        test.reply(NEXT, 1, TokenVerdict::Granted(1));
        assert_eq!(acquiring.await.expect("an answer"), TokenOutcome::Granted);
        assert_eq!(
            test.requests.requested_replicas(),
            [replica(NEAR), replica(NEXT)]
        );
    });
}

#[test]
fn a_silent_replica_is_followed_by_the_next_and_its_late_grant_is_kept() {
    run(async {
        let test = TestClient::new(&[NEAR, NEXT]);
        let acquiring = test.acquire(0);
        test.wait_until_sent(2).await;
        assert_eq!(
            test.requests.requested_replicas(),
            [replica(NEAR), replica(NEXT)]
        );
        test.reply(NEXT, 1, TokenVerdict::Granted(1));
        assert_eq!(acquiring.await.expect("an answer"), TokenOutcome::Granted);
        test.reply(NEAR, 0, TokenVerdict::Granted(1));
        assert!(test.client.spend(&tenant()));
        assert!(!test.client.spend(&tenant()));
    });
}

#[test]
fn the_next_request_does_not_wait_for_a_replica_that_is_silent() {
    run(async {
        let test = TestClient::new(&[NEAR, NEXT]);
        let first = test.acquire(0);
        test.wait_until_sent(2).await;
        test.reply(NEXT, 1, TokenVerdict::Granted(1));
        first.await.expect("an answer");
        let second = test.acquire(0);
        test.wait_until_sent(3).await;
        assert_eq!(test.requests.requested_replicas()[2], replica(NEXT));
        test.reply(NEXT, 2, TokenVerdict::Granted(1));
        assert_eq!(second.await.expect("an answer"), TokenOutcome::Granted);
    });
}

#[test]
fn where_no_replica_answers_the_wait_ends_at_its_limit() {
    run(async {
        let test = TestClient::new(&[NEAR, NEXT]);
        let started = Instant::now();
        assert_eq!(
            test.acquire(0).await.expect("an answer"),
            TokenOutcome::Undecided
        );
        assert!(started.elapsed() >= TIMEOUT, "{:?}", started.elapsed());
        assert_eq!(
            test.requests.requested_replicas(),
            [replica(NEAR), replica(NEXT)]
        );
    });
}

#[test]
fn a_connection_that_ends_sends_its_requests_to_the_next_replica() {
    run(async {
        let test = TestClient::new(&[NEAR, NEXT]);
        let acquiring = test.acquire(0);
        test.wait_until_sent(1).await;
        test.client.remove_replica(replica(NEAR));
        test.wait_until_sent(2).await;
        test.reply(NEXT, 1, TokenVerdict::Granted(1));
        assert_eq!(acquiring.await.expect("an answer"), TokenOutcome::Granted);
        // What it says after that counts for nothing.
        test.reply(NEAR, 0, TokenVerdict::Granted(1));
        assert!(!test.client.spend(&tenant()));
    });
}

#[test]
fn tokens_of_a_caller_that_left_are_kept() {
    run(async {
        let test = TestClient::new(&[NEAR]);
        let acquiring = test.acquire(0);
        test.wait_until_sent(1).await;
        acquiring.abort();
        assert!(acquiring.await.is_err());
        test.reply(NEAR, 0, TokenVerdict::Granted(2));
        assert!(test.client.spend(&tenant()));
        assert!(test.client.spend(&tenant()));
        assert!(!test.client.spend(&tenant()));
    });
}

#[test]
fn a_token_that_came_just_before_its_caller_left_is_kept() {
    run(async {
        let test = TestClient::new(&[NEAR]);
        let acquiring = test.acquire(0);
        test.wait_until_sent(1).await;
        test.reply(NEAR, 0, TokenVerdict::Granted(1));
        acquiring.abort();
        assert!(acquiring.await.is_err());
        assert!(test.client.spend(&tenant()));
    });
}

#[test]
fn tokens_from_before_a_suspension_are_not_spent_after_it() {
    run(async {
        let test = TestClient::new(&[NEAR]);
        let acquiring = test.acquire(0);
        test.wait_until_sent(1).await;
        test.reply(NEAR, 0, TokenVerdict::Granted(3));
        assert_eq!(acquiring.await.expect("an answer"), TokenOutcome::Granted);
        test.clock.advance(Duration::from_secs(1));
        assert!(!test.client.spend(&tenant()));
    });
}

#[test]
fn a_request_that_waited_through_a_suspension_does_not_take_its_old_token() {
    run(async {
        let test = TestClient::new(&[NEAR]);
        let acquiring = test.acquire(0);
        test.wait_until_sent(1).await;
        test.clock.advance(Duration::from_secs(1));
        test.reply(NEAR, 0, TokenVerdict::Granted(1));
        assert_eq!(acquiring.await.expect("an answer"), TokenOutcome::Undecided);
        assert!(!test.client.spend(&tenant()));
    });
}

#[test]
fn a_late_grant_is_as_old_as_its_request() {
    run(async {
        let test = TestClient::new(&[NEAR]);
        let acquiring = test.acquire(0);
        test.wait_until_sent(1).await;
        acquiring.abort();
        test.clock.advance(Duration::from_millis(400));
        test.reply(NEAR, 0, TokenVerdict::Granted(1));
        test.clock.advance(Duration::from_millis(200));
        assert!(!test.client.spend(&tenant()));
    });
}

#[test]
fn pressure_is_told_and_asks_for_one_token() {
    run(async {
        let test = TestClient::new(&[NEAR]);
        let acquiring = test.acquire(300);
        test.wait_until_sent(1).await;
        test.reply(NEAR, 0, TokenVerdict::OverFairShare);
        assert_eq!(
            acquiring.await.expect("an answer"),
            TokenOutcome::OverFairShare
        );
        let sent = test.requests.sent.borrow();
        assert_eq!((sent[0].1.shed_permille, sent[0].1.wanted), (300, 1));
    });
}

#[test]
fn a_word_of_another_replica_does_not_count() {
    run(async {
        let test = TestClient::new(&[NEAR]);
        let acquiring = test.acquire(0);
        test.wait_until_sent(1).await;
        test.reply(NEXT, 0, TokenVerdict::OverFairShare);
        test.reply(NEAR, 0, TokenVerdict::Granted(1));
        assert_eq!(acquiring.await.expect("an answer"), TokenOutcome::Granted);
    });
}
