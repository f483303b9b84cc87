//! Tests of the room for requests.

use std::time::Duration;

use super::{Admission, AdmissionClass, NotAdmitted};
use crate::{resends::CallerTry, servers::KindOfRequest, urgency::Urgency};

const KIND: KindOfRequest = KindOfRequest(1);
const NOW: Duration = Duration::from_secs(10);
const LATER: Duration = Duration::from_secs(11);

fn first(priority: u32, kind: KindOfRequest, due: Duration) -> AdmissionClass {
    AdmissionClass {
        urgency: Urgency::new(None, priority),
        kind,
        due,
        caller_try: CallerTry::First,
    }
}

#[test]
fn urgent_requests_find_room_where_others_do_not() {
    let admission = Admission::new(10);
    let mut held = Vec::new();
    while let Ok(admitted) = admission.admit(NOW, first(2, KIND, LATER)) {
        held.push(admitted);
    }
    assert_eq!(held.len(), 7);
    assert!(admission.admit(NOW, first(1, KIND, LATER)).is_ok());
    while let Ok(admitted) = admission.admit(NOW, first(0, KIND, LATER)) {
        held.push(admitted);
    }
    assert_eq!(held.len(), 10);
    let full = admission.admit(NOW, first(0, KIND, LATER)).err();
    assert_eq!(full, Some(NotAdmitted::NoRoom));
    held.clear();
    assert_eq!(admission.open(), 0);
}

#[test]
fn a_kind_of_which_many_are_late_takes_no_more_until_they_are_done() {
    let admission = Admission::new(1_000);
    let mut held: Vec<_> = (0..24)
        .map(|_| admission.admit(NOW, first(1, KIND, LATER)))
        .collect();
    assert!(held.iter().all(Result::is_ok));
    let after = LATER + Duration::from_millis(1);
    let refused = admission.admit(after, first(1, KIND, after)).err();
    assert_eq!(refused, Some(NotAdmitted::Overdue));
    let other = KindOfRequest(2);
    assert!(admission.admit(after, first(2, other, after)).is_ok());
    held.pop();
    assert!(
        admission
            .admit(after, first(1, KIND, after + LATER))
            .is_ok()
    );
}

#[test]
fn a_second_try_is_refused_only_for_want_of_room() {
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
    assert_eq!(full, Some(NotAdmitted::NoRoom));
    drop((late, resends));
    assert_eq!(admission.open(), 0);
    assert!(admission.admit(after, first(0, KIND, LATER)).is_ok());
}
