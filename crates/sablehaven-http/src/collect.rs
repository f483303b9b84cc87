//! Reads a body into memory with a size limit, and holds its bytes in the budget of its client.

use std::{
    fmt::{Debug, Formatter},
    pin::pin,
    sync::Arc,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::client_budget::{ClientConnection, HeldBytes, HeldFor, NoMemoryLeft};

/// Memory of a parsed body, as a multiple of its size.
pub const PARSED_FACTOR: usize = 3;

/// Size of a segment, in bytes.
const SEGMENT_BYTES: usize = 16 * 1024;

/// A body in memory, whose bytes are held until all clones of it are dropped.
#[derive(Clone)]
pub struct HeldBody {
    bytes: Bytes,
    _held: Arc<HeldBytes>,
}

/// Why a body was not read.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum CollectError<BodyError: std::error::Error + 'static> {
    /// the body exceeds {limit} bytes
    TooLarge {
        /// The maximum size, in bytes.
        limit: usize,
    },
    /// {0}
    NoMemoryLeft(#[source] NoMemoryLeft),
    /// {0}
    Failed(#[source] BodyError),
}

/// Reads the body of a client's request, of at most `limit` bytes. In the meantime the connection may be closed to make
/// room for others.
///
/// # Errors
/// See [`CollectError`].
pub async fn collect_request<BodyType>(
    client: &ClientConnection,
    body: BodyType,
    limit: usize,
) -> Result<HeldBody, CollectError<BodyType::Error>>
where
    BodyType: Body<Data = Bytes>,
    BodyType::Error: std::error::Error + 'static,
{
    let _reading = client.start_reading();
    collect_body(client, HeldFor::Request, body, limit).await
}

/// Reads a body of at most `limit` bytes for a client. A body of a single frame is not copied.
///
/// The frames of a larger body are copied as they arrive and then released. Each refers to the read buffer that it arrived
/// in, so a sender of tiny chunks could otherwise make the process hold many times the size of the body.
///
/// # Errors
/// See [`CollectError`].
pub async fn collect_body<BodyType>(
    client: &ClientConnection,
    held_for: HeldFor,
    body: BodyType,
    limit: usize,
) -> Result<HeldBody, CollectError<BodyType::Error>>
where
    BodyType: Body<Data = Bytes>,
    BodyType::Error: std::error::Error + 'static,
{
    let mut body = pin!(body);
    let mut segments = Segments::new(client);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(CollectError::Failed)?.into_data() else {
            // Trailers are not part of the body.
            continue;
        };
        if segments.length + data.len() > limit {
            return Err(CollectError::TooLarge { limit });
        }
        let pushed = segments.push(data, held_for).await;
        pushed.map_err(CollectError::NoMemoryLeft)?;
    }
    let joined = segments.join(held_for).await;
    joined.map_err(CollectError::NoMemoryLeft)
}

/// The frames of a body, copied into segments of equal size. What one body releases thus fits the next one, however many
/// bodies stop at whatever length.
struct Segments {
    /// The first frame, until another one follows.
    first: Bytes,
    segments: Vec<Vec<u8>>,
    length: usize,
    held: HeldBytes,
}

impl Segments {
    fn new(client: &ClientConnection) -> Self {
        Self {
            first: Bytes::new(),
            segments: Vec::new(),
            length: 0,
            held: client.hold_nothing(),
        }
    }

    async fn push(&mut self, data: Bytes, held_for: HeldFor) -> Result<(), NoMemoryLeft> {
        let is_first = self.length == 0;
        self.length += data.len();
        if is_first {
            self.held.grow(data.len(), held_for).await?;
            self.first = data;
            return Ok(());
        }
        let first = std::mem::take(&mut self.first);
        self.copy(&first, held_for).await?;
        self.copy(&data, held_for).await
    }

    async fn copy(&mut self, mut data: &[u8], held_for: HeldFor) -> Result<(), NoMemoryLeft> {
        while !data.is_empty() {
            let is_full = |segment: &Vec<u8>| segment.len() == SEGMENT_BYTES;
            if self.segments.last().is_none_or(is_full) {
                self.held.grow(SEGMENT_BYTES, held_for).await?;
                self.segments.push(Vec::with_capacity(SEGMENT_BYTES));
            }
            if let Some(segment) = self.segments.last_mut() {
                let length = data.len().min(SEGMENT_BYTES - segment.len());
                segment.extend_from_slice(&data[..length]);
                data = &data[length..];
            }
        }
        Ok(())
    }

    /// The whole body, in one piece.
    async fn join(mut self, held_for: HeldFor) -> Result<HeldBody, NoMemoryLeft> {
        let bytes = if self.segments.is_empty() {
            self.first
        } else {
            self.held.grow(self.length, held_for).await?;
            Bytes::from(self.segments.concat())
        };
        drop(self.segments);
        self.held.shrink(self.length);
        Ok(HeldBody {
            bytes,
            _held: Arc::new(self.held),
        })
    }
}

impl Debug for HeldBody {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        self.bytes.fmt(formatter)
    }
}

impl HeldBody {
    /// The bytes of the body.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Converts to bytes that are held until all clones and slices of them are dropped.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
