use std::{cell::Cell, rc::Rc};

use bytes::Bytes;
use http_body_util::BodyExt;

use super::{BodyObserver, ObservedBody};
use crate::WholeBody;

/// Counts how often it is told.
struct CountingObserver(Rc<Cell<u32>>);

impl BodyObserver for CountingObserver {
    fn last_frame_taken(self) {
        self.0.set(self.0.get() + 1);
    }
}

fn counted(text: &'static str) -> (ObservedBody<CountingObserver>, Rc<Cell<u32>>) {
    let told = Rc::default();
    let note = CountingObserver(Rc::clone(&told));
    let body = WholeBody::new(Bytes::from_static(text.as_bytes()));
    (ObservedBody::new(body, Some(note)), told)
}

#[tokio::test]
async fn a_note_is_told_once_when_the_last_frame_is_taken() {
    let (mut body, told) = counted("records");
    assert_eq!(told.get(), 0);
    let frame = body.frame().await.expect("a frame").expect("whole");
    assert_eq!(frame.into_data().expect("data"), "records");
    assert_eq!(told.get(), 1);
    assert!(body.frame().await.is_none());
    drop(body);
    assert_eq!(told.get(), 1);
}

#[test]
fn a_note_of_a_body_that_nobody_takes_is_not_told() {
    let (body, told) = counted("records");
    drop(body);
    assert_eq!(told.get(), 0);
}
