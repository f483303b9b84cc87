//! Reads a body into memory with a size limit.

use std::pin::pin;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

/// Why a body was not read.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum CollectError<BodyError: std::error::Error + 'static> {
    /// the body exceeds {limit} bytes
    TooLarge {
        /// The maximum size, in bytes.
        limit: usize,
    },
    /// {0}
    Failed(#[source] BodyError),
}

/// Reads a body of at most `limit` bytes. A body of a single frame is not copied.
///
/// The frames of a larger body are copied as they arrive and then released. Each refers to the read buffer that it arrived
/// in, so a sender of tiny chunks could otherwise make the process hold many times the size of the body.
///
/// # Errors
/// See [`CollectError`].
pub async fn collect_body<BodyType>(
    body: BodyType,
    limit: usize,
) -> Result<Bytes, CollectError<BodyType::Error>>
where
    BodyType: Body<Data = Bytes>,
    BodyType::Error: std::error::Error + 'static,
{
    let mut body = pin!(body);
    let mut first = Bytes::new();
    let mut collected = BytesMut::new();
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
            first = data;
            continue;
        }
        collected.extend_from_slice(&std::mem::take(&mut first));
        collected.extend_from_slice(&data);
    }
    if collected.is_empty() {
        return Ok(first);
    }
    Ok(collected.freeze())
}

#[cfg(test)]
mod tests;
