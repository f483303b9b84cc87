//! Keys that come, go and stay secret.

use std::{
    sync::{Mutex, Once, PoisonError},
    time::Duration,
};

use futures::future::join_all;
use hyper::StatusCode;
use log::kv::{Key, Value, VisitSource};
use sablehaven_standins::routed::Behaviour;
use sablehaven_types::{RequestKind, Route};
use tokio::time::sleep;

use crate::support::raw_caller::{RawCaller, has_status, head};
use crate::support::routes::single;
use crate::support::tenants::tenant;
use crate::support::{Bed, call, run};

fn routes() -> Vec<Route> {
    vec![
        single("/q/", RequestKind::Safe, "search"),
        single("/once/", RequestKind::NonIdempotent, "search"),
    ]
}

/// A gateway with the tenant `desk`, whose key is `desk-1`, and one server that answers so.
async fn bed(behaviour: Behaviour) -> Bed {
    let mut bed = Bed::new().await;
    bed.serve("search", &[behaviour]).await;
    bed.tenants = vec![tenant("desk", &["desk-1"])];
    bed.route(1, routes()).await;
    bed
}

#[test]
fn an_unknown_key_is_refused_before_the_body_has_come() {
    run(async {
        let bed = bed(Behaviour::answer("ok")).await;
        let mut caller = RawCaller::connect(bed.address).await;
        let headers = ["Authorization: Bearer x", "Content-Length: 500"];
        caller.say(&head("POST", "/once/x", &headers)).await;
        let answer = caller.hear().await;
        assert!(has_status(&answer, 401), "{answer}");
        assert_eq!(bed.arrivals("search"), 0);
        // The rest of the body must not be read as the next request.
        assert!(caller.is_closed_within(Duration::from_secs(10)).await);
    });
}

#[test]
fn a_connection_that_stays_open_keeps_no_key() {
    run(async {
        let mut bed = bed(Behaviour::answer("ok")).await;
        let mut caller = RawCaller::connect(bed.address).await;
        let old = ["Authorization: Bearer desk-1"];
        let new = ["Authorization: Bearer desk-2"];
        assert!(has_status(&caller.ask("/q/x", &old).await, 200));
        assert!(has_status(&caller.ask("/q/x", &new).await, 401));
        // The new key is added before the old one goes, so that nobody is refused meanwhile.
        bed.tenants = vec![tenant("desk", &["desk-1", "desk-2"])];
        bed.route(2, routes()).await;
        assert!(has_status(&caller.ask("/q/x", &old).await, 200));
        assert!(has_status(&caller.ask("/q/x", &new).await, 200));
        bed.tenants = vec![tenant("desk", &["desk-2"])];
        bed.route(3, routes()).await;
        let served = bed.arrivals("search");
        assert!(has_status(&caller.ask("/q/x", &old).await, 401));
        assert_eq!(bed.arrivals("search"), served);
        assert!(has_status(&caller.ask("/q/x", &new).await, 200));
    });
}

#[test]
fn keys_come_and_go_by_changes_of_the_version_that_the_gateway_has() {
    run(async {
        let mut bed = bed(Behaviour::answer("ok")).await;
        let mut caller = RawCaller::connect(bed.address).await;
        let old = ["Authorization: Bearer desk-1"];
        let new = ["Authorization: Bearer desk-2"];
        // A change of a version that the gateway does not have says nothing.
        let exchanged = || vec![tenant("desk", &["desk-2"])];
        bed.say_tenants_change(7, 8, exchanged());
        bed.list();
        bed.settle(1).await;
        assert!(has_status(&caller.ask("/q/x", &old).await, 200));
        bed.say_tenants_change(1, 9, exchanged());
        bed.settle(9).await;
        assert!(has_status(&caller.ask("/q/x", &old).await, 401));
        assert!(has_status(&caller.ask("/q/x", &new).await, 200));
    });
}

#[test]
fn a_key_that_goes_while_the_body_is_read_is_refused() {
    run(async {
        let mut bed = bed(Behaviour::answer("ok")).await;
        let mut caller = RawCaller::connect(bed.address).await;
        let headers = ["Authorization: Bearer desk-1", "Content-Length: 4"];
        caller.say(&head("POST", "/once/x", &headers)).await;
        caller.say("ab").await;
        // The head is at the gateway by then; without that the test would show less.
        sleep(Duration::from_millis(100)).await;
        bed.tenants = vec![tenant("desk", &["desk-2"])];
        bed.route(2, routes()).await;
        caller.say("cd").await;
        let answer = caller.hear().await;
        assert!(has_status(&answer, 401), "{answer}");
        assert_eq!(bed.arrivals("search"), 0);
    });
}

#[test]
fn a_key_of_another_tenant_by_now_is_told_to_servers_as_that_one_s() {
    run(async {
        let mut bed = bed(Behaviour::answer("ok")).await;
        let mut caller = RawCaller::connect(bed.address).await;
        let headers = ["Authorization: Bearer desk-1", "Content-Length: 4"];
        caller.say(&head("POST", "/once/x", &headers)).await;
        sleep(Duration::from_millis(100)).await;
        bed.tenants = vec![tenant("portal", &["desk-1"])];
        bed.route(2, routes()).await;
        caller.say("abcd").await;
        assert!(has_status(&caller.hear().await, 200));
        let seen = bed.server("search", 0).seen();
        assert_eq!(seen[0].header("sablehaven-tenant"), Some("portal"));
    });
}

#[test]
fn a_key_that_goes_while_its_request_waits_for_a_connection_is_refused() {
    run(async {
        // The server takes as many connections from this gateway as it has slots, and all are in use.
        const CONNECTIONS: usize = 8;
        let work = Duration::from_millis(1_500);
        let mut bed = bed(Behaviour::after(work, "ok")).await;
        bed.tenants.push(tenant("portal", &["portal-1"]));
        bed.route(2, routes()).await;
        let address = bed.address;
        let ask = async |key: &str| {
            let key = format!("Bearer {key}");
            let headers = [("authorization", key.as_str())];
            call(address, Some("1"), "POST", "/once/x", &headers, "").await
        };
        let others = join_all((0..CONNECTIONS).map(|_| ask("portal-1")));
        let waiting = async {
            while bed.arrivals("search") < CONNECTIONS {
                sleep(Duration::from_millis(5)).await;
            }
            let taking = async {
                // The request is at the gateway by then; without that the test would show less.
                sleep(Duration::from_millis(200)).await;
                bed.tenants.remove(0);
                bed.route(3, routes()).await;
            };
            let (answer, ()) = tokio::join!(ask("desk-1"), taking);
            answer
        };
        let (others, answer) = tokio::join!(others, waiting);
        assert!(others.iter().all(|answer| answer.status == StatusCode::OK));
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
        // It waited for a connection, or it would have been refused long before one was free.
        assert!(answer.taken > work / 2, "{:?}", answer.taken);
        assert_eq!(bed.arrivals("search"), CONNECTIONS);
    });
}

#[test]
fn between_two_attempts_a_key_that_goes_ends_the_request() {
    run(async {
        let mut bed = Bed::new().await;
        let work = Duration::from_millis(500);
        for service in ["kept", "search"] {
            bed.serve(service, &[Behaviour::Silent, Behaviour::Silent])
                .await;
            for server in &bed.servers[service] {
                server.crash_on(&format!("/{service}/x"), work);
            }
        }
        bed.tenants = vec![tenant("desk", &["desk-1"])];
        // The long aim keeps hedges away.
        let route = |prefix, service| Route {
            aim_ms: 3_000,
            ..single(prefix, RequestKind::Safe, service)
        };
        let routes = || vec![route("/kept/", "kept"), route("/search/", "search")];
        bed.route(1, routes()).await;
        let address = bed.address;
        let ask = async |id: &str, path: &str| {
            let key = [("authorization", "Bearer desk-1")];
            call(address, Some(id), "GET", path, &key, "").await
        };
        ask("1", "/kept/x").await;
        assert_eq!(bed.arrivals("kept"), 2, "a second attempt without a change");
        let taking = async {
            while bed.arrivals("search") == 0 {
                sleep(Duration::from_millis(5)).await;
            }
            bed.tenants = vec![tenant("desk", &["desk-2"])];
            bed.route(2, routes()).await;
        };
        let (answer, ()) = tokio::join!(ask("2", "/search/x"), taking);
        // It may have run: no promise is made.
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
        assert_eq!(bed.arrivals("search"), 1);
    });
}

/// What no log line may hold.
const SECRETS: [&str; 2] = ["kept-key-7f3a", "lost-key-91c2"];

/// Log lines that hold a secret, and how many lines there were of requests that failed.
struct SecretSearch {
    found: Mutex<(Vec<String>, usize)>,
}

static SEARCH: SecretSearch = SecretSearch {
    found: Mutex::new((Vec::new(), 0)),
};
static INSTALLED: Once = Once::new();

struct LineOf(String);

impl<'kvs> VisitSource<'kvs> for LineOf {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0 += &format!(" {key}={value}");
        Ok(())
    }
}

impl log::Log for SecretSearch {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut line = LineOf(record.args().to_string());
        let _ = record.key_values().visit(&mut line);
        let mut found = self.found.lock().unwrap_or_else(PoisonError::into_inner);
        found.1 += usize::from(line.0.contains("event=failed"));
        if SECRETS.iter().any(|secret| line.0.contains(secret)) {
            found.0.push(line.0);
        }
    }

    fn flush(&self) {}
}

#[test]
fn no_log_line_figure_or_answer_holds_a_key() {
    INSTALLED.call_once(|| {
        log::set_logger(&SEARCH).expect("the only logger");
        log::set_max_level(log::LevelFilter::Trace);
    });
    run(async {
        let mut bed = Bed::new().await;
        bed.serve("search", &[Behaviour::answer("ok"), Behaviour::Reset])
            .await;
        bed.serve("broken", &[Behaviour::Reset]).await;
        bed.tenants = vec![tenant("desk", &[SECRETS[0]])];
        let broken = single("/broken/", RequestKind::Safe, "broken");
        let all = || [routes(), vec![broken.clone()]].concat();
        bed.route(1, all()).await;
        let mut answers = Vec::new();
        for key in SECRETS {
            for path in ["/q/x", "/once/x", "/broken/x", "/none/x"] {
                for value in [
                    format!("Bearer {key}"),
                    format!("Basic {key}"),
                    key.to_owned(),
                ] {
                    let headers = [("authorization", value.as_str())];
                    let answer = bed.send("1", "POST", path, &headers, "").await;
                    answers.push(format!("{:?} {:?}", answer.headers, answer.body));
                }
            }
        }
        bed.tenants = vec![tenant("desk", &["another"])];
        bed.route(2, all()).await;
        let headers = [("authorization", "Bearer kept-key-7f3a")];
        let answer = bed.send("2", "GET", "/q/x", &headers, "").await;
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
        answers.push(format!("{:?} {:?}", answer.headers, answer.body));
        let figures = bed
            .gateway
            .as_ref()
            .expect("a gateway")
            .metrics()
            .encode_metrics();
        assert!(
            figures.contains("sablehaven_gateway_unknown_key_requests_total 16"),
            "{figures}"
        );
        for secret in SECRETS {
            assert!(!figures.contains(secret));
            assert!(answers.iter().all(|answer| !answer.contains(secret)));
        }
    });
    let (found, failed) = &*SEARCH.found.lock().unwrap_or_else(PoisonError::into_inner);
    assert_eq!(found, &Vec::<String>::new());
    // The request with the known key that no server answered has left one.
    assert!(*failed > 0, "lines of requests are searched");
}
