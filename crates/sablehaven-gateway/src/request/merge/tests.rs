//! Tests of merging records.

use super::greatest_records;

fn record(value: u8) -> [u8; 16] {
    let mut record = [0; 16];
    record[15] = value;
    record
}

#[test]
fn records_are_sorted_in_descending_order_and_duplicates_are_kept() {
    let first = [record(3), record(9), record(1)].concat();
    let second = [record(9), record(200)].concat();
    let merged = greatest_records([&first[..], &second[..]].into_iter(), 4);
    let expected = [record(200), record(9), record(9), record(3)].concat();
    assert_eq!(merged[..], expected[..]);
}

#[test]
fn remainders_are_ignored_and_short_results_are_complete() {
    let mut body = record(5).to_vec();
    body.extend_from_slice(&[255; 7]);
    let merged = greatest_records([&body[..], &[]].into_iter(), 20);
    assert_eq!(merged[..], record(5)[..]);
    assert!(greatest_records([&body[..]].into_iter(), 0).is_empty());
}

/// The greatest records may come in any order, and in bodies that are much larger than the result.
#[test]
fn the_greatest_records_of_large_bodies_are_found_in_any_order() {
    let mut bodies = Vec::new();
    for body in 0..4_u32 {
        let numbers = (0..1_000_u32).map(|index| (index * 7_919 + body * 13) % 10_007);
        let records = numbers.map(|number| {
            let mut record = [0; 16];
            record[..4].copy_from_slice(&number.to_be_bytes());
            record
        });
        bodies.push(records.collect::<Vec<_>>());
    }
    let mut expected = bodies.concat();
    expected.sort_unstable_by(|left, right| right.cmp(left));
    let encoded: Vec<Vec<u8>> = bodies.iter().map(|records| records.concat()).collect();
    for count in [1, 2, 3, 50, 3_999, 4_000, 5_000] {
        let merged = greatest_records(encoded.iter().map(|body| &body[..]), count);
        let expected = expected[..count.min(expected.len())].concat();
        assert_eq!(merged[..], expected[..], "the greatest {count}");
    }
}
