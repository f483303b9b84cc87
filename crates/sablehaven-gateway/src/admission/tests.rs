//! Tests of the admission limit.

use std::time::Duration;

use super::{Admission, AdmissionClass, NotAdmitted};
use crate::{resends::CallerTry, servers::RouteId, urgency::Urgency};

const KIND: RouteId = RouteId(1);
const NOW: Duration = Duration::from_secs(10);
const LATER: Duration = Duration::from_secs(11);

fn first(priority: u32, kind: RouteId, due: Duration) -> AdmissionClass {
    AdmissionClass {
        urgency: Urgency::new(None, priority),
        kind,
        due,
        caller_try: CallerTry::First,
    }
}

#[test]
fn urgent_requests_are_admitted_when_others_are_not() {
    let admission = Admission::new(10);
    let mut slots = Vec::new();
    while let Ok(admitted) = admission.admit(NOW, first(2, KIND, LATER)) {
        slots.push(admitted);
    }
    assert_eq!(slots.len(), 7);
    assert!(admission.admit(NOW, first(1, KIND, LATER)).is_ok());
    while let Ok(admitted) = admission.admit(NOW, first(0, KIND, LATER)) {
        slots.push(admitted);
    }
    assert_eq!(slots.len(), 10);
    let full = admission.admit(NOW, first(0, KIND, LATER)).err();
    assert_eq!(full, Some(NotAdmitted::LimitReached));
    slots.clear();
    assert_eq!(admission.open(), 0);
}

#[test]
fn a_kind_with_many_overdue_requests_admits_no_more_until_some_end() {
    let admission = Admission::new(1_000);
    let mut slots: Vec<_> = (0..24)
        .map(|_| admission.admit(NOW, first(1, KIND, LATER)))
        .collect();
    assert!(slots.iter().all(Result::is_ok));
    let after = LATER + Duration::from_millis(1);
    let refused = admission.admit(after, first(1, KIND, after)).err();
    assert_eq!(refused, Some(NotAdmitted::Overdue));
    let other = RouteId(2);
    assert!(admission.admit(after, first(2, other, after)).is_ok());
    slots.pop();
    assert!(
        admission
            .admit(after, first(1, KIND, after + LATER))
            .is_ok()
    );
}

#[test]
fn a_resend_is_refused_only_if_the_limit_is_reached() {
    let admission = Admission::new(30);
    let late: Vec<_> = (0..24)
        .map(|_| admission.admit(NOW, first(0, KIND, NOW)))
        .collect();
    assert!(late.iter().all(Result::is_ok));
    let after = NOW + Duration::from_millis(1);
    let refused = admission.admit(after, first(0, KIND, LATER)).err();
    assert_eq!(refused, Some(NotAdmitted::Overdue));
    let resend = AdmissionClass {
        caller_try: CallerTry::Resend,
        ..first(0, KIND, NOW)
    };
    let resends: Vec<_> = (0..6).map(|_| admission.admit(after, resend)).collect();
    assert!(resends.iter().all(Result::is_ok));
    let full = admission.admit(after, resend).err();
    assert_eq!(full, Some(NotAdmitted::LimitReached));
    drop((late, resends));
    assert_eq!(admission.open(), 0);
    assert!(admission.admit(after, first(0, KIND, LATER)).is_ok());
}
