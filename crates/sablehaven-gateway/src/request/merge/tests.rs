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
