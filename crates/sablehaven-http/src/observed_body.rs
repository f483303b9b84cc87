//! A body that notifies an observer when the connection has taken all of it.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::WholeBody;

/// Receives a notification when a body is sent.
pub trait BodyObserver {
    /// Called when the connection has taken the last frame of the body, immediately before writing it.
    fn last_frame_taken(self);
}

/// A [`WholeBody`] with an observer. The observer is dropped without a notification if the caller disconnects before
/// the last frame is taken, and if the body is empty, because a connection does not poll an empty body.
pub struct ObservedBody<Observer> {
    body: WholeBody,
    observer: Option<Observer>,
}

impl<Observer> ObservedBody<Observer> {
    /// Wraps a body with an optional observer.
    pub fn new(body: WholeBody, observer: Option<Observer>) -> Self {
        Self { body, observer }
    }
}

impl<Observer: BodyObserver + Unpin> Body for ObservedBody<Observer> {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if self.body.is_end_stream()
            && let Some(observer) = self.observer.take()
        {
            observer.last_frame_taken();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

#[cfg(test)]
mod tests;
