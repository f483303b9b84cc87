//! Tests of the merge.

use super::greatest_records;

fn record(value: u8) -> [u8; 16] {
    let mut record = [0; 16];
    record[15] = value;
    record
}

#[test]
fn the_greatest_records_come_first_and_equal_ones_all_count() {
    let one = [record(3), record(9), record(1)].concat();
    let other = [record(9), record(200)].concat();
    let merged = greatest_records([&one[..], &other[..]].into_iter(), 4);
    let expected = [record(200), record(9), record(9), record(3)].concat();
    assert_eq!(merged[..], expected[..]);
}

#[test]
fn a_remainder_is_no_record_and_fewer_records_than_asked_for_are_all_given() {
    let mut body = record(5).to_vec();
    body.extend_from_slice(&[255; 7]);
    let merged = greatest_records([&body[..], &[]].into_iter(), 20);
    assert_eq!(merged[..], record(5)[..]);
    assert!(greatest_records([&body[..]].into_iter(), 0).is_empty());
}
