//! Bodies that fit are read alike from JSON and protobuf; others are refused with the field named.

mod support;

use prost_reflect::DynamicMessage;
use sablehaven_schema::{
    BodyLimits, decode_json, decode_protobuf, decode_reply, encode_json, encode_protobuf,
};
use serde_json::json;
use support::{message, method, shop};

/// Field `tree` of the search's request and field `children` of a tree, both length-delimited.
const TREE_KEY: u8 = 0x2a;
const CHILDREN_KEY: u8 = 0x0a;

fn refused_json(json: &str) -> String {
    let search = method(&shop(), "Search");
    let refused = decode_json(&search.input, json.as_bytes());
    refused.expect_err("the body does not fit").to_string()
}

fn refused_protobuf(bytes: &[u8]) -> String {
    let search = method(&shop(), "Search");
    let refused = decode_protobuf(&search.input, bytes);
    refused.expect_err("the body does not fit").to_string()
}

#[test]
fn json_and_protobuf_bodies_are_the_same_message() {
    let search = method(&shop(), "Search");
    let json = json!({
        "text": "pasta",
        "limit": 5,
        "lines": [{ "product": "oil", "quantity": -3, "sizes": [1, 2] }],
        "byName": { "a": { "product": "flour" } },
        "colour": "COLOUR_RED",
    });
    let from_json = message(&search.input, json);
    let bytes = encode_protobuf(&from_json);
    let from_protobuf = decode_protobuf(&search.input, &bytes).expect("it fits");
    let written = encode_json(&from_protobuf).expect("it has a JSON form");
    assert_eq!(encode_json(&from_json), Ok(written.clone()));
    assert_eq!(
        encode_json(&message(&search.input, written.clone())),
        Ok(written)
    );
}

#[test]
fn json_replies_show_fields_with_their_default_value() {
    let item = method(&shop(), "GetByText").output;
    let written = encode_json(&DynamicMessage::new(item)).expect("it has a JSON form");
    assert_eq!(written, json!({ "id": "", "score": 0.0, "rank": "0" }));
}

#[test]
fn a_json_body_that_does_not_fit_is_refused_with_the_field_named() {
    let cases = [
        (r#"{"limit": "many"}"#, "field 'limit'"),
        (r#"{"limit": -1}"#, "field 'limit'"),
        (
            r#"{"lines": [{}, {"quantity": 1.5}]}"#,
            "field 'lines[1].quantity'",
        ),
        (
            r#"{"lines": [{"sizes": [1, null]}]}"#,
            "field 'lines[0].sizes[1]'",
        ),
        (
            r#"{"byName": {"a": {"product": 5}}}"#,
            "field 'byName.a.product'",
        ),
        (r#"{"colour": "COLOUR_BLUE"}"#, "field 'colour'"),
        (r#"{"lines": {}}"#, "field 'lines'"),
        (r#"{"lines": [{"color": 1}]}"#, "'color'"),
        (r#"{"text": "a", "text": "b"}"#, "'text'"),
        (r#"["text"]"#, "field '(body)'"),
        (r#"{"text": "a"} {}"#, "field '(body)'"),
        ("", "field '(body)'"),
        ("{", "field '(body)'"),
    ];
    for (json, named) in cases {
        let error = refused_json(json);
        assert!(error.contains(named), "{json}: {error}");
    }
}

#[test]
fn a_protobuf_body_that_does_not_fit_is_refused_with_the_field_named() {
    let cases: [(&[u8], &str); 12] = [
        (b"\x08\x01", "field 'text'"),     // a number for text
        (b"\x0a\x01\xff", "field 'text'"), // not UTF-8
        (b"\x0a\x05ab", "field 'text'"),   // cut short
        (b"\x12\x01a", "field 'limit'"),   // text for a number
        (
            b"\x1a\x02\x10\x01\x1a\x02\x08\x01",
            "field 'lines[1].product'",
        ),
        (b"\x1a\x03\x1a\x01\xff", "field 'lines[0].sizes[0]'"), // a packed number cut short
        (b"\x22\x06\x0a\x01a\x12\x01\x08", "field 'by_name[0].value"),
        (
            b"\x2a\x04\x0a\x02\x08\x01",
            "field 'tree.children[0].children[0]'",
        ),
        (b"\x78\x01", "field '15'"),                  // no such field
        (b"\x1a\x02\x78\x01", "field 'lines[0].15'"), // no such field within
        (b"\x78", "field '15'"),                      // no such field, cut short
        (b"\xff", "field '(body)'"),
    ];
    for (bytes, named) in cases {
        let error = refused_protobuf(bytes);
        assert!(error.contains(named), "{bytes:?}: {error}");
    }
}

#[test]
fn a_reply_may_have_fields_that_the_schema_does_not_know() {
    let item = method(&shop(), "GetByText").output;
    assert!(decode_protobuf(&item, b"\x78\x01").is_err());
    assert!(decode_reply(&item, b"\x78\x01").is_ok());
    assert!(decode_reply(&item, b"\x08\x01").is_err());
}

#[test]
fn bodies_over_a_limit_are_refused() {
    let too_long = format!(
        r#"{{"text": "{}"}}"#,
        "a".repeat(BodyLimits::REQUEST.max_bytes)
    );
    assert!(refused_json(&too_long).contains("bytes"));
    let long_reply = vec![0; BodyLimits::REPLY.max_bytes + 1];
    let search = method(&shop(), "Search");
    let error = decode_reply(&search.output, &long_reply).expect_err("too long");
    assert!(error.to_string().contains("bytes"));
}

/// A request whose tree is `depth` messages deep, the request itself among them.
fn nested_json(depth: usize) -> String {
    let open = r#"{"children":["#.repeat(depth - 1);
    format!(r#"{{"tree":{open}{}}}"#, "]}".repeat(depth - 1))
}

/// The same as protobuf, written from the inside: a message as deep could not be dropped.
fn nested_protobuf(depth: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    for _ in 2..depth {
        bytes = delimited(CHILDREN_KEY, &bytes);
    }
    delimited(TREE_KEY, &bytes)
}

fn delimited(key: u8, content: &[u8]) -> Vec<u8> {
    let mut bytes = vec![key];
    prost::encoding::encode_varint(content.len() as u64, &mut bytes);
    bytes.extend_from_slice(content);
    bytes
}

#[test]
fn deep_bodies_are_refused_and_do_not_overflow_the_stack() {
    let search = method(&shop(), "Search");
    let limit = BodyLimits::REQUEST.max_depth;
    assert!(decode_protobuf(&search.input, &nested_protobuf(limit)).is_ok());
    for depth in [limit + 1, 90, 1_000, 5_000] {
        let error = refused_protobuf(&nested_protobuf(depth));
        assert!(error.starts_with("field 'tree.children[0]"), "{error}");
    }
    assert!(decode_json(&search.input, nested_json(16).as_bytes()).is_ok());
    for depth in [17, 1_000, 15_000] {
        assert!(refused_json(&nested_json(depth)).contains("nested"));
    }
}

#[test]
fn requests_without_a_key_or_with_too_high_a_limit_are_refused() {
    let schema = shop();
    for (name, key) in [
        ("GetByText", "text"),
        ("GetBySmall", "small"),
        ("TakeByBytes", "blob"),
    ] {
        let method = method(&schema, name);
        let error = method.check_request(&DynamicMessage::new(method.input.clone()));
        assert_eq!(error.expect_err("no key").path, key);
    }
    let small = method(&schema, "GetBySmall");
    let zero = message(&small.input, json!({ "small": 0 }));
    assert_eq!(small.check_request(&zero), Ok(()));
    let search = method(&schema, "Search");
    let within = message(&search.input, json!({ "limit": 10 }));
    assert_eq!(search.check_request(&within), Ok(()));
    let above = message(&search.input, json!({ "limit": 11 }));
    let error = search.check_request(&above).expect_err("too many");
    assert_eq!(error.path, "limit");
}
