//! Tests of the room for requests.

use std::time::Duration;

use super::{Admission, NotAdmitted};
use crate::servers::KindOfRequest;

const KIND: KindOfRequest = KindOfRequest(1);
const NOW: Duration = Duration::from_secs(10);
const LATER: Duration = Duration::from_secs(11);

#[test]
fn urgent_requests_find_room_where_others_do_not() {
    let admission = Admission::new(10);
    let mut held = Vec::new();
    while let Ok(admitted) = admission.admit(NOW, 2, KIND, LATER) {
        held.push(admitted);
    }
    assert_eq!(held.len(), 7);
    assert!(admission.admit(NOW, 1, KIND, LATER).is_ok());
    while let Ok(admitted) = admission.admit(NOW, 0, KIND, LATER) {
        held.push(admitted);
    }
    assert_eq!(held.len(), 10);
    let full = admission.admit(NOW, 0, KIND, LATER).err();
    assert_eq!(full, Some(NotAdmitted::NoRoom));
    held.clear();
    assert_eq!(admission.open(), 0);
}

#[test]
fn a_kind_of_which_many_are_late_takes_no_more_until_they_are_done() {
    let admission = Admission::new(1_000);
    let mut held: Vec<_> = (0..24)
        .map(|_| admission.admit(NOW, 1, KIND, LATER))
        .collect();
    assert!(held.iter().all(Result::is_ok));
    let after = LATER + Duration::from_millis(1);
    let refused = admission.admit(after, 1, KIND, after).err();
    assert_eq!(refused, Some(NotAdmitted::Overdue));
    let other = KindOfRequest(2);
    assert!(admission.admit(after, 2, other, after).is_ok());
    held.pop();
    assert!(admission.admit(after, 1, KIND, after + LATER).is_ok());
}
