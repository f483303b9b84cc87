//! Tests of storing and forwarding crash reports.

use std::time::{Duration, Instant};

use sablehaven_types::CrashReport;

use super::{CrashReportStore, ForwardWindow, MAXIMUM_REPORTS, MAXIMUM_REPORTS_PER_SECOND};

fn report(fingerprint: u64, lost: u32, crashes: u32) -> CrashReport {
    CrashReport {
        lost,
        crashes,
        ..CrashReport::new(fingerprint)
    }
}

#[test]
fn a_changed_report_is_forwarded_once_and_kept_for_gateways_that_connect_later() {
    let store = CrashReportStore::new();
    let (stored, mut updates) = store.subscribe();
    assert!(stored.is_empty());
    store.record(&[report(1, 3, 0)]);
    store.record(&[report(1, 2, 2), report(1, 3, 1)]);
    assert_eq!(updates.try_recv(), Ok(report(1, 3, 0)));
    assert_eq!(updates.try_recv(), Ok(report(1, 3, 2)));
    assert!(
        updates.try_recv().is_err(),
        "a repeated report is not forwarded"
    );
    let (stored, _) = store.subscribe();
    assert_eq!(stored, [report(1, 3, 2)]);
}

#[test]
fn a_cleared_report_replaces_the_failures_counted_before_it() {
    let store = CrashReportStore::new();
    store.record(&[report(1, 3, 2)]);
    let mut cleared = report(1, 3, 2);
    cleared.clear();
    store.record(&[cleared]);
    store.record(&[report(1, 9, 9)]);
    assert_eq!(store.subscribe().0, [cleared]);
}

#[test]
fn the_number_of_stored_reports_is_bounded() {
    let store = CrashReportStore::new();
    for fingerprint in 0..2 * MAXIMUM_REPORTS as u64 {
        store.record(&[report(fingerprint, 1, 0)]);
    }
    assert_eq!(store.subscribe().0.len(), MAXIMUM_REPORTS);
}

#[test]
fn loss_reports_use_half_of_the_limit_and_each_second_starts_a_new_one() {
    let limit = MAXIMUM_REPORTS_PER_SECOND;
    let started_at = Instant::now();
    let mut forward_window = ForwardWindow {
        started_at,
        count: 0,
    };
    let mut forward = |at: Instant, report: &CrashReport| {
        let forwarded = (0..2 * limit).filter(|_| forward_window.try_count(at, limit, report));
        forwarded.count() as u32
    };
    assert_eq!(forward(started_at, &report(1, 1, 0)), limit / 2);
    assert_eq!(forward(started_at, &report(1, 1, 1)), limit / 2);
    assert_eq!(forward(started_at, &report(1, 1, 1)), 0);
    let later = started_at + Duration::from_secs(1);
    assert_eq!(forward(later, &report(1, 1, 1)), limit);
}
