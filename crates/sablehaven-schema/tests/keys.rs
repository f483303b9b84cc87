//! The mapping from keys to shards, fixed by test vectors, and its properties.

mod support;

use proptest::{prelude::*, test_runner::RngSeed};
use sablehaven_schema::{KeyError, shard_for_key, shard_of_hash};
use sablehaven_types::ShardId;
use serde_json::{Value, json};
use support::{message, method, shop};

/// The shards that a request maps to, for several shard counts.
fn shards(method_name: &str, request: Value) -> Vec<u32> {
    let method = method(&shop(), method_name);
    let request = message(&method.input, request);
    [1, 2, 3, 16, 55, 1_024]
        .into_iter()
        .map(|count| {
            shard_for_key(&method, &request, count)
                .expect("the request has a key")
                .0
        })
        .collect()
}

/// If a change makes this test fail, the change must not be made: existing indexes are partitioned by this
/// mapping.
#[test]
fn the_mapping_from_keys_to_shards_never_changes() {
    let cases = [
        ("GetByText", json!({ "text": "a" }), [0, 1, 2, 14, 49, 923]),
        (
            "GetByText",
            json!({ "text": "depot-7" }),
            [0, 0, 1, 6, 21, 405],
        ),
        (
            "GetByText",
            json!({ "text": "Búsqueda" }),
            [0, 0, 1, 7, 24, 463],
        ),
        (
            "GetByNumber",
            json!({ "number": "1" }),
            [0, 0, 0, 2, 10, 190],
        ),
        (
            "GetByNumber",
            json!({ "number": "-1" }),
            [0, 0, 0, 5, 17, 324],
        ),
        ("GetBySmall", json!({ "small": 1 }), [0, 0, 0, 2, 10, 190]),
        (
            "TakeByBytes",
            json!({ "blob": "YQ==" }),
            [0, 1, 2, 14, 49, 923],
        ),
    ];
    for (name, request, expected) in cases {
        assert_eq!(shards(name, request.clone()), expected, "{name} {request}");
    }
}

#[test]
fn equal_keys_of_different_integer_or_text_types_map_to_the_same_shard() {
    let number = shards("GetByNumber", json!({ "number": "1" }));
    assert_eq!(number, shards("GetBySmall", json!({ "small": 1 })));
    let text = shards("GetByText", json!({ "text": "a" }));
    assert_eq!(text, shards("TakeByBytes", json!({ "blob": "YQ==" })));
}

#[test]
fn a_query_and_an_empty_partition_map_give_errors() {
    let schema = shop();
    let search = method(&schema, "Search");
    let request = message(&search.input, json!({}));
    let error = shard_for_key(&search, &request, 4);
    assert_eq!(error, Err(KeyError::NoKey("/shop.Shop/Search".to_owned())));
    let get = method(&schema, "GetByText");
    let request = message(&get.input, json!({ "text": "a" }));
    assert_eq!(shard_for_key(&get, &request, 0), Err(KeyError::NoShards));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_shard_number_is_below_the_shard_count(hash: u64, count in 1..=u32::MAX) {
        prop_assert!(shard_of_hash(hash, count).0 < count);
    }

    #[test]
    fn doubling_the_shard_count_splits_each_shard_in_two(hash: u64, count in 1..=u32::MAX / 2) {
        let ShardId(before) = shard_of_hash(hash, count);
        let ShardId(after) = shard_of_hash(hash, 2 * count);
        prop_assert_eq!(after / 2, before);
    }
}
