//! Merged replies are correct and do not depend on the order in which the shards' replies arrive.

mod support;

use std::collections::BTreeMap;

use proptest::{prelude::*, test_runner::RngSeed};
use prost_reflect::DynamicMessage;
use sablehaven_schema::{MergeError, MethodSchema, encode_json, merge};
use sablehaven_types::ShardId;
use serde_json::{Value, json};
use support::{message, method, shop};

/// Merges search replies that are given in JSON, as pairs of shard and reply.
fn merge_json(
    search: &MethodSchema,
    replies: impl IntoIterator<Item = (u32, Value)>,
    limit: u32,
) -> Result<Value, MergeError> {
    let request = message(&search.input, json!({ "limit": limit }));
    let replies: BTreeMap<_, _> = replies
        .into_iter()
        .map(|(shard, reply)| (ShardId(shard), message(&search.output, reply)))
        .collect();
    let merged = merge(search, replies, &request)?;
    Ok(encode_json(&merged).expect("the message has a JSON form"))
}

/// The ids of a list's elements.
fn ids(list: &Value) -> Vec<&str> {
    let items = list.as_array().expect("the field is a list").iter();
    items
        .map(|item| item["id"].as_str().expect("the id is a string"))
        .collect()
}

#[test]
fn top_k_keeps_the_first_elements_of_all_shards() {
    let search = method(&shop(), "Search");
    let replies = [
        (
            0,
            json!({ "best": [{ "id": "a", "score": 1.0 }, { "id": "c", "score": 9.0 }] }),
        ),
        (
            2,
            json!({ "best": [{ "id": "e", "score": 5.0 }, { "id": "b", "score": 9.0 }] }),
        ),
        (1, json!({ "best": [{ "id": "d", "score": "-Infinity" }] })),
        (3, json!({})),
    ];
    for (limit, expected) in [
        (0, &["b", "c", "e"][..]),
        (1, &["b"]),
        (4, &["b", "c", "e", "a"]),
        (10, &["b", "c", "e", "a", "d"]),
    ] {
        let merged = merge_json(&search, replies.clone(), limit).expect("the replies merge");
        assert_eq!(ids(&merged["best"]), expected, "limit {limit}");
    }
}

#[test]
fn concatenated_lists_keep_the_order_of_the_shards_unless_sorted() {
    let search = method(&shop(), "Search");
    let item = |id: &str, rank: i64| json!({ "id": id, "rank": rank.to_string() });
    let replies = [
        (
            1,
            json!({ "all": ["x", "a"], "sorted": [item("p", 2), item("q", -7)] }),
        ),
        (0, json!({ "all": ["m"], "sorted": [item("r", 2)] })),
    ];
    let merged = merge_json(&search, replies, 0).expect("the replies merge");
    assert_eq!(merged["all"], json!(["m", "x", "a"]));
    assert_eq!(ids(&merged["sorted"]), ["q", "r", "p"]);
}

#[test]
fn sums_add_the_numbers_of_all_shards() {
    let search = method(&shop(), "Search");
    let replies = [
        (0, json!({ "total": -5, "count": "7", "weight": 0.5 })),
        (1, json!({ "total": 2, "count": "18446744073709551608" })),
    ];
    let merged = merge_json(&search, replies, 0).expect("the replies merge");
    assert_eq!(merged["total"], json!(-3));
    assert_eq!(merged["count"], json!("18446744073709551615"));
    assert_eq!(merged["weight"], json!(0.5));
}

#[test]
fn a_sum_that_overflows_is_an_error() {
    let search = method(&shop(), "Search");
    for (first, second, field) in [
        (json!({ "total": i32::MAX }), json!({ "total": 1 }), "total"),
        (
            json!({ "total": i32::MIN }),
            json!({ "total": -1 }),
            "total",
        ),
        (
            json!({ "count": u64::MAX.to_string() }),
            json!({ "count": "1" }),
            "count",
        ),
    ] {
        let error = merge_json(&search, [(0, first), (1, second)], 0);
        let overflow = MergeError::Overflow {
            method: "/shop.Shop/Search".to_owned(),
            field: field.to_owned(),
        };
        assert_eq!(error, Err(overflow));
    }
}

#[test]
fn merging_no_replies_gives_an_empty_reply_and_merging_a_lookup_is_an_error() {
    let schema = shop();
    let search = method(&schema, "Search");
    let merged = merge_json(&search, [], 0).expect("the replies merge");
    assert_eq!(merged["best"], json!([]));
    assert_eq!(merged["count"], json!("0"));
    let get = method(&schema, "GetByText");
    let request = DynamicMessage::new(get.input.clone());
    let error = merge(&get, BTreeMap::new(), &request).expect_err("a lookup has no merge");
    assert_eq!(
        error,
        MergeError::NotAQuery("/shop.Shop/GetByText".to_owned())
    );
}

fn items() -> impl Strategy<Value = Vec<Value>> {
    let item = ("[a-c]", -2..3i32, -2..3i64).prop_map(
        |(id, score, rank)| json!({ "id": id, "score": score, "rank": rank.to_string() }),
    );
    proptest::collection::vec(item, 0..6)
}

fn replies() -> impl Strategy<Value = Vec<(u32, Value)>> {
    let reply = (items(), items(), 0..1_000i32, 0.0..1.0f64).prop_map(
        |(best, sorted, total, weight)| {
            json!({ "best": best, "all": ["word"], "sorted": sorted, "total": total, "weight": weight })
        },
    );
    proptest::collection::btree_map(0..8u32, reply, 0..6)
        .prop_map(|replies| replies.into_iter().collect())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(2),
        failure_persistence: None,
        cases: 64,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_merged_reply_does_not_depend_on_the_order_of_arrival(
        (in_order, shuffled) in replies()
            .prop_flat_map(|replies| (Just(replies.clone()), Just(replies).prop_shuffle())),
        limit in 0..11u32,
    ) {
        let search = method(&shop(), "Search");
        prop_assert_eq!(
            merge_json(&search, shuffled, limit),
            merge_json(&search, in_order, limit)
        );
    }

    #[test]
    fn top_k_equals_sorting_all_elements_and_truncating(replies in replies(), limit in 1..11usize) {
        let search = method(&shop(), "Search");
        let mut all: Vec<Value> = replies
            .iter()
            .flat_map(|(_, reply)| reply["best"].as_array().expect("the field is a list").clone())
            .collect();
        all.sort_by_key(|item| {
            let score = item["score"].as_i64().expect("the score is a number");
            (-score, item["id"].as_str().expect("the id is a string").to_owned())
        });
        let keys = |items: &[Value]| -> Vec<(String, i64)> {
            let key = |item: &Value| {
                let score = item["score"].as_f64().expect("the score is a number");
                (item["id"].to_string(), score as i64)
            };
            items.iter().map(key).collect()
        };
        let merged = merge_json(&search, replies, limit as u32).expect("the replies merge");
        let best = merged["best"].as_array().expect("the field is a list");
        prop_assert_eq!(keys(best), keys(&all[..limit.min(all.len())]));
    }
}
