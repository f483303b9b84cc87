//! Which control replica is asked for a token, and for how long its answer is waited for, as a pure decision.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use sablehaven_types::Distance;

/// Time after which a replica that had no part of the quotas is asked first again: about that of an election.
const NO_PART_PAUSE: Duration = Duration::from_millis(500);
/// Weight of one new answer in the running averages.
const ANSWER_WEIGHT: f64 = 0.125;
/// Mean deviations beyond the mean for which an answer is waited for; few answers come later than that.
const DEVIATIONS: f64 = 4.0;

/// What is known of the control replicas as givers of tokens. Times are any steady time.
#[derive(Debug, Default)]
pub(super) struct TokenReplicas {
    known: BTreeMap<SocketAddr, ReplicaRecord>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ReplicaRecord {
    /// Mean time of its answers, and mean deviation from that.
    answers: Option<(f64, f64)>,
    /// Whether it left a request unanswered for its time, and has answered none since.
    is_silent: bool,
    no_part_until: Duration,
}

impl TokenReplicas {
    /// The replicas in the order in which they are asked: the nearest first, of equally near ones as they are given;
    /// those that are silent or have no part after all others. Where none has a part, only the first.
    pub(super) fn in_order(
        &self,
        now: Duration,
        connected: &[(SocketAddr, Distance)],
    ) -> Vec<(SocketAddr, Distance)> {
        let mut ordered = connected.to_vec();
        ordered.sort_by_key(|(replica, distance)| {
            let record = self.known.get(replica).copied().unwrap_or_default();
            (record.is_silent, record.no_part_until > now, *distance)
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
        let record = self.known.get(&replica);
        record.is_some_and(|record| record.no_part_until > now)
    }

    /// How long an answer is waited for before the next replica is asked too.
    pub(super) fn patience(&self, replica: SocketAddr, distance: Distance) -> Duration {
        let least = least_patience(distance);
        let answers = self.known.get(&replica).and_then(|record| record.answers);
        let Some((mean, deviation)) = answers else {
            return 2 * least;
        };
        least.max(Duration::from_secs_f64(mean + DEVIATIONS * deviation))
    }

    /// A replica has answered after this time.
    pub(super) fn answered(&mut self, replica: SocketAddr, after: Duration) {
        let record = self.known.entry(replica).or_default();
        record.is_silent = false;
        let after = after.as_secs_f64();
        let (mean, deviation) = record.answers.unwrap_or((after, after / 2.0));
        let deviation = deviation + ANSWER_WEIGHT * ((after - mean).abs() - deviation);
        record.answers = Some((mean + ANSWER_WEIGHT * (after - mean), deviation));
    }

    /// A replica has said that it has no part.
    pub(super) fn has_no_part(&mut self, now: Duration, replica: SocketAddr) {
        let record = self.known.entry(replica).or_default();
        record.no_part_until = now + NO_PART_PAUSE;
    }

    /// A replica has not answered in its time.
    pub(super) fn fell_silent(&mut self, replica: SocketAddr) {
        self.known.entry(replica).or_default().is_silent = true;
    }

    /// The connection to a replica has ended.
    pub(super) fn forget(&mut self, replica: SocketAddr) {
        self.known.remove(&replica);
    }
}

/// The least time for which an answer is waited for: a few ways there and back, and a turn of a busy process.
fn least_patience(distance: Distance) -> Duration {
    match distance {
        Distance::Zone => Duration::from_millis(8),
        Distance::Region => Duration::from_millis(12),
        Distance::Remote => Duration::from_millis(50),
    }
}

#[cfg(test)]
mod tests;
