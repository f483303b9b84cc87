//! How long an attempt to connect is waited for.

use std::time::Duration;

use tokio::time::timeout;

/// The first patience: many round trips between regions, and far less than the second after which
/// the system sends a lost first packet again. A machine that has just got its power back did not
/// hear the first one.
const FIRST_PATIENCE: Duration = Duration::from_millis(250);
/// The longest patience, for a peer that is slow and not away.
const LONGEST_PATIENCE: Duration = Duration::from_secs(2);

/// How long the next attempt to connect to one peer is waited for: longer after each one that had no
/// answer in time, so that a slow peer is reached in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectTimeout {
    next: Duration,
}

impl Default for ConnectTimeout {
    fn default() -> Self {
        Self {
            next: FIRST_PATIENCE,
        }
    }
}

impl ConnectTimeout {
    /// The time for the next attempt.
    pub fn limit(&self) -> Duration {
        self.next
    }

    /// One attempt: what came of `dial`, or `None` when it had no answer in time. An answer that only
    /// refuses is one too.
    pub async fn attempt<Dial: Future>(&mut self, dial: Dial) -> Option<Dial::Output> {
        match timeout(self.next, dial).await {
            Ok(dialled) => {
                *self = Self::default();
                Some(dialled)
            }
            Err(_) => {
                self.next = (self.next * 2).min(LONGEST_PATIENCE);
                None
            }
        }
    }
}
