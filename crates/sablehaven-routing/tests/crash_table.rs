//! Tests of the crash table: suspect and quarantined requests, and the reports exchanged between
//! gateways.

use std::time::Duration;

use sablehaven_routing::crash_table::{
    CrashStatus, CrashTable, FIRST_QUARANTINE, LOSS_REPORTS_PER_SECOND, LOSS_RETENTION,
    MAX_RECORDS, REPORTS_PER_SECOND,
};
use sablehaven_types::CrashReport;

const REQUEST: u64 = 7;

fn seconds(value: u64) -> Duration {
    Duration::from_secs(value)
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
    table.record_loss(seconds(1), REQUEST);
    table.record_loss(seconds(1), REQUEST);
    assert_eq!(table.status(seconds(1), REQUEST), CrashStatus::Clear);
    table.record_loss(seconds(1), REQUEST);
    assert_eq!(table.status(seconds(1), REQUEST), CrashStatus::Suspect);
    assert_eq!(table.status(seconds(1), REQUEST + 1), CrashStatus::Clear);
    table.record_answer(seconds(2), REQUEST);
    assert_eq!(table.status(seconds(2), REQUEST), CrashStatus::Clear);
}

#[test]
fn lost_connections_expire() {
    let mut table = CrashTable::default();
    for _ in 0..3 {
        table.record_loss(seconds(1), REQUEST);
    }
    let after_retention = seconds(1) + LOSS_RETENTION;
    assert_eq!(table.status(after_retention, REQUEST), CrashStatus::Clear);
    table.record_loss(after_retention, REQUEST);
    assert_eq!(table.status(after_retention, REQUEST), CrashStatus::Clear);
}

#[test]
fn crashes_quarantine_a_request_and_each_further_one_for_longer() {
    let mut table = CrashTable::default();
    assert_eq!(table.record_crash(seconds(1), REQUEST), None);
    assert_eq!(table.status(seconds(1), REQUEST), CrashStatus::Suspect);
    let quarantine = table
        .record_crash(seconds(1), REQUEST)
        .expect("the second crash starts a quarantine");
    assert_eq!(
        (quarantine.duration, quarantine.report.crashes),
        (FIRST_QUARANTINE, 2)
    );
    assert_eq!(
        table.status(seconds(1), REQUEST),
        quarantined(FIRST_QUARANTINE)
    );
    let quarantine_end = seconds(1) + FIRST_QUARANTINE;
    assert_eq!(table.status(quarantine_end, REQUEST), CrashStatus::Suspect);
    table.record_crash(quarantine_end, REQUEST);
    let second_quarantine = quarantined(2 * FIRST_QUARANTINE);
    assert_eq!(table.status(quarantine_end, REQUEST), second_quarantine);
}

#[test]
fn a_report_from_another_gateway_counts_like_local_crashes() {
    let mut first_gateway = CrashTable::default();
    let mut second_gateway = CrashTable::default();
    first_gateway.record_crash(seconds(1), REQUEST);
    first_gateway.record_crash(seconds(1), REQUEST);
    let sent = first_gateway
        .take_unsent_report(seconds(1), REQUEST)
        .expect("an unsent report");
    assert_eq!(
        first_gateway.take_unsent_report(seconds(1), REQUEST),
        None,
        "a report is sent once"
    );
    assert!(second_gateway.merge_report(seconds(100), &sent).is_some());
    assert!(second_gateway.merge_report(seconds(150), &sent).is_none());
    let left = FIRST_QUARANTINE - seconds(50);
    assert_eq!(
        second_gateway.status(seconds(150), REQUEST),
        quarantined(left),
        "a repeated report does not extend the quarantine"
    );
    assert_eq!(
        second_gateway.take_unsent_report(seconds(150), REQUEST),
        None,
        "a received report is not forwarded"
    );
}

#[test]
fn an_answer_at_one_gateway_clears_the_request_at_the_others() {
    let mut first_gateway = CrashTable::default();
    let mut second_gateway = CrashTable::default();
    second_gateway.merge_report(seconds(1), &report(0, 12, 2));
    first_gateway.merge_report(seconds(1), &report(0, 12, 2));
    first_gateway.record_answer(seconds(2), REQUEST);
    let sent = first_gateway
        .take_unsent_report(seconds(2), REQUEST)
        .expect("an unsent report");
    assert_eq!(sent, report(1, 0, 0));
    second_gateway.merge_report(seconds(2), &sent);
    assert_eq!(
        second_gateway.status(seconds(2), REQUEST),
        CrashStatus::Clear
    );
    second_gateway.merge_report(seconds(3), &report(0, 13, 3));
    assert_eq!(
        second_gateway.status(seconds(3), REQUEST),
        CrashStatus::Clear,
        "a report from before the answer is ignored"
    );
}

#[test]
fn local_losses_beyond_a_received_report_are_still_reported() {
    let mut table = CrashTable::default();
    for _ in 0..4 {
        table.record_loss(seconds(1), REQUEST);
    }
    table.merge_report(seconds(1), &report(0, 2, 1));
    assert_eq!(
        table.take_unsent_report(seconds(1), REQUEST),
        Some(report(0, 4, 1))
    );
}

#[test]
fn the_number_of_loss_reports_and_records_is_bounded() {
    let mut table = CrashTable::default();
    let requests = 0..2 * MAX_RECORDS as u64;
    let sent = requests
        .clone()
        .filter(|request| {
            table.record_loss(seconds(1), *request);
            table.take_unsent_report(seconds(1), *request).is_some()
        })
        .count();
    assert_eq!(sent, LOSS_REPORTS_PER_SECOND as usize);
    assert_eq!(table.reports(seconds(1)).len(), MAX_RECORDS);
}

#[test]
fn loss_reports_do_not_use_up_the_limit_of_crash_reports() {
    let mut table = CrashTable::default();
    let sent = (0..2 * u64::from(REPORTS_PER_SECOND))
        .filter(|request| {
            table.record_loss(seconds(1), 1_000 + request);
            table.take_unsent_report(seconds(1), 1_000 + request);
            table.record_crash(seconds(1), *request);
            table.take_unsent_report(seconds(1), *request).is_some()
        })
        .count();
    assert_eq!(sent, REPORTS_PER_SECOND as usize);
    assert!(
        table
            .take_unsent_report(seconds(2), 2 * u64::from(REPORTS_PER_SECOND) - 1)
            .is_some()
    );
}

#[test]
fn a_request_that_crashed_servers_is_evicted_last() {
    let mut table = CrashTable::default();
    table.record_crash(seconds(1), REQUEST);
    for other in 0..MAX_RECORDS as u64 {
        table.record_loss(seconds(2), 100 + other);
    }
    assert_eq!(table.status(seconds(2), REQUEST), CrashStatus::Suspect);
}
