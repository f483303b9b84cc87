//! Tests of tenant keys: how they are added and removed, and that they stay secret.

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

use crate::support::raw_caller::{RawCaller, has_status, request_head};
use crate::support::routes::service_route;
use crate::support::tenants::tenant;
use crate::support::{TestBed, run_test, send_request};

fn routes() -> Vec<Route> {
    vec![
        service_route("/q/", RequestKind::Safe, "search"),
        service_route("/once/", RequestKind::NonIdempotent, "search"),
    ]
}

/// Starts a gateway with the tenant `desk`, whose key is `desk-1`, and one server with the given behaviour.
async fn start_test_bed(behaviour: Behaviour) -> TestBed {
    let mut bed = TestBed::new().await;
    bed.add_servers("search", &[behaviour]).await;
    bed.tenants = vec![tenant("desk", &["desk-1"])];
    bed.apply_routes(1, routes()).await;
    bed
}

#[test]
fn an_unknown_key_is_refused_before_the_body_has_arrived() {
    run_test(async {
        let bed = start_test_bed(Behaviour::answer("ok")).await;
        let mut caller = RawCaller::connect(bed.address).await;
        let headers = ["Authorization: Bearer x", "Content-Length: 500"];
        caller
            .send(&request_head("POST", "/once/x", &headers))
            .await;
        let response = caller.receive().await;
        assert!(has_status(&response, 401), "{response}");
        assert_eq!(bed.arrivals("search"), 0);
        // If the connection stayed open, the rest of the body would be read as the next request.
        assert!(caller.is_closed_within(Duration::from_secs(10)).await);
    });
}

#[test]
fn the_key_is_checked_for_every_request_on_a_connection() {
    run_test(async {
        let mut bed = start_test_bed(Behaviour::answer("ok")).await;
        let mut caller = RawCaller::connect(bed.address).await;
        let old = ["Authorization: Bearer desk-1"];
        let new = ["Authorization: Bearer desk-2"];
        assert!(has_status(&caller.request("/q/x", &old).await, 200));
        assert!(has_status(&caller.request("/q/x", &new).await, 401));
        // The new key is added before the old one is removed, so that no request is refused in between.
        bed.tenants = vec![tenant("desk", &["desk-1", "desk-2"])];
        bed.apply_routes(2, routes()).await;
        assert!(has_status(&caller.request("/q/x", &old).await, 200));
        assert!(has_status(&caller.request("/q/x", &new).await, 200));
        bed.tenants = vec![tenant("desk", &["desk-2"])];
        bed.apply_routes(3, routes()).await;
        let served = bed.arrivals("search");
        assert!(has_status(&caller.request("/q/x", &old).await, 401));
        assert_eq!(bed.arrivals("search"), served);
        assert!(has_status(&caller.request("/q/x", &new).await, 200));
    });
}

#[test]
fn a_change_of_tenants_is_only_applied_to_the_version_that_it_is_based_on() {
    run_test(async {
        let mut bed = start_test_bed(Behaviour::answer("ok")).await;
        let mut caller = RawCaller::connect(bed.address).await;
        let old = ["Authorization: Bearer desk-1"];
        let new = ["Authorization: Bearer desk-2"];
        // The change is based on a version that the gateway does not have, so it has no effect.
        let new_tenants = || vec![tenant("desk", &["desk-2"])];
        bed.send_tenants_change(7, 8, new_tenants());
        bed.publish_listing();
        bed.wait_until_applied(1).await;
        assert!(has_status(&caller.request("/q/x", &old).await, 200));
        bed.send_tenants_change(1, 9, new_tenants());
        bed.wait_until_applied(9).await;
        assert!(has_status(&caller.request("/q/x", &old).await, 401));
        assert!(has_status(&caller.request("/q/x", &new).await, 200));
    });
}

#[test]
fn a_key_that_is_removed_while_the_body_is_read_is_refused() {
    run_test(async {
        let mut bed = start_test_bed(Behaviour::answer("ok")).await;
        let mut caller = RawCaller::connect(bed.address).await;
        let headers = ["Authorization: Bearer desk-1", "Content-Length: 4"];
        caller
            .send(&request_head("POST", "/once/x", &headers))
            .await;
        caller.send("ab").await;
        // Gives the gateway time to receive the head. If it received the head after the new tenants, the test would
        // not show that the key is checked again.
        sleep(Duration::from_millis(100)).await;
        bed.tenants = vec![tenant("desk", &["desk-2"])];
        bed.apply_routes(2, routes()).await;
        caller.send("cd").await;
        let response = caller.receive().await;
        assert!(has_status(&response, 401), "{response}");
        assert_eq!(bed.arrivals("search"), 0);
    });
}

#[test]
fn if_a_key_moves_to_another_tenant_while_the_body_is_read_servers_are_told_the_new_tenant() {
    run_test(async {
        let mut bed = start_test_bed(Behaviour::answer("ok")).await;
        let mut caller = RawCaller::connect(bed.address).await;
        let headers = ["Authorization: Bearer desk-1", "Content-Length: 4"];
        caller
            .send(&request_head("POST", "/once/x", &headers))
            .await;
        sleep(Duration::from_millis(100)).await;
        bed.tenants = vec![tenant("portal", &["desk-1"])];
        bed.apply_routes(2, routes()).await;
        caller.send("abcd").await;
        assert!(has_status(&caller.receive().await, 200));
        let seen = bed.server("search", 0).seen();
        assert_eq!(seen[0].header("sablehaven-tenant"), Some("portal"));
    });
}

#[test]
fn a_key_that_is_removed_while_its_request_waits_for_a_connection_is_refused() {
    run_test(async {
        // The server accepts as many connections from this gateway as it has slots, and all of them are in use.
        const CONNECTIONS: usize = 8;
        let service_time = Duration::from_millis(1_500);
        let mut bed = start_test_bed(Behaviour::after(service_time, "ok")).await;
        bed.tenants.push(tenant("portal", &["portal-1"]));
        bed.apply_routes(2, routes()).await;
        let address = bed.address;
        let send = async |key: &str| {
            let key = format!("Bearer {key}");
            let headers = [("authorization", key.as_str())];
            send_request(address, Some("1"), "POST", "/once/x", &headers, "").await
        };
        let other_requests = join_all((0..CONNECTIONS).map(|_| send("portal-1")));
        let waiting_request = async {
            while bed.arrivals("search") < CONNECTIONS {
                sleep(Duration::from_millis(5)).await;
            }
            let key_removal = async {
                // Gives the gateway time to receive the request. If it received the request after the new tenants,
                // the test would not show that the key is checked again.
                sleep(Duration::from_millis(200)).await;
                bed.tenants.remove(0);
                bed.apply_routes(3, routes()).await;
            };
            let (response, ()) = tokio::join!(send("desk-1"), key_removal);
            response
        };
        let (other_responses, response) = tokio::join!(other_requests, waiting_request);
        assert!(
            other_responses
                .iter()
                .all(|response| response.status == StatusCode::OK)
        );
        assert_eq!(response.status, StatusCode::UNAUTHORIZED);
        // The request waited for a connection, or it would have been refused long before one was free.
        assert!(
            response.elapsed > service_time / 2,
            "{:?}",
            response.elapsed
        );
        assert_eq!(bed.arrivals("search"), CONNECTIONS);
    });
}

#[test]
fn a_key_that_is_removed_between_two_attempts_ends_the_request() {
    run_test(async {
        let mut bed = TestBed::new().await;
        let crash_delay = Duration::from_millis(500);
        for service in ["kept", "search"] {
            bed.add_servers(service, &[Behaviour::Silent, Behaviour::Silent])
                .await;
            for server in &bed.servers[service] {
                server.crash_on(&format!("/{service}/x"), crash_delay);
            }
        }
        bed.tenants = vec![tenant("desk", &["desk-1"])];
        // The long latency target prevents hedges.
        let route = |prefix, service| Route {
            aim_ms: 3_000,
            ..service_route(prefix, RequestKind::Safe, service)
        };
        let routes = || vec![route("/kept/", "kept"), route("/search/", "search")];
        bed.apply_routes(1, routes()).await;
        let address = bed.address;
        let send = async |id: &str, path: &str| {
            let key = [("authorization", "Bearer desk-1")];
            send_request(address, Some(id), "GET", path, &key, "").await
        };
        send("1", "/kept/x").await;
        assert_eq!(
            bed.arrivals("kept"),
            2,
            "a second attempt is made while the key stays"
        );
        let key_removal = async {
            while bed.arrivals("search") == 0 {
                sleep(Duration::from_millis(5)).await;
            }
            bed.tenants = vec![tenant("desk", &["desk-2"])];
            bed.apply_routes(2, routes()).await;
        };
        let (response, ()) = tokio::join!(send("2", "/search/x"), key_removal);
        // The request may have run, so its outcome is reported as unknown.
        assert_eq!(response.status, StatusCode::BAD_GATEWAY);
        assert_eq!(bed.arrivals("search"), 1);
    });
}

/// Keys that no log line may contain.
const SECRETS: [&str; 2] = ["kept-key-7f3a", "lost-key-91c2"];

/// A logger that collects the lines that contain a secret and counts the lines of failed requests.
struct SecretDetector {
    found: Mutex<(Vec<String>, usize)>,
}

static DETECTOR: SecretDetector = SecretDetector {
    found: Mutex::new((Vec::new(), 0)),
};
static LOGGER_INSTALLED: Once = Once::new();

struct FormattedLine(String);

impl<'kvs> VisitSource<'kvs> for FormattedLine {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0 += &format!(" {key}={value}");
        Ok(())
    }
}

impl log::Log for SecretDetector {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut line = FormattedLine(record.args().to_string());
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
fn no_log_line_metric_or_response_contains_a_key() {
    LOGGER_INSTALLED.call_once(|| {
        log::set_logger(&DETECTOR).expect("the only logger");
        log::set_max_level(log::LevelFilter::Trace);
    });
    run_test(async {
        let mut bed = TestBed::new().await;
        bed.add_servers("search", &[Behaviour::answer("ok"), Behaviour::Reset])
            .await;
        bed.add_servers("broken", &[Behaviour::Reset]).await;
        bed.tenants = vec![tenant("desk", &[SECRETS[0]])];
        let broken = service_route("/broken/", RequestKind::Safe, "broken");
        let all_routes = || [routes(), vec![broken.clone()]].concat();
        bed.apply_routes(1, all_routes()).await;
        let mut responses = Vec::new();
        for key in SECRETS {
            for path in ["/q/x", "/once/x", "/broken/x", "/none/x"] {
                for value in [
                    format!("Bearer {key}"),
                    format!("Basic {key}"),
                    key.to_owned(),
                ] {
                    let headers = [("authorization", value.as_str())];
                    let response = bed.send("1", "POST", path, &headers, "").await;
                    responses.push(format!("{:?} {:?}", response.headers, response.body));
                }
            }
        }
        bed.tenants = vec![tenant("desk", &["another"])];
        bed.apply_routes(2, all_routes()).await;
        let headers = [("authorization", "Bearer kept-key-7f3a")];
        let response = bed.send("2", "GET", "/q/x", &headers, "").await;
        assert_eq!(response.status, StatusCode::UNAUTHORIZED);
        responses.push(format!("{:?} {:?}", response.headers, response.body));
        let metrics_text = bed
            .gateway
            .as_ref()
            .expect("a gateway")
            .metrics()
            .encode_metrics();
        assert!(
            metrics_text.contains("sablehaven_gateway_unknown_key_requests_total 16"),
            "{metrics_text}"
        );
        for secret in SECRETS {
            assert!(!metrics_text.contains(secret));
            assert!(responses.iter().all(|response| !response.contains(secret)));
        }
    });
    let (found, failed) = &*DETECTOR
        .found
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    assert_eq!(found, &Vec::<String>::new());
    // The request with the known key that no server answered has logged at least one such line.
    assert!(*failed > 0, "log lines of failed requests were searched");
}
