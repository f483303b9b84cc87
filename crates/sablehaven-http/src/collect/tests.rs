use std::{
    cell::Cell,
    convert::Infallible,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame};

use super::{CollectError, HeldBody, collect_request};
use crate::{ClientBudget, ClientLimits, client_budget::ConnectionSlot};

/// Limits of a process that holds at most `body_bytes`.
fn limits(body_bytes: usize) -> ClientLimits {
    ClientLimits {
        max_connections: 8,
        connection_bytes: 1024 * 1024,
        body_bytes,
        max_probe_connections: 1,
        socket_buffer_bytes: 16 * 1024,
    }
}

async fn connect(budget: &ClientBudget) -> ConnectionSlot {
    let share = budget.listener(8);
    share.open(0).await.expect("a connection")
}

/// Reads a body for a client of a process that holds nothing else.
async fn collect<BodyType>(
    body: BodyType,
    limit: usize,
) -> Result<HeldBody, CollectError<BodyType::Error>>
where
    BodyType: Body<Data = Bytes>,
    BodyType::Error: std::error::Error + 'static,
{
    let budget = ClientBudget::new(limits(1024 * 1024));
    let slot = connect(&budget).await;
    collect_request(slot.client(), body, limit).await
}

/// A body of one-byte frames that records how many frames are held at most.
struct TinyFrames {
    left: usize,
    held: Arc<()>,
    max_held: Rc<Cell<usize>>,
}

/// The data of one frame.
struct HeldByte {
    _held: Arc<()>,
}

impl AsRef<[u8]> for HeldByte {
    fn as_ref(&self) -> &[u8] {
        b"b"
    }
}

impl Body for TinyFrames {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.left == 0 {
            return Poll::Ready(None);
        }
        self.left -= 1;
        let data = HeldByte {
            _held: Arc::clone(&self.held),
        };
        let frame = Frame::data(Bytes::from_owner(data));
        let held = Arc::strong_count(&self.held) - 1;
        self.max_held.set(self.max_held.get().max(held));
        Poll::Ready(Some(Ok(frame)))
    }
}

fn tiny_frames(count: usize) -> (TinyFrames, Rc<Cell<usize>>) {
    let max_held = Rc::new(Cell::new(0));
    let body = TinyFrames {
        left: count,
        held: Arc::default(),
        max_held: Rc::clone(&max_held),
    };
    (body, max_held)
}

/// Guards against a body in tiny chunks that takes many times its size in memory.
#[tokio::test]
async fn the_frames_of_a_body_are_released_as_they_arrive() {
    let (body, max_held) = tiny_frames(1_000);
    let collected = collect(body, 1_000).await.expect("a body");
    assert_eq!(collected.bytes(), &"b".repeat(1_000));
    assert!(max_held.get() <= 2, "{} frames were held", max_held.get());
}

#[tokio::test]
async fn a_body_over_the_limit_is_not_read() {
    let (body, _) = tiny_frames(11);
    let collected = collect(body, 10).await;
    assert!(matches!(
        collected,
        Err(CollectError::TooLarge { limit: 10 })
    ));
}

#[tokio::test]
async fn a_body_of_a_single_frame_is_not_copied() {
    let data = Bytes::from_static(b"whole");
    let collected = collect(crate::WholeBody::new(data.clone()), 5).await;
    let collected = collected.expect("a body");
    assert_eq!(collected.bytes(), &data);
    assert_eq!(collected.bytes().as_ptr(), data.as_ptr());
}

#[tokio::test]
async fn a_body_is_held_until_its_last_clone_is_dropped() {
    let budget = ClientBudget::new(limits(1024 * 1024));
    let slot = connect(&budget).await;
    let (body, _) = tiny_frames(10_000);
    let collected = collect_request(slot.client(), body, 10_000).await;
    let collected = collected.expect("a body");
    let held = budget.usage().body_bytes;
    assert_eq!(held, 10_000);
    let clone = collected.clone();
    drop(collected);
    assert_eq!(budget.usage().body_bytes, held);
    drop(clone);
    assert_eq!(budget.usage().body_bytes, 0);
}

#[tokio::test]
async fn a_body_for_which_no_memory_is_left_is_refused_and_released() {
    let budget = ClientBudget::new(limits(8 * 1024));
    let slot = connect(&budget).await;
    let (body, _) = tiny_frames(10_000);
    let collected = collect_request(slot.client(), body, 10_000).await;
    assert!(matches!(collected, Err(CollectError::NoMemoryLeft(_))));
    assert_eq!(budget.usage().body_bytes, 0);
    assert_eq!(budget.usage().refused_bodies, 1);
}
