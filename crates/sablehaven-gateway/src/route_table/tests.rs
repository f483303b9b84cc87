//! Tests of the lookup of routes and of their statistics.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use sablehaven_types::{
    AllowedRegions, CallerLimits, RequestKind, Route, RouteDocument, RouteTarget, RoutedService,
};

use super::RouteTable;

fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RequestKind::Safe,
        timeout_ms: 1_000,
        aim_ms: 100,
        priority: 1,
        max_attempts: 2,
        allowed_regions: AllowedRegions::default(),
        is_public: false,
        target: RouteTarget::Service("search".into()),
    }
}

fn table(version: u64, previous: Option<&RouteTable>) -> RouteTable {
    let routes = vec![
        route("all", "stock.example", "/"),
        route("short", "stock.example", "/a/"),
        route("long", "Stock.example", "/a/b/"),
    ];
    table_of(version, routes, previous)
}

fn table_of(version: u64, routes: Vec<Route>, previous: Option<&RouteTable>) -> RouteTable {
    let document = RouteDocument {
        version,
        routes,
        services: BTreeMap::from([("search".into(), RoutedService::default())]),
        limits: CallerLimits::default(),
        tenants: Vec::new(),
    };
    RouteTable::new(Arc::new(document), previous)
}

fn find_name(host: &str, path: &str) -> Option<String> {
    let table = table(1, None);
    let planned = table.find(host, path)?;
    Some(planned.route().name.clone())
}

#[test]
fn finds_the_longest_matching_prefix_of_the_host() {
    assert_eq!(
        find_name("stock.example", "/a/b/c").as_deref(),
        Some("long")
    );
    assert_eq!(
        find_name("STOCK.example:8080", "/a/x").as_deref(),
        Some("short")
    );
    assert_eq!(find_name("stock.example", "/a").as_deref(), Some("all"));
    assert_eq!(find_name("other.example", "/a/b/c"), None);
}

#[test]
fn statistics_of_a_route_survive_a_change_of_the_routes() {
    let first = table(1, None);
    let profile = &first.find("stock.example", "/a/").expect("a route").profile;
    for _ in 0..500 {
        profile.record_service_time(Duration::from_millis(40));
    }
    let second = table(2, Some(&first));
    let kept = second.find("stock.example", "/a/").expect("a route");
    assert!(kept.profile.typical_service_time() > Duration::from_millis(35));
    assert_eq!(kept.version, 2);
}

#[test]
fn one_slow_response_changes_the_typical_service_time_little() {
    let table = table(1, None);
    let profile = &table.find("stock.example", "/a/").expect("a route").profile;
    let before = profile.typical_service_time();
    profile.record_service_time(Duration::from_secs(10));
    assert!(profile.typical_service_time() < before.mul_f64(1.1));
}

#[test]
fn a_new_route_never_gets_the_kind_of_a_removed_one() {
    let kind = |table: &RouteTable, path: &str| {
        let planned = table.find("stock.example", path).expect("a route");
        planned.profile.kind()
    };
    let mut table = table_of(1, vec![route("r", "stock.example", "/0/")], None);
    let mut seen = vec![kind(&table, "/0/")];
    for version in 2..50 {
        let path = format!("/{version}/");
        let routes = vec![route("r", "stock.example", &path)];
        table = table_of(version, routes, Some(&table));
        let new = kind(&table, &path);
        assert!(!seen.contains(&new), "version {version}");
        seen.push(new);
    }
}
