//! Tests of the notifications of an observed body.

use std::{cell::Cell, rc::Rc};

use bytes::Bytes;
use http_body_util::BodyExt;

use super::{BodyObserver, ObservedBody};
use crate::WholeBody;

/// Counts its notifications.
struct CountingObserver(Rc<Cell<u32>>);

impl BodyObserver for CountingObserver {
    fn last_frame_taken(self) {
        self.0.set(self.0.get() + 1);
    }
}

fn body_with_counter(text: &'static str) -> (ObservedBody<CountingObserver>, Rc<Cell<u32>>) {
    let notifications = Rc::default();
    let observer = CountingObserver(Rc::clone(&notifications));
    let body = WholeBody::new(Bytes::from_static(text.as_bytes()));
    (ObservedBody::new(body, Some(observer)), notifications)
}

#[tokio::test]
async fn the_observer_is_notified_once_when_the_last_frame_is_taken() {
    let (mut body, notifications) = body_with_counter("records");
    assert_eq!(notifications.get(), 0);
    let frame = body.frame().await.expect("a frame").expect("whole");
    assert_eq!(frame.into_data().expect("data"), "records");
    assert_eq!(notifications.get(), 1);
    assert!(body.frame().await.is_none());
    drop(body);
    assert_eq!(notifications.get(), 1);
}

#[test]
fn the_observer_of_a_dropped_body_is_not_notified() {
    let (body, notifications) = body_with_counter("records");
    drop(body);
    assert_eq!(notifications.get(), 0);
}
