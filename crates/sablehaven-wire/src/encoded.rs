//! A message that is encoded once and sent on many connections.

use std::marker::PhantomData;

use bytes::Bytes;
use serde::Serialize;

/// Bytes of the length in front of each frame.
pub(crate) const FRAME_HEADER_BYTES: usize = 4;

/// One encoded message of a known type; clones share the bytes.
pub struct EncodedMessage<Message> {
    frame: Bytes,
    message: PhantomData<fn(&Message)>,
}

impl<Message: Serialize> EncodedMessage<Message> {
    /// Encodes `message`.
    pub fn new(message: &Message) -> Result<Self, rmp_serde::encode::Error> {
        let mut frame = vec![0; FRAME_HEADER_BYTES];
        rmp_serde::encode::write(&mut frame, message)?;
        // A message too long for the length is refused when it is sent; see `FrameQueue::push`.
        let length = u32::try_from(frame.len() - FRAME_HEADER_BYTES).unwrap_or(u32::MAX);
        frame[..FRAME_HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
        Ok(Self {
            frame: Bytes::from(frame),
            message: PhantomData,
        })
    }
}

impl<Message> EncodedMessage<Message> {
    /// The encoded message, without the frame's length.
    pub fn bytes(&self) -> Bytes {
        self.frame.slice(FRAME_HEADER_BYTES..)
    }

    /// The number of encoded bytes, without the frame's length.
    pub fn size(&self) -> usize {
        self.frame.len() - FRAME_HEADER_BYTES
    }

    /// The whole frame.
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
