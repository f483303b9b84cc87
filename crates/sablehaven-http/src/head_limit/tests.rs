use super::{HeadLimit, MAX_BYTES_BEFORE_BODY};

#[test]
fn bytes_are_limited_from_arming_to_lifting() {
    let limit = HeadLimit::default();
    assert!(limit.count(2 * MAX_BYTES_BEFORE_BODY).is_ok());
    limit.arm();
    assert!(limit.count(MAX_BYTES_BEFORE_BODY).is_ok());
    assert!(limit.count(1).is_err());
    limit.lift();
    assert!(limit.count(2 * MAX_BYTES_BEFORE_BODY).is_ok());
}

#[test]
fn each_response_has_the_whole_limit() {
    let limit = HeadLimit::default();
    for _ in 0..3 {
        limit.arm();
        assert!(limit.count(MAX_BYTES_BEFORE_BODY).is_ok());
    }
}
