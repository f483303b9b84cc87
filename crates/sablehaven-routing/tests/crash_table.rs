//! Tests of what is known of requests under which servers ended.

use std::time::Duration;

use sablehaven_routing::crash_table::{
    CrashStatus, CrashTable, FIRST_QUARANTINE, LOSS_REPORTS_PER_SECOND, LOSS_RETENTION,
    MAX_RECORDS, REPORTS_PER_SECOND,
};
use sablehaven_types::CrashReport;

const REQUEST: u64 = 7;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn quarantined(left: Duration) -> CrashStatus {
    CrashStatus::Quarantined { left }
}

fn report(revision: u32, lost: u32, crashes: u32) -> CrashReport {
    CrashReport {
        fingerprint: REQUEST,
        revision,
        lost,
        crashes,
    }
}

#[test]
fn lost_connections_make_a_request_suspect_and_an_answer_clears_it() {
    let mut table = CrashTable::default();
    table.record_loss(s(1), REQUEST);
    table.record_loss(s(1), REQUEST);
    assert_eq!(table.status(s(1), REQUEST), CrashStatus::Clear);
    table.record_loss(s(1), REQUEST);
    assert_eq!(table.status(s(1), REQUEST), CrashStatus::Suspect);
    assert_eq!(table.status(s(1), REQUEST + 1), CrashStatus::Clear);
    table.record_answer(s(2), REQUEST);
    assert_eq!(table.status(s(2), REQUEST), CrashStatus::Clear);
}

#[test]
fn lost_connections_are_forgotten_in_time() {
    let mut table = CrashTable::default();
    for _ in 0..3 {
        table.record_loss(s(1), REQUEST);
    }
    let later = s(1) + LOSS_RETENTION;
    assert_eq!(table.status(later, REQUEST), CrashStatus::Clear);
    table.record_loss(later, REQUEST);
    assert_eq!(table.status(later, REQUEST), CrashStatus::Clear);
}

#[test]
fn crashes_quarantine_a_request_and_each_further_one_for_longer() {
    let mut table = CrashTable::default();
    assert_eq!(table.record_crash(s(1), REQUEST), None);
    assert_eq!(table.status(s(1), REQUEST), CrashStatus::Suspect);
    let begun = table.record_crash(s(1), REQUEST).expect("a quarantine");
    assert_eq!(
        (begun.duration, begun.report.crashes),
        (FIRST_QUARANTINE, 2)
    );
    assert_eq!(table.status(s(1), REQUEST), quarantined(FIRST_QUARANTINE));
    let over = s(1) + FIRST_QUARANTINE;
    assert_eq!(table.status(over, REQUEST), CrashStatus::Suspect);
    table.record_crash(over, REQUEST);
    let longer = quarantined(2 * FIRST_QUARANTINE);
    assert_eq!(table.status(over, REQUEST), longer);
}

#[test]
fn what_another_gateway_saw_counts_as_ones_own() {
    let mut here = CrashTable::default();
    let mut there = CrashTable::default();
    here.record_crash(s(1), REQUEST);
    here.record_crash(s(1), REQUEST);
    let news = here
        .take_unsent_report(s(1), REQUEST)
        .expect("something new");
    assert_eq!(here.take_unsent_report(s(1), REQUEST), None, "said once");
    assert!(there.merge_report(s(100), &news).is_some());
    assert!(there.merge_report(s(150), &news).is_none());
    let left = FIRST_QUARANTINE - s(50);
    assert_eq!(
        there.status(s(150), REQUEST),
        quarantined(left),
        "a repeat changes nothing"
    );
    assert_eq!(
        there.take_unsent_report(s(150), REQUEST),
        None,
        "nothing of its own"
    );
}

#[test]
fn an_answer_at_one_gateway_clears_the_request_at_the_others() {
    let mut here = CrashTable::default();
    let mut there = CrashTable::default();
    there.merge_report(s(1), &report(0, 12, 2));
    here.merge_report(s(1), &report(0, 12, 2));
    here.record_answer(s(2), REQUEST);
    let news = here
        .take_unsent_report(s(2), REQUEST)
        .expect("something new");
    assert_eq!(news, report(1, 0, 0));
    there.merge_report(s(2), &news);
    assert_eq!(there.status(s(2), REQUEST), CrashStatus::Clear);
    there.merge_report(s(3), &report(0, 13, 3));
    assert_eq!(
        there.status(s(3), REQUEST),
        CrashStatus::Clear,
        "what was seen before the answer comes too late"
    );
}

#[test]
fn own_sightings_beyond_a_report_stay_news() {
    let mut table = CrashTable::default();
    for _ in 0..4 {
        table.record_loss(s(1), REQUEST);
    }
    table.merge_report(s(1), &report(0, 2, 1));
    assert_eq!(
        table.take_unsent_report(s(1), REQUEST),
        Some(report(0, 4, 1))
    );
}

#[test]
fn the_number_of_reports_and_of_records_is_bounded() {
    let mut table = CrashTable::default();
    let requests = 0..2 * MAX_RECORDS as u64;
    let sent = requests
        .clone()
        .filter(|request| {
            table.record_loss(s(1), *request);
            table.take_unsent_report(s(1), *request).is_some()
        })
        .count();
    assert_eq!(sent, LOSS_REPORTS_PER_SECOND as usize);
    assert_eq!(table.reports(s(1)).len(), MAX_RECORDS);
}

#[test]
fn reports_of_crashes_have_room_beside_those_of_lost_connections() {
    let mut table = CrashTable::default();
    let sent = (0..2 * u64::from(REPORTS_PER_SECOND))
        .filter(|request| {
            table.record_loss(s(1), 1_000 + request);
            table.take_unsent_report(s(1), 1_000 + request);
            table.record_crash(s(1), *request);
            table.take_unsent_report(s(1), *request).is_some()
        })
        .count();
    assert_eq!(sent, REPORTS_PER_SECOND as usize);
    assert!(
        table
            .take_unsent_report(s(2), 2 * u64::from(REPORTS_PER_SECOND) - 1)
            .is_some()
    );
}

#[test]
fn a_request_that_crashed_servers_is_forgotten_last() {
    let mut table = CrashTable::default();
    table.record_crash(s(1), REQUEST);
    for other in 0..MAX_RECORDS as u64 {
        table.record_loss(s(2), 100 + other);
    }
    assert_eq!(table.status(s(2), REQUEST), CrashStatus::Suspect);
}
