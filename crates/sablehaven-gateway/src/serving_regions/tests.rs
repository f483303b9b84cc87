//! Tests of where a request may be served.

use sablehaven_types::AllowedRegions;

use super::ServingRegions;

fn allowed(regions: &[&str]) -> AllowedRegions {
    regions.iter().map(|region| (*region).into()).collect()
}

/// The regions of three that serve a request whose route and tenant are bound so, and whether a place without a known
/// region does.
fn serving(route: &[&str], tenant: &[&str]) -> (Vec<&'static str>, bool) {
    let regions = ServingRegions::new(&allowed(route)).intersect(&allowed(tenant));
    let named = ["north", "south", "west"].into_iter();
    let serving = named.filter(|region| regions.admit(Some(&(*region).into())));
    (serving.collect(), regions.admit(None))
}

#[test]
fn without_bounds_every_region_serves() {
    assert_eq!(serving(&[], &[]), (vec!["north", "south", "west"], true));
}

#[test]
fn one_bound_alone_holds() {
    assert_eq!(serving(&["north"], &[]), (vec!["north"], false));
    assert_eq!(
        serving(&[], &["south", "west"]),
        (vec!["south", "west"], false)
    );
}

#[test]
fn two_bounds_leave_what_they_have_in_common() {
    let common = serving(&["north", "south"], &["south", "west"]);
    assert_eq!(common, (vec!["south"], false));
}

#[test]
fn bounds_with_nothing_in_common_leave_no_region() {
    assert_eq!(serving(&["north"], &["south"]), (vec![], false));
}
