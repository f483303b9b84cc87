//! Tests of the regions in which a request may be served.

use sablehaven_types::AllowedRegions;

use super::ServingRegions;

fn allowed(regions: &[&str]) -> AllowedRegions {
    regions.iter().map(|region| (*region).into()).collect()
}

/// The regions, out of three, that may serve a request with these allowed regions of its route and tenant, and
/// whether a server in an unknown region may.
fn serving(route: &[&str], tenant: &[&str]) -> (Vec<&'static str>, bool) {
    let regions = ServingRegions::new(&allowed(route)).intersect(&allowed(tenant));
    let named = ["north", "south", "west"].into_iter();
    let serving = named.filter(|region| regions.admit(Some(&(*region).into())));
    (serving.collect(), regions.admit(None))
}

#[test]
fn without_restrictions_every_region_serves() {
    assert_eq!(serving(&[], &[]), (vec!["north", "south", "west"], true));
}

#[test]
fn a_single_restriction_applies() {
    assert_eq!(serving(&["north"], &[]), (vec!["north"], false));
    assert_eq!(
        serving(&[], &["south", "west"]),
        (vec!["south", "west"], false)
    );
}

#[test]
fn two_restrictions_leave_their_intersection() {
    let common = serving(&["north", "south"], &["south", "west"]);
    assert_eq!(common, (vec!["south"], false));
}

#[test]
fn disjoint_restrictions_leave_no_region() {
    assert_eq!(serving(&["north"], &["south"]), (vec![], false));
}
