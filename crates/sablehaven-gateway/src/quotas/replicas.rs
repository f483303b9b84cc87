//! Which control replica is asked for a token, and for how long its answer is waited for, as a pure decision.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use sablehaven_types::Distance;

/// Time after which a replica that had no part of the quotas is asked first again: about that of an election.
const NO_PART_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Weight of one new answer in the running averages.
const EWMA_WEIGHT: f64 = 0.125;
/// Mean deviations beyond the mean for which an answer is waited for; few answers come later than that.
const DEVIATION_FACTOR: f64 = 4.0;

/// What is known of the control replicas as givers of tokens. Times are any steady time.
#[derive(Debug, Default)]
pub(super) struct TokenReplicas {
    records: BTreeMap<SocketAddr, ReplicaRecord>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ReplicaRecord {
    /// Mean time of its answers, and mean deviation from that.
    reply_time_seconds: Option<(f64, f64)>,
    /// Whether it left a request unanswered for its time, and has answered none since.
    has_timed_out: bool,
    no_part_until: Duration,
}

impl TokenReplicas {
    /// The replicas in the order in which they are asked: the nearest first, of equally near ones as they are given;
    /// those that are silent or have no part after all others. Where none has a part, only the first.
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
            // One is enough to see when that changes; the request is refused sooner.
            ordered.truncate(1);
        }
        ordered
    }

    /// Whether a replica has said lately that it has no part.
    fn lacks_part(&self, now: Duration, replica: SocketAddr) -> bool {
        let record = self.records.get(&replica);
        record.is_some_and(|record| record.no_part_until > now)
    }

    /// How long an answer is waited for before the next replica is asked too.
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

    /// A replica has answered after this time.
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

    /// A replica has said that it has no part.
    pub(super) fn record_no_part(&mut self, now: Duration, replica: SocketAddr) {
        let record = self.records.entry(replica).or_default();
        record.no_part_until = now + NO_PART_RETRY_DELAY;
    }

    /// A replica has not answered in its time.
    pub(super) fn record_timeout(&mut self, replica: SocketAddr) {
        self.records.entry(replica).or_default().has_timed_out = true;
    }

    /// The connection to a replica has ended.
    pub(super) fn remove(&mut self, replica: SocketAddr) {
        self.records.remove(&replica);
    }
}

/// The least time for which an answer is waited for: a few ways there and back, and a turn of a busy process.
fn min_wait(distance: Distance) -> Duration {
    match distance {
        Distance::Zone => Duration::from_millis(8),
        Distance::Region => Duration::from_millis(12),
        Distance::Remote => Duration::from_millis(50),
    }
}

#[cfg(test)]
mod tests;
