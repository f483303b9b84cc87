//! A body that tells when it was handed to its connection.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::WholeBody;

/// Is told once when a body is sent.
pub trait BodyObserver {
    /// The connection has taken the last frame and writes it now.
    fn last_frame_taken(self);
}

/// A whole body with an observer. The observer is dropped untold where the caller leaves before, and where the
/// body is empty, since a connection asks nothing of such a body.
pub struct ObservedBody<Observer> {
    body: WholeBody,
    observer: Option<Observer>,
}

impl<Observer> ObservedBody<Observer> {
    /// A body that tells `observer`.
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
