//! Schemas and bodies of any content: a clear error or a result, never a panic, never a blow-up.

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

/// Loads a schema; what is accepted must also have a client.
fn load(text: &str) {
    match DeploymentSchema::parse("schema.proto", text) {
        Ok(schema) => {
            generate_client(&schema).expect("a valid schema has a client");
        }
        Err(problems) => {
            assert!(!problems.is_empty());
            let lines = text.lines().count() + 1;
            for problem in problems {
                assert!((1..=lines).contains(&problem.line), "{problem}");
                assert!(
                    problem.column >= 1 && !problem.message.is_empty(),
                    "{problem}"
                );
            }
        }
    }
}

/// Words and signs of the schema language, so that random texts get far into the parser.
fn token() -> impl Strategy<Value = String> {
    let words: Vec<String> = SHOP
        .split_inclusive(|letter: char| !letter.is_alphanumeric())
        .map(str::to_owned)
        .chain(
            [
                "/*", "*/", "//", "\n", "'", "\\", "\u{0}", "{", "<", "[", "é",
            ]
            .map(str::to_owned),
        )
        .collect();
    proptest::sample::select(words)
}

/// The valid schema with one part replaced by random tokens.
fn mutated_schema() -> impl Strategy<Value = String> {
    let place = 0..SHOP.len();
    (place, 0..40usize, proptest::collection::vec(token(), 0..6)).prop_map(
        |(start, length, tokens)| {
            let end = (start + length).min(SHOP.len());
            format!("{}{}{}", &SHOP[..start], tokens.concat(), &SHOP[end..])
        },
    )
}

fn refused_quickly(text: &str) {
    let problems = DeploymentSchema::parse("schema.proto", text).expect_err("it is not valid");
    assert!(problems.iter().all(|problem| problem.message.len() < 1_000));
}

#[test]
fn texts_that_nest_or_grow_without_end_are_refused() {
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
        refused_quickly(&format!("{prefix}{}", repeated.repeat(20_000)));
        refused_quickly(&repeated.repeat(20_000));
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
        refused_quickly(&format!("{prefix}{}", repeated.repeat(15_000)));
    }
    refused_quickly(&" ".repeat(300_000));
}

#[test]
fn brackets_hidden_from_a_count_of_brackets_do_not_overflow_the_stack() {
    for hiding in [
        "message M { // }\n",
        "message M { /* } */\n",
        "message M { option a = '}';\n",
        "message M { option a = \"\\\"}\";\n",
        "message M { option a = '}\n",
        "message M { /* /* */ } */\n",
        "message M { # }\n",
        "message M { > ) ]\n",
    ] {
        refused_quickly(&hiding.repeat(8_000));
    }
}

#[test]
fn a_large_schema_with_many_mistakes_is_refused_with_all_of_them() {
    let header = "syntax = \"proto3\"; package p;\nmessage A {}\nservice S {\n";
    let methods: String = (0..1_000)
        .map(|n| format!("rpc M{n}(A) returns (A);\n"))
        .collect();
    let problems = DeploymentSchema::parse("schema.proto", &format!("{header}{methods}}}"));
    assert_eq!(problems.expect_err("no options").len(), 1_001);
}

/// Each exact place costs a search through the option, so only the first problems get one.
#[test]
fn very_many_problems_of_one_option_are_placed_at_its_statement() {
    let regions: String = (0..4_000)
        .map(|n| format!("  regions: {{ name: \"A{n}\" zones: [\"a{n}\"] }}\n"))
        .collect();
    let header = "syntax = \"proto3\"; package p; import \"sablehaven/options.proto\";\n";
    let text = format!("{header}option (sablehaven.deployment) = {{\n{regions}}};");
    let problems = DeploymentSchema::parse("schema.proto", &text).expect_err("capital letters");
    let at_statement = problems.iter().filter(|problem| problem.line == 2).count();
    let exact = problems.iter().filter(|problem| problem.line > 2).count();
    assert_eq!((at_statement, exact), (3_900, 100));
}

/// The linker's time grows with the product of problems and size, so most of them are not placed.
#[test]
fn of_very_many_linker_problems_the_first_is_placed() {
    let fields: String = (1..=10_000)
        .map(|n| format!("Missing f{n} = {n};\n"))
        .collect();
    let text = format!("syntax = \"proto3\"; package p;\nmessage A {{\n{fields}}}");
    let problems = DeploymentSchema::parse("schema.proto", &text).expect_err("undefined names");
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
    fn any_text_is_a_schema_or_refused(text in ".{0,200}") {
        load(&text);
    }

    #[test]
    fn any_tokens_are_a_schema_or_refused(tokens in proptest::collection::vec(token(), 0..80)) {
        load(&tokens.concat());
    }

    #[test]
    fn a_mutated_schema_is_a_schema_or_refused(text in mutated_schema()) {
        load(&text);
    }

    #[test]
    fn any_bytes_are_a_body_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let search = search();
        if let Ok(message) = decode_protobuf(&search.input, &bytes) {
            let again = decode_protobuf(&search.input, &encode_protobuf(&message));
            prop_assert!(again.is_ok());
        }
        let _ = decode_reply(&search.output, &bytes);
        let _ = decode_json(&search.input, &bytes);
    }

    #[test]
    fn a_mutated_protobuf_body_is_a_body_or_refused(
        place in 0..40usize,
        byte: u8,
        cut in 0..60usize,
    ) {
        let search = search();
        let json = br#"{"text":"pasta","lines":[{"product":"oil","sizes":[1,2]}],"byName":{"a":{"quantity":4}}}"#;
        let message = decode_json(&search.input, json).expect("it fits");
        let mut bytes = encode_protobuf(&message);
        let place = place % bytes.len();
        bytes[place] = byte;
        bytes.truncate(bytes.len().saturating_sub(cut % 4));
        if let Err(error) = decode_protobuf(&search.input, &bytes) {
            prop_assert!(!error.path.is_empty() && !error.message.is_empty());
        }
    }

    #[test]
    fn any_json_is_a_body_or_refused(text in r#"[\[\]{}":, a-z0-9.eE+-]{0,120}"#) {
        let search = search();
        if let Ok(message) = decode_json(&search.input, text.as_bytes()) {
            prop_assert!(encode_json(&message).is_ok());
        }
    }
}
