//! A response body whose bytes are held until they are sent.

use std::{
    io::IoSlice,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use hyper::body::{Body, Buf, Frame, SizeHint};

use crate::client_budget::{ClientConnection, HeldBytes};

/// A response body whose bytes are held until the connection has written them.
pub(crate) struct HeldResponse<Inner> {
    inner: Inner,
    /// `None` if the body is empty or its size is unknown.
    held: Option<Arc<HeldBytes>>,
}

/// A frame of a [`HeldResponse`]. The connection drops it when it is written.
pub(crate) struct HeldFrame<Data> {
    data: Data,
    _held: Option<Arc<HeldBytes>>,
}

impl<Inner: Body> HeldResponse<Inner> {
    pub(crate) fn new(inner: Inner, client: &ClientConnection) -> Self {
        let length = inner.size_hint().exact().unwrap_or_default();
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        client.activity().set_response_bytes(length);
        let held = (length > 0).then(|| Arc::new(client.hold_response(length)));
        Self { inner, held }
    }
}

impl<Inner: Body + Unpin> Body for HeldResponse<Inner> {
    type Data = HeldFrame<Inner::Data>;
    type Error = Inner::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        polled.map_ok(|frame| {
            frame.map_data(|data| HeldFrame {
                data,
                _held: self.held.clone(),
            })
        })
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<Data: Buf> Buf for HeldFrame<Data> {
    fn remaining(&self) -> usize {
        self.data.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.data.chunk()
    }

    fn chunks_vectored<'a>(&'a self, slices: &mut [IoSlice<'a>]) -> usize {
        self.data.chunks_vectored(slices)
    }

    fn advance(&mut self, count: usize) {
        self.data.advance(count);
    }
}
