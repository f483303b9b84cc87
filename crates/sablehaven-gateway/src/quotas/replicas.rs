//! Selects the control replica to request a token from, and how long to wait for its reply. Does no I/O and
//! reads no clock.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use sablehaven_types::Distance;

/// Time after which a replica that held no part of the quotas is asked first again. It is about the duration of
/// an election.
const NO_PART_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Weight of one new sample in the moving averages.
const EWMA_WEIGHT: f64 = 0.125;
/// Number of mean deviations beyond the mean for which a reply is awaited. Few replies arrive later than that.
const DEVIATION_FACTOR: f64 = 4.0;

/// The reply times and failures of each control replica as a source of tokens. All times are readings of one
/// monotonic clock.
#[derive(Debug, Default)]
pub(super) struct TokenReplicas {
    records: BTreeMap<SocketAddr, ReplicaRecord>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ReplicaRecord {
    /// Mean reply time and mean deviation from it, in seconds.
    reply_time_seconds: Option<(f64, f64)>,
    /// Whether its last request timed out and it has replied to none since.
    has_timed_out: bool,
    no_part_until: Duration,
}

impl TokenReplicas {
    /// Returns the replicas in the order in which they are asked: the nearest first, equally distant ones in the
    /// given order. Replicas that have timed out or that hold no part of the quotas come after all others. If
    /// every replica has recently replied that it holds no part, only the first is returned.
    pub(super) fn ordered(
        &self,
        now: Duration,
        connected: &[(SocketAddr, Distance)],
    ) -> Vec<(SocketAddr, Distance)> {
        let mut ordered = connected.to_vec();
        ordered.sort_by_key(|(replica, distance)| {
            let record = self.records.get(replica).copied().unwrap_or_default();
            (record.has_timed_out, record.no_part_until > now, *distance)
        });
        if connected
            .iter()
            .all(|(replica, _)| self.lacks_part(now, *replica))
        {
            // One replica is enough to notice when that changes, and the request is refused sooner.
            ordered.truncate(1);
        }
        ordered
    }

    /// Whether a replica has recently replied that it holds no part of the quotas.
    fn lacks_part(&self, now: Duration, replica: SocketAddr) -> bool {
        let record = self.records.get(&replica);
        record.is_some_and(|record| record.no_part_until > now)
    }

    /// How long to wait for a reply before the next replica is asked as well.
    pub(super) fn max_wait(&self, replica: SocketAddr, distance: Distance) -> Duration {
        let min_wait = min_wait(distance);
        let reply_time_seconds = self
            .records
            .get(&replica)
            .and_then(|record| record.reply_time_seconds);
        let Some((mean, deviation)) = reply_time_seconds else {
            return 2 * min_wait;
        };
        min_wait.max(Duration::from_secs_f64(mean + DEVIATION_FACTOR * deviation))
    }

    /// Records that a replica replied after `reply_time`.
    pub(super) fn record_reply(&mut self, replica: SocketAddr, reply_time: Duration) {
        let record = self.records.entry(replica).or_default();
        record.has_timed_out = false;
        let reply_seconds = reply_time.as_secs_f64();
        let (mean, deviation) = record
            .reply_time_seconds
            .unwrap_or((reply_seconds, reply_seconds / 2.0));
        let deviation = deviation + EWMA_WEIGHT * ((reply_seconds - mean).abs() - deviation);
        record.reply_time_seconds = Some((mean + EWMA_WEIGHT * (reply_seconds - mean), deviation));
    }

    /// Records that a replica replied that it holds no part of the quotas.
    pub(super) fn record_no_part(&mut self, now: Duration, replica: SocketAddr) {
        let record = self.records.entry(replica).or_default();
        record.no_part_until = now + NO_PART_RETRY_DELAY;
    }

    /// Records that a replica did not reply in time.
    pub(super) fn record_timeout(&mut self, replica: SocketAddr) {
        self.records.entry(replica).or_default().has_timed_out = true;
    }

    /// Removes what is known of a replica whose connection has ended.
    pub(super) fn remove(&mut self, replica: SocketAddr) {
        self.records.remove(&replica);
    }
}

/// Minimum time to wait for a reply: a few network round trips and one scheduling turn of a busy process.
fn min_wait(distance: Distance) -> Duration {
    match distance {
        Distance::Zone => Duration::from_millis(8),
        Distance::Region => Duration::from_millis(12),
        Distance::Remote => Duration::from_millis(50),
    }
}

#[cfg(test)]
mod tests;
