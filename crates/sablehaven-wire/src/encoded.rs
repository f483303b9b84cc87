//! A message that is encoded once and sent on many connections.

use std::marker::PhantomData;

use bytes::Bytes;
use serde::Serialize;

/// One encoded message of a known type; clones share the bytes.
pub struct EncodedMessage<Message> {
    bytes: Bytes,
    message: PhantomData<fn(&Message)>,
}

impl<Message: Serialize> EncodedMessage<Message> {
    /// Encodes `message`.
    pub fn new(message: &Message) -> Result<Self, rmp_serde::encode::Error> {
        let encoded = rmp_serde::to_vec(message)?;
        Ok(Self {
            bytes: Bytes::from(encoded),
            message: PhantomData,
        })
    }
}

impl<Message> EncodedMessage<Message> {
    /// The encoded bytes, without the frame's length.
    pub fn bytes(&self) -> Bytes {
        self.bytes.clone()
    }

    /// The number of encoded bytes, without the frame's length.
    pub fn size(&self) -> usize {
        self.bytes.len()
    }
}

impl<Message> Clone for EncodedMessage<Message> {
    fn clone(&self) -> Self {
        Self {
            bytes: self.bytes.clone(),
            message: PhantomData,
        }
    }
}
