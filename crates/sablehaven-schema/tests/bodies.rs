//! Valid bodies decode to the same message from JSON and protobuf; the errors for invalid bodies name the
//! field.

mod support;

use prost_reflect::DynamicMessage;
use sablehaven_schema::{
    BodyLimits, decode_json, decode_protobuf, decode_reply, encode_json, encode_protobuf,
};
use serde_json::json;
use support::{message, method, shop};

/// The key of field `tree` of the search request; length-delimited.
const TREE_KEY: u8 = 0x2a;
/// The key of field `children` of a tree; length-delimited.
const CHILDREN_KEY: u8 = 0x0a;

/// The error for an invalid search request in JSON.
fn json_error(json: &str) -> String {
    let search = method(&shop(), "Search");
    let result = decode_json(&search.input, json.as_bytes());
    result.expect_err("the body is invalid").to_string()
}

/// The error for an invalid search request in protobuf.
fn protobuf_error(bytes: &[u8]) -> String {
    let search = method(&shop(), "Search");
    let result = decode_protobuf(&search.input, bytes);
    result.expect_err("the body is invalid").to_string()
}

#[test]
fn json_and_protobuf_bodies_decode_to_the_same_message() {
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
    let from_protobuf = decode_protobuf(&search.input, &bytes).expect("the body decodes");
    let encoded = encode_json(&from_protobuf).expect("the message has a JSON form");
    assert_eq!(encode_json(&from_json), Ok(encoded.clone()));
    assert_eq!(
        encode_json(&message(&search.input, encoded.clone())),
        Ok(encoded)
    );
}

#[test]
fn json_replies_contain_fields_with_default_values() {
    let item = method(&shop(), "GetByText").output;
    let encoded = encode_json(&DynamicMessage::new(item)).expect("the message has a JSON form");
    assert_eq!(encoded, json!({ "id": "", "score": 0.0, "rank": "0" }));
}

#[test]
fn the_error_for_an_invalid_json_body_names_the_field() {
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
    for (json, expected) in cases {
        let error = json_error(json);
        assert!(error.contains(expected), "{json}: {error}");
    }
}

#[test]
fn the_error_for_an_invalid_protobuf_body_names_the_field() {
    let cases: [(&[u8], &str); 12] = [
        (b"\x08\x01", "field 'text'"),     // a number in a string field
        (b"\x0a\x01\xff", "field 'text'"), // invalid UTF-8
        (b"\x0a\x05ab", "field 'text'"),   // truncated
        (b"\x12\x01a", "field 'limit'"),   // a string in a numeric field
        (
            b"\x1a\x02\x10\x01\x1a\x02\x08\x01",
            "field 'lines[1].product'",
        ),
        (b"\x1a\x03\x1a\x01\xff", "field 'lines[0].sizes[0]'"), // a truncated packed number
        (b"\x22\x06\x0a\x01a\x12\x01\x08", "field 'by_name[0].value"),
        (
            b"\x2a\x04\x0a\x02\x08\x01",
            "field 'tree.children[0].children[0]'",
        ),
        (b"\x78\x01", "field '15'"),                  // unknown field
        (b"\x1a\x02\x78\x01", "field 'lines[0].15'"), // unknown field in a nested message
        (b"\x78", "field '15'"),                      // truncated unknown field
        (b"\xff", "field '(body)'"),
    ];
    for (bytes, expected) in cases {
        let error = protobuf_error(bytes);
        assert!(error.contains(expected), "{bytes:?}: {error}");
    }
}

#[test]
fn a_reply_may_contain_unknown_fields() {
    let item = method(&shop(), "GetByText").output;
    assert!(decode_protobuf(&item, b"\x78\x01").is_err());
    assert!(decode_reply(&item, b"\x78\x01").is_ok());
    assert!(decode_reply(&item, b"\x08\x01").is_err());
}

#[test]
fn bodies_over_the_size_limit_are_rejected() {
    let too_long = format!(
        r#"{{"text": "{}"}}"#,
        "a".repeat(BodyLimits::REQUEST.max_bytes)
    );
    assert!(json_error(&too_long).contains("bytes"));
    let long_reply = vec![0; BodyLimits::REPLY.max_bytes + 1];
    let search = method(&shop(), "Search");
    let error = decode_reply(&search.output, &long_reply).expect_err("the reply is too long");
    assert!(error.to_string().contains("bytes"));
}

/// A search request in JSON with messages nested `depth` deep, including the request itself.
fn nested_json(depth: usize) -> String {
    let open = r#"{"children":["#.repeat(depth - 1);
    format!(r#"{{"tree":{open}{}}}"#, "]}".repeat(depth - 1))
}

/// The same request in protobuf.
///
/// Encoded from the innermost message outwards, because dropping so deeply nested a message would
/// overflow the stack.
fn nested_protobuf(depth: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    for _ in 2..depth {
        bytes = encode_delimited(CHILDREN_KEY, &bytes);
    }
    encode_delimited(TREE_KEY, &bytes)
}

/// Encodes a length-delimited field.
fn encode_delimited(key: u8, content: &[u8]) -> Vec<u8> {
    let mut bytes = vec![key];
    prost::encoding::encode_varint(content.len() as u64, &mut bytes);
    bytes.extend_from_slice(content);
    bytes
}

#[test]
fn deeply_nested_bodies_are_rejected_without_a_stack_overflow() {
    let search = method(&shop(), "Search");
    let limit = BodyLimits::REQUEST.max_depth;
    assert!(decode_protobuf(&search.input, &nested_protobuf(limit)).is_ok());
    for depth in [limit + 1, 90, 1_000, 5_000] {
        let error = protobuf_error(&nested_protobuf(depth));
        assert!(error.starts_with("field 'tree.children[0]"), "{error}");
    }
    assert!(decode_json(&search.input, nested_json(16).as_bytes()).is_ok());
    for depth in [17, 1_000, 15_000] {
        assert!(json_error(&nested_json(depth)).contains("nested"));
    }
}

#[test]
fn requests_without_a_key_or_with_too_high_a_limit_are_rejected() {
    let schema = shop();
    for (name, key) in [
        ("GetByText", "text"),
        ("GetBySmall", "small"),
        ("TakeByBytes", "blob"),
    ] {
        let method = method(&schema, name);
        let error = method.check_request(&DynamicMessage::new(method.input.clone()));
        assert_eq!(error.expect_err("the key is missing").path, key);
    }
    let small = method(&schema, "GetBySmall");
    let zero = message(&small.input, json!({ "small": 0 }));
    assert_eq!(small.check_request(&zero), Ok(()));
    let search = method(&schema, "Search");
    let at_maximum = message(&search.input, json!({ "limit": 10 }));
    assert_eq!(search.check_request(&at_maximum), Ok(()));
    let above_maximum = message(&search.input, json!({ "limit": 11 }));
    let error = search
        .check_request(&above_maximum)
        .expect_err("the limit is too high");
    assert_eq!(error.path, "limit");
}
