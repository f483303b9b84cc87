//! Arbitrary schemas and bodies give a result or a descriptive error, never a panic, a stack overflow or
//! excessive run time.

mod support;

use proptest::{prelude::*, test_runner::RngSeed};
use sablehaven_schema::{
    DeploymentSchema, MethodSchema, decode_json, decode_protobuf, decode_reply, encode_json,
    encode_protobuf, generate_client,
};
use support::{SHOP, method, shop};

const CASES: u32 = 256;

fn search() -> MethodSchema {
    method(&shop(), "Search")
}

/// Parses a schema. Checks that a client can be generated for a valid one, and that the problems of an
/// invalid one have a message and a position within the text.
fn check_parse(text: &str) {
    match DeploymentSchema::parse("schema.proto", text) {
        Ok(schema) => {
            generate_client(&schema).expect("a valid schema has a client");
        }
        Err(problems) => {
            assert!(!problems.is_empty());
            let max_line = text.lines().count() + 1;
            for problem in problems {
                assert!((1..=max_line).contains(&problem.line), "{problem}");
                assert!(
                    problem.column >= 1 && !problem.message.is_empty(),
                    "{problem}"
                );
            }
        }
    }
}

/// Tokens of the schema language, so that random texts pass the first stages of the parser.
fn token() -> impl Strategy<Value = String> {
    let tokens: Vec<String> = SHOP
        .split_inclusive(|character: char| !character.is_alphanumeric())
        .map(str::to_owned)
        .chain(
            [
                "/*", "*/", "//", "\n", "'", "\\", "\u{0}", "{", "<", "[", "é",
            ]
            .map(str::to_owned),
        )
        .collect();
    proptest::sample::select(tokens)
}

/// The valid schema with a random range replaced by random tokens.
fn mutated_schema() -> impl Strategy<Value = String> {
    let start = 0..SHOP.len();
    (start, 0..40usize, proptest::collection::vec(token(), 0..6)).prop_map(
        |(start, length, tokens)| {
            let end = (start + length).min(SHOP.len());
            format!("{}{}{}", &SHOP[..start], tokens.concat(), &SHOP[end..])
        },
    )
}

/// Checks that a schema is rejected with problems whose messages are short.
fn check_rejected(text: &str) {
    let problems =
        DeploymentSchema::parse("schema.proto", text).expect_err("the schema is invalid");
    assert!(problems.iter().all(|problem| problem.message.len() < 1_000));
}

#[test]
fn deeply_nested_and_oversized_texts_are_rejected() {
    let prefix = "syntax = \"proto3\"; package p; option (a) = ";
    for repeated in [
        "{a{",
        "{a:[",
        "{a<",
        "message M {",
        "(",
        "((",
        "[",
        "/*",
        "oneof o {",
        "group G = 1 {",
    ] {
        check_rejected(&format!("{prefix}{}", repeated.repeat(20_000)));
        check_rejected(&repeated.repeat(20_000));
    }
    for repeated in [
        "-",
        ".a",
        "a.",
        "'x' ",
        ";option x = 1",
        "int32 a = 1;",
        "\"",
        "0x",
        "+",
        "[[\n",
    ] {
        check_rejected(&format!("{prefix}{}", repeated.repeat(15_000)));
    }
    check_rejected(&" ".repeat(300_000));
}

/// A closing bracket in a comment or string, or of another kind, closes nothing in the parser. If the
/// nesting check counted it, the check would underestimate the depth and the parser could overflow
/// its stack.
#[test]
fn closing_brackets_that_the_parser_ignores_do_not_hide_deep_nesting() {
    for pattern in [
        "message M { // }\n",
        "message M { /* } */\n",
        "message M { option a = '}';\n",
        "message M { option a = \"\\\"}\";\n",
        "message M { option a = '}\n",
        "message M { /* /* */ } */\n",
        "message M { # }\n",
        "message M { > ) ]\n",
    ] {
        check_rejected(&pattern.repeat(8_000));
    }
}

#[test]
fn every_problem_of_a_large_schema_is_reported() {
    let header = "syntax = \"proto3\"; package p;\nmessage A {}\nservice S {\n";
    let methods: String = (0..1_000)
        .map(|n| format!("rpc M{n}(A) returns (A);\n"))
        .collect();
    let problems = DeploymentSchema::parse("schema.proto", &format!("{header}{methods}}}"));
    assert_eq!(
        problems.expect_err("the methods set no options").len(),
        1_001
    );
}

/// Each exact position costs a search through the option, so only the first 100 problems get one.
#[test]
fn further_problems_of_an_option_are_reported_at_its_statement() {
    let regions: String = (0..4_000)
        .map(|n| format!("  regions: {{ name: \"A{n}\" zones: [\"a{n}\"] }}\n"))
        .collect();
    let header = "syntax = \"proto3\"; package p; import \"sablehaven/options.proto\";\n";
    let text = format!("{header}option (sablehaven.deployment) = {{\n{regions}}};");
    let problems = DeploymentSchema::parse("schema.proto", &text)
        .expect_err("region names must not contain capital letters");
    let at_statement = problems.iter().filter(|problem| problem.line == 2).count();
    let exact = problems.iter().filter(|problem| problem.line > 2).count();
    assert_eq!((at_statement, exact), (3_900, 100));
}

/// The linker's search for positions takes time proportional to the number of problems times the size of
/// the text, so only the first of many problems is reported.
#[test]
fn only_the_first_of_many_linker_problems_is_reported() {
    let fields: String = (1..=10_000)
        .map(|n| format!("Missing f{n} = {n};\n"))
        .collect();
    let text = format!("syntax = \"proto3\"; package p;\nmessage A {{\n{fields}}}");
    let problems =
        DeploymentSchema::parse("schema.proto", &text).expect_err("the message type is undefined");
    let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
    let expected = "schema.proto:3:1: name 'Missing' is not defined (and 9999 more problems)";
    assert_eq!(lines, [expected]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        cases: CASES,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_text_parses_or_is_rejected(text in ".{0,200}") {
        check_parse(&text);
    }

    #[test]
    fn any_token_sequence_parses_or_is_rejected(tokens in proptest::collection::vec(token(), 0..80)) {
        check_parse(&tokens.concat());
    }

    #[test]
    fn a_mutated_schema_parses_or_is_rejected(text in mutated_schema()) {
        check_parse(&text);
    }

    #[test]
    fn any_bytes_decode_or_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let search = search();
        if let Ok(message) = decode_protobuf(&search.input, &bytes) {
            let decoded_again = decode_protobuf(&search.input, &encode_protobuf(&message));
            prop_assert!(decoded_again.is_ok());
        }
        let _ = decode_reply(&search.output, &bytes);
        let _ = decode_json(&search.input, &bytes);
    }

    #[test]
    fn a_mutated_protobuf_body_decodes_or_is_rejected(
        index in 0..40usize,
        byte: u8,
        truncation in 0..60usize,
    ) {
        let search = search();
        let json = br#"{"text":"pasta","lines":[{"product":"oil","sizes":[1,2]}],"byName":{"a":{"quantity":4}}}"#;
        let message = decode_json(&search.input, json).expect("the body decodes");
        let mut bytes = encode_protobuf(&message);
        let index = index % bytes.len();
        bytes[index] = byte;
        bytes.truncate(bytes.len().saturating_sub(truncation % 4));
        if let Err(error) = decode_protobuf(&search.input, &bytes) {
            prop_assert!(!error.path.is_empty() && !error.message.is_empty());
        }
    }

    #[test]
    fn any_json_decodes_or_is_rejected(text in r#"[\[\]{}":, a-z0-9.eE+-]{0,120}"#) {
        let search = search();
        if let Ok(message) = decode_json(&search.input, text.as_bytes()) {
            prop_assert!(encode_json(&message).is_ok());
        }
    }
}
