//! Tests of the room for requests.

use super::Admission;

#[test]
fn urgent_requests_find_room_where_others_do_not() {
    let admission = Admission::new(10);
    let mut held = Vec::new();
    while let Some(admitted) = admission.admit(2) {
        held.push(admitted);
    }
    assert_eq!(held.len(), 7);
    assert!(admission.admit(1).is_some());
    while let Some(admitted) = admission.admit(0) {
        held.push(admitted);
    }
    assert_eq!(held.len(), 10);
    held.clear();
    assert_eq!(admission.open(), 0);
}
