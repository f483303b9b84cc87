//! Breaking schema changes are reported for methods in use; other changes are allowed.

mod support;

use std::collections::BTreeSet;

use sablehaven_schema::check_change;
use support::{SHOP, parse, shop};

/// Applies text replacements to the schema and returns the breaking changes.
fn breaking_changes(replacements: &[(&str, &str)]) -> Vec<String> {
    let mut text = SHOP.to_owned();
    for (from, to) in replacements {
        assert!(text.contains(from), "the schema has no '{from}'");
        text = text.replacen(from, to, 1);
    }
    let in_use = BTreeSet::from(["shop.Shop".into()]);
    let changes = check_change(&shop(), &parse(&text), &in_use);
    changes.iter().map(ToString::to_string).collect()
}

#[test]
fn additions_are_not_breaking() {
    let additions = [
        ("deadline_ms: 500", "deadline_ms: 900"),
        ("maximum_limit: 10", "maximum_limit: 20"),
        ("COLOUR_RED = 1;", "COLOUR_RED = 1; COLOUR_BLUE = 2;"),
        ("Tree tree = 5;", "Tree tree = 5; string colour_name = 9;"),
        ("message Tree {", "message Unused {} message Tree {"),
        ("zones: [\"north-a\", \"north-b\"]", "zones: [\"north-a\"]"),
    ];
    assert_eq!(breaking_changes(&additions), [""; 0]);
}

#[test]
fn each_breaking_change_is_reported_with_its_method() {
    let search = "method /shop.Shop/Search:";
    let by_text = "method /shop.Shop/GetByText:";
    let cases = [
        (("rpc GetByText", "rpc FindByText"), by_text, "is gone"),
        (
            ("lookup: { key: \"text\" }", "once: { key: \"text\" }"),
            by_text,
            "was a lookup, is a once",
        ),
        (
            ("lookup: { key: \"text\" }", "lookup: { key: \"number\" }"),
            by_text,
            "the key was 'text'",
        ),
        (
            (
                "concatenate: { field: \"sorted\"",
                "top_k: { default_limit: 5 field: \"sorted\"",
            ),
            search,
            "was concatenate, is top_k",
        ),
        (
            ("maximum_limit: 10", "maximum_limit: 9"),
            search,
            "the maximum_limit of 'best' was 10, is 9",
        ),
        (
            ("string text = 1;", "bytes text = 1;"),
            search,
            "field 'request.text' was string, is bytes",
        ),
        (
            ("string text = 1;", "string words = 1;"),
            search,
            "field 'request.text' is now called 'words'",
        ),
        (
            ("repeated uint32 sizes = 3;", "reserved 3;"),
            search,
            "field 'request.lines.sizes' is gone",
        ),
        (
            ("repeated uint32 sizes", "uint32 sizes"),
            search,
            "was repeated uint32, is uint32",
        ),
        (
            ("COLOUR_RED = 1;", "COLOUR_RED = 2;"),
            search,
            "value COLOUR_RED is gone or has another number",
        ),
        (
            ("map<string, Line>", "map<int32, Line>"),
            search,
            "field 'request.by_name.key' was string, is int32",
        ),
        (
            (
                "string product = 1;",
                "oneof either { string product = 1; }",
            ),
            search,
            "is string of oneof 'either'",
        ),
    ];
    for (replacement, method, reason) in cases {
        let found = breaking_changes(&[replacement]);
        let is_expected = |change: &String| change.starts_with(method) && change.contains(reason);
        assert!(found.iter().any(is_expected), "{replacement:?}: {found:#?}");
    }
}

#[test]
fn changes_of_a_service_that_is_not_in_use_are_not_breaking() {
    let other = parse(&SHOP.replace("service Shop", "service Store"));
    assert_eq!(check_change(&shop(), &other, &BTreeSet::new()), []);
    let in_use = BTreeSet::from(["shop.Shop".into()]);
    assert_eq!(check_change(&shop(), &other, &in_use).len(), 5);
}
