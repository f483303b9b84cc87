//! Messages that are encoded once and sent on many connections.

use std::marker::PhantomData;

use bytes::Bytes;
use serde::Serialize;

/// Size of the length header at the start of each frame, in bytes.
pub(crate) const FRAME_HEADER_BYTES: usize = 4;

/// An encoded message of a known type. Clones share the bytes.
pub struct EncodedMessage<Message> {
    frame: Bytes,
    message: PhantomData<fn(&Message)>,
}

impl<Message: Serialize> EncodedMessage<Message> {
    /// Encodes `message`.
    pub fn new(message: &Message) -> Result<Self, rmp_serde::encode::Error> {
        let mut frame = vec![0; FRAME_HEADER_BYTES];
        rmp_serde::encode::write(&mut frame, message)?;
        // A message whose length exceeds the header's range is rejected when it is sent, by `FrameQueue::push`.
        let length = u32::try_from(frame.len() - FRAME_HEADER_BYTES).unwrap_or(u32::MAX);
        frame[..FRAME_HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
        Ok(Self {
            frame: Bytes::from(frame),
            message: PhantomData,
        })
    }
}

impl<Message> EncodedMessage<Message> {
    /// Returns the encoded message without the length header.
    pub fn bytes(&self) -> Bytes {
        self.frame.slice(FRAME_HEADER_BYTES..)
    }

    /// Returns the size of the encoded message in bytes, without the length header.
    pub fn size(&self) -> usize {
        self.frame.len() - FRAME_HEADER_BYTES
    }

    /// Returns the frame: the length header and the encoded message.
    pub(crate) fn frame(&self) -> Bytes {
        self.frame.clone()
    }
}

impl<Message> Clone for EncodedMessage<Message> {
    fn clone(&self) -> Self {
        Self {
            frame: self.frame.clone(),
            message: PhantomData,
        }
    }
}
