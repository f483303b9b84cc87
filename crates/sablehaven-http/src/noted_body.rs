//! A body that tells when it was handed to its connection.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::WholeBody;

/// Told once of a body.
pub trait BodyNote {
    /// The connection has taken the last frame and writes it now.
    fn taken(self);
}

/// A whole body with a note. The note is dropped untold where the caller leaves before, and where the
/// body is empty, since a connection asks nothing of such a body.
pub struct NotedBody<Note> {
    body: WholeBody,
    note: Option<Note>,
}

impl<Note> NotedBody<Note> {
    /// A body that tells `note`.
    pub fn new(body: WholeBody, note: Option<Note>) -> Self {
        Self { body, note }
    }
}

impl<Note: BodyNote + Unpin> Body for NotedBody<Note> {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if self.body.is_end_stream()
            && let Some(note) = self.note.take()
        {
            note.taken();
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
