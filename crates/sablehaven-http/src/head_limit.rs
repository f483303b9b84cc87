//! Limits how many bytes of a response may precede its body. hyper limits the size of a head, but skips any number of
//! interim responses (1xx) before it.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use crate::observed_stream::StreamObserver;

/// Maximum size of a response's head together with the interim responses before it.
const MAX_BYTES_BEFORE_BODY: usize = 64 * 1024;
/// The remaining bytes of a limit that is lifted.
const UNLIMITED: usize = usize::MAX;

/// A limit on the bytes that precede the body of a response, shared by a connection's stream and its user. Cheap to
/// clone.
#[derive(Clone, Debug)]
pub struct HeadLimit {
    remaining: Arc<AtomicUsize>,
}

impl Default for HeadLimit {
    fn default() -> Self {
        Self {
            remaining: Arc::new(AtomicUsize::new(UNLIMITED)),
        }
    }
}

impl HeadLimit {
    /// Limits what arrives from now on. Called before a request is sent.
    pub fn arm(&self) {
        self.remaining
            .store(MAX_BYTES_BEFORE_BODY, Ordering::Relaxed);
    }

    /// Lifts the limit. Called when the head of the response has arrived.
    pub fn lift(&self) {
        self.remaining.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Counts bytes that have arrived.
    fn count(&self, length: usize) -> io::Result<()> {
        let remaining = self.remaining.load(Ordering::Relaxed);
        if remaining == UNLIMITED {
            return Ok(());
        }
        let Some(remaining) = remaining.checked_sub(length) else {
            return Err(io::Error::other(format!(
                "more than {MAX_BYTES_BEFORE_BODY} bytes before the body of the response"
            )));
        };
        self.remaining.store(remaining, Ordering::Relaxed);
        Ok(())
    }
}

impl StreamObserver for HeadLimit {
    fn bytes_read(&self, length: usize) -> io::Result<()> {
        self.count(length)
    }
}

#[cfg(test)]
mod tests;
