//! Tests of what is known of requests under which servers ended.

use std::time::Duration;

use sablehaven_routing::crash_table::{
    CrashTable, FIRST_QUARANTINE, KEPT_RECORDS, LOSS_REPORTS_PER_SECOND, LOSSES_KEPT,
    REPORTS_PER_SECOND, Standing,
};
use sablehaven_types::CrashReport;

const REQUEST: u64 = 7;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn quarantined(left: Duration) -> Standing {
    Standing::Quarantined { left }
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
    table.lost(s(1), REQUEST);
    table.lost(s(1), REQUEST);
    assert_eq!(table.standing(s(1), REQUEST), Standing::Clear);
    table.lost(s(1), REQUEST);
    assert_eq!(table.standing(s(1), REQUEST), Standing::Suspect);
    assert_eq!(table.standing(s(1), REQUEST + 1), Standing::Clear);
    table.answered(s(2), REQUEST);
    assert_eq!(table.standing(s(2), REQUEST), Standing::Clear);
}

#[test]
fn lost_connections_are_forgotten_in_time() {
    let mut table = CrashTable::default();
    for _ in 0..3 {
        table.lost(s(1), REQUEST);
    }
    let later = s(1) + LOSSES_KEPT;
    assert_eq!(table.standing(later, REQUEST), Standing::Clear);
    table.lost(later, REQUEST);
    assert_eq!(table.standing(later, REQUEST), Standing::Clear);
}

#[test]
fn crashes_quarantine_a_request_and_each_further_one_for_longer() {
    let mut table = CrashTable::default();
    assert_eq!(table.crashed(s(1), REQUEST), None);
    assert_eq!(table.standing(s(1), REQUEST), Standing::Suspect);
    let begun = table.crashed(s(1), REQUEST).expect("a quarantine");
    assert_eq!((begun.time, begun.report.crashes), (FIRST_QUARANTINE, 2));
    assert_eq!(table.standing(s(1), REQUEST), quarantined(FIRST_QUARANTINE));
    let over = s(1) + FIRST_QUARANTINE;
    assert_eq!(table.standing(over, REQUEST), Standing::Suspect);
    table.crashed(over, REQUEST);
    let longer = quarantined(2 * FIRST_QUARANTINE);
    assert_eq!(table.standing(over, REQUEST), longer);
}

#[test]
fn what_another_gateway_saw_counts_as_ones_own() {
    let mut here = CrashTable::default();
    let mut there = CrashTable::default();
    here.crashed(s(1), REQUEST);
    here.crashed(s(1), REQUEST);
    let news = here.news(s(1), REQUEST).expect("something new");
    assert_eq!(here.news(s(1), REQUEST), None, "said once");
    assert!(there.take(s(100), &news).is_some());
    assert!(there.take(s(150), &news).is_none());
    let left = FIRST_QUARANTINE - s(50);
    assert_eq!(
        there.standing(s(150), REQUEST),
        quarantined(left),
        "a repeat changes nothing"
    );
    assert_eq!(there.news(s(150), REQUEST), None, "nothing of its own");
}

#[test]
fn an_answer_at_one_gateway_clears_the_request_at_the_others() {
    let mut here = CrashTable::default();
    let mut there = CrashTable::default();
    there.take(s(1), &report(0, 12, 2));
    here.take(s(1), &report(0, 12, 2));
    here.answered(s(2), REQUEST);
    let news = here.news(s(2), REQUEST).expect("something new");
    assert_eq!(news, report(1, 0, 0));
    there.take(s(2), &news);
    assert_eq!(there.standing(s(2), REQUEST), Standing::Clear);
    there.take(s(3), &report(0, 13, 3));
    assert_eq!(
        there.standing(s(3), REQUEST),
        Standing::Clear,
        "what was seen before the answer comes too late"
    );
}

#[test]
fn own_sightings_beyond_a_report_stay_news() {
    let mut table = CrashTable::default();
    for _ in 0..4 {
        table.lost(s(1), REQUEST);
    }
    table.take(s(1), &report(0, 2, 1));
    assert_eq!(table.news(s(1), REQUEST), Some(report(0, 4, 1)));
}

#[test]
fn the_number_of_reports_and_of_records_is_bounded() {
    let mut table = CrashTable::default();
    let requests = 0..2 * KEPT_RECORDS as u64;
    let sent = requests
        .clone()
        .filter(|request| {
            table.lost(s(1), *request);
            table.news(s(1), *request).is_some()
        })
        .count();
    assert_eq!(sent, LOSS_REPORTS_PER_SECOND as usize);
    assert_eq!(table.reports(s(1)).len(), KEPT_RECORDS);
}

#[test]
fn reports_of_crashes_have_room_beside_those_of_lost_connections() {
    let mut table = CrashTable::default();
    let sent = (0..2 * u64::from(REPORTS_PER_SECOND))
        .filter(|request| {
            table.lost(s(1), 1_000 + request);
            table.news(s(1), 1_000 + request);
            table.crashed(s(1), *request);
            table.news(s(1), *request).is_some()
        })
        .count();
    assert_eq!(sent, REPORTS_PER_SECOND as usize);
    assert!(
        table
            .news(s(2), 2 * u64::from(REPORTS_PER_SECOND) - 1)
            .is_some()
    );
}

#[test]
fn a_request_that_crashed_servers_is_forgotten_last() {
    let mut table = CrashTable::default();
    table.crashed(s(1), REQUEST);
    for other in 0..KEPT_RECORDS as u64 {
        table.lost(s(2), 100 + other);
    }
    assert_eq!(table.standing(s(2), REQUEST), Standing::Suspect);
}
