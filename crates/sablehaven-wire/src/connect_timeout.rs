//! The timeout for attempts to connect to a peer.

use std::time::Duration;

use tokio::time::timeout;

/// The initial timeout. It allows many round trips between regions, and is far less than the second after which the
/// system retransmits a lost first packet: a machine whose power has just returned did not receive the first one.
const INITIAL_TIMEOUT: Duration = Duration::from_millis(250);
/// The maximum timeout, for a peer that is slow but not down.
const MAXIMUM_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout for the next attempt to connect to a peer. It doubles with each attempt that times out, so that a slow
/// peer is reached eventually.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectTimeout {
    current: Duration,
}

impl Default for ConnectTimeout {
    fn default() -> Self {
        Self {
            current: INITIAL_TIMEOUT,
        }
    }
}

impl ConnectTimeout {
    /// Returns the timeout for the next attempt.
    pub fn current(&self) -> Duration {
        self.current
    }

    /// Runs one attempt. Returns its output, or `None` if it timed out. Any output resets the timeout, even if the
    /// peer refused the connection.
    pub async fn attempt<Connect: Future>(&mut self, connect: Connect) -> Option<Connect::Output> {
        match timeout(self.current, connect).await {
            Ok(output) => {
                *self = Self::default();
                Some(output)
            }
            Err(_) => {
                self.current = (self.current * 2).min(MAXIMUM_TIMEOUT);
                None
            }
        }
    }
}
