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

/// Initial capacity for a body of several frames, in bytes.
const INITIAL_CAPACITY: usize = 4 * 1024;

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
    let mut held = client.hold_nothing();
    let mut first = Bytes::new();
    let mut collected = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(CollectError::Failed)?.into_data() else {
            // Trailers are not part of the body.
            continue;
        };
        let length = first.len() + collected.len() + data.len();
        if length > limit {
            return Err(CollectError::TooLarge { limit });
        }
        if length == data.len() {
            hold(&mut held, length, held_for).await?;
            first = data;
            continue;
        }
        if length > collected.capacity() {
            let left = body.size_hint().upper().unwrap_or(u64::MAX);
            let whole = length.saturating_add(usize::try_from(left).unwrap_or(usize::MAX));
            let capacity = next_capacity(collected.capacity(), length, whole.min(limit));
            hold(&mut held, capacity, held_for).await?;
            collected.reserve_exact(capacity - collected.len());
        }
        collected.extend_from_slice(&std::mem::take(&mut first));
        collected.extend_from_slice(&data);
    }
    let bytes = if collected.is_empty() {
        first
    } else {
        Bytes::from(collected)
    };
    Ok(HeldBody {
        bytes,
        _held: Arc::new(held),
    })
}

/// The capacity for at least `length` bytes, of a body of at most `max_length`. It doubles, so that a body is copied a few
/// times only however many frames it has.
fn next_capacity(capacity: usize, length: usize, max_length: usize) -> usize {
    let doubled = (2 * capacity).max(INITIAL_CAPACITY);
    doubled.min(max_length).max(length)
}

/// Holds `length` bytes in total.
async fn hold<BodyError: std::error::Error + 'static>(
    held: &mut HeldBytes,
    length: usize,
    held_for: HeldFor,
) -> Result<(), CollectError<BodyError>> {
    let additional = length.saturating_sub(held.length());
    let grown = held.grow(additional, held_for).await;
    grown.map_err(CollectError::NoMemoryLeft)
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
