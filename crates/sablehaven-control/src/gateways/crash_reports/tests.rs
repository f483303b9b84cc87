//! Tests of passing on reports.

use std::time::{Duration, Instant};

use sablehaven_types::CrashReport;

use super::{CrashReportStore, KEPT_REPORTS, MOST_REPORTS_PER_SECOND, PassedOn};

fn report(fingerprint: u64, lost: u32, crashes: u32) -> CrashReport {
    CrashReport {
        lost,
        crashes,
        ..CrashReport::new(fingerprint)
    }
}

#[test]
fn what_is_new_is_passed_on_once_and_kept_for_gateways_that_come_later() {
    let board = CrashReportStore::new();
    let (known, mut news) = board.subscribe();
    assert!(known.is_empty());
    board.take(&[report(1, 3, 0)]);
    board.take(&[report(1, 2, 2), report(1, 3, 1)]);
    assert_eq!(news.try_recv(), Ok(report(1, 3, 0)));
    assert_eq!(news.try_recv(), Ok(report(1, 3, 2)));
    assert!(news.try_recv().is_err(), "a repeat is no news");
    let (known, _) = board.subscribe();
    assert_eq!(known, [report(1, 3, 2)]);
}

#[test]
fn an_answer_replaces_what_was_seen_before_it() {
    let board = CrashReportStore::new();
    board.take(&[report(1, 3, 2)]);
    let mut cleared = report(1, 3, 2);
    cleared.clear();
    board.take(&[cleared]);
    board.take(&[report(1, 9, 9)]);
    assert_eq!(board.subscribe().0, [cleared]);
}

#[test]
fn the_number_of_reports_is_bounded() {
    let board = CrashReportStore::new();
    for fingerprint in 0..2 * KEPT_REPORTS as u64 {
        board.take(&[report(fingerprint, 1, 0)]);
    }
    assert_eq!(board.subscribe().0.len(), KEPT_REPORTS);
}

#[test]
fn lost_connections_leave_room_for_crashes_and_each_second_has_its_own() {
    let limit = MOST_REPORTS_PER_SECOND;
    let since = Instant::now();
    let mut passed_on = PassedOn { since, count: 0 };
    let mut pass = |at: Instant, report: &CrashReport| {
        let passed = (0..2 * limit).filter(|_| passed_on.count(at, limit, report));
        passed.count() as u32
    };
    assert_eq!(pass(since, &report(1, 1, 0)), limit / 2);
    assert_eq!(pass(since, &report(1, 1, 1)), limit / 2);
    assert_eq!(pass(since, &report(1, 1, 1)), 0);
    let later = since + Duration::from_secs(1);
    assert_eq!(pass(later, &report(1, 1, 1)), limit);
}
