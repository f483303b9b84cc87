//! Tracks the health of one server as this gateway sees it: its service time, its failures, whether it is stalled and
//! whether it is in backoff. Free of I/O.

use std::{collections::BTreeMap, time::Duration};

use super::failure_rate::FailureRate;

/// Weight of a new reply in the moving average of the service time ratio.
const REPLY_WEIGHT: f64 = 0.25;
/// Weight of a reply that took much longer than the other parts of its query, whose work is the same.
const OUTLIER_WEIGHT: f64 = 0.5;
/// A part is an outlier if its service time exceeds the median of its query by this factor.
const OUTLIER_RATIO: f64 = 1.5;
/// Half-life of a server's service time ratio while it sends no replies. The ratio decays towards 1 so that the server
/// is tried again; otherwise a server that was slow once would be avoided forever.
const RATIO_HALF_LIFE: Duration = Duration::from_millis(1_500);
/// How often the half-life is doubled for a server that was slow again each time it was tried. Otherwise a query over
/// many shards would try some slow server every time.
const MAX_HALF_LIFE_DOUBLINGS: u32 = 2;
/// Lower bound of the time that a service time is compared with, in seconds.
const MIN_REFERENCE_SECONDS: f64 = 1e-4;
/// Upper bound of the service time ratio.
const MAX_SERVICE_TIME_RATIO: f64 = 20.0;
/// The first backoff of a server that failed; doubled at each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);
/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Consecutive failures that put a server in backoff.
const FAILURES_BEFORE_BACKOFF: u32 = 2;
/// Multiple of the expected time after which a server that has not replied is stalled.
const STALL_RATIO: f64 = 2.0;
/// Lower bound of the time without a reply after which a server is stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(12);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptOutcome {
    /// The server replied with success.
    Succeeded,
    /// The server replied with an error.
    ErrorReply,
    /// The server rejected the request because it is at capacity.
    Rejected,
    /// The connection failed or the reply was invalid.
    TransportFailed,
    /// The attempt was cancelled after a long time without a reply.
    TimedOut,
    /// The attempt was no longer needed.
    Cancelled,
}

impl AttemptOutcome {
    /// The label value in metrics.
    pub(crate) fn metric_label(self) -> &'static str {
        match self {
            Self::Succeeded => "answered",
            Self::ErrorReply => "server_failed",
            Self::Rejected => "turned_away",
            Self::TransportFailed => "failed",
            Self::TimedOut => "silent",
            Self::Cancelled => "cancelled",
        }
    }

    /// 1 if the server failed the request, 0 if it did not, `None` if the outcome says nothing about the server.
    fn failure(self) -> Option<f64> {
        match self {
            Self::Succeeded => Some(0.0),
            Self::ErrorReply | Self::TransportFailed | Self::TimedOut | Self::Rejected => Some(1.0),
            Self::Cancelled => None,
        }
    }
}

/// An attempt in progress.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    sent_at: Duration,
    /// The typical service time of the route plus the network round trip.
    expected: Duration,
}

/// Identifies a route. The requests of one route count as one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RouteId(pub(crate) usize);

/// The service time of an attempt and what it is compared with, all excluding the network round trip.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptTiming {
    /// The service time; for a cancelled attempt, the time until it was cancelled.
    pub(crate) service_time: Duration,
    /// The typical service time of the route, over all servers.
    pub(crate) typical: Duration,
    /// The median service time of the other parts of the same query, if enough of them have arrived.
    pub(crate) query_median: Option<Duration>,
}

impl AttemptTiming {
    /// The service time as a multiple of `reference`.
    fn ratio(&self, reference: Duration) -> f64 {
        self.service_time.as_secs_f64() / reference.as_secs_f64().max(MIN_REFERENCE_SECONDS)
    }

    /// Whether the attempt took much longer than the other parts of its query, whose work is the same.
    fn is_outlier(&self) -> bool {
        self.query_median
            .is_some_and(|query_median| self.ratio(query_median) > OUTLIER_RATIO)
    }
}

/// Moving average of service times, relative to the typical service time of their routes; 1 is typical.
#[derive(Clone, Copy, Debug)]
struct ServiceTimeRatio {
    ratio: f64,
    updated_at: Duration,
    /// Half-life of the difference from 1.
    half_life: Duration,
}

impl ServiceTimeRatio {
    /// The ratio at `now`, decayed towards 1 since the last update.
    fn at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let remaining_fraction = 0.5_f64.powf(age / self.half_life.as_secs_f64());
        1.0 + (self.ratio - 1.0) * remaining_fraction
    }
}

/// The health of one server as this gateway sees it. All times are of one monotonic clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerHealth {
    service_time_ratio: Option<ServiceTimeRatio>,
    outstanding: BTreeMap<u64, Outstanding>,
    last_attempt_number: u64,
    last_reply_at: Duration,
    /// Consecutive failures; a timeout counts as [`FAILURES_BEFORE_BACKOFF`] of them.
    consecutive_failures: u32,
    backoff_until: Duration,
    /// Whether an attempt takes longer than expected; reset by the next reply.
    is_suspected: bool,
    slow_streak: SlowStreak,
    failure_rate: FailureRate,
}

/// Consecutive attempts that found the server much slower than the others.
#[derive(Clone, Copy, Debug, Default)]
struct SlowStreak {
    count: u32,
    last_end: Duration,
}

impl SlowStreak {
    /// Counts an attempt that was sent at `sent_at` and ends now. Attempts that were sent before the previous slow one
    /// ended count as one with it, because a server that stalled for a moment replies late to all of them.
    fn count(&mut self, now: Duration, sent_at: Duration, was_slow: bool) {
        if !was_slow {
            self.count = 0;
            return;
        }
        if self.count == 0 || sent_at >= self.last_end {
            self.count = self.count.saturating_add(1);
        }
        self.last_end = now;
    }

    fn half_life(&self) -> Duration {
        let doublings = self.count.saturating_sub(1).min(MAX_HALF_LIFE_DOUBLINGS);
        RATIO_HALF_LIFE * 2_u32.pow(doublings)
    }
}

impl ServerHealth {
    /// Records that an attempt is sent. Returns its number for [`Self::record_end`].
    pub(crate) fn record_sent(&mut self, now: Duration, expected: Duration) -> u64 {
        self.last_attempt_number += 1;
        let outstanding = Outstanding {
            sent_at: now,
            expected,
        };
        self.outstanding
            .insert(self.last_attempt_number, outstanding);
        self.last_attempt_number
    }

    /// Records the end of an attempt.
    pub(crate) fn record_end(
        &mut self,
        now: Duration,
        attempt_number: u64,
        outcome: AttemptOutcome,
        timing: &AttemptTiming,
    ) {
        let ended = self.outstanding.remove(&attempt_number);
        let sent_at = ended.map_or(now, |ended| ended.sent_at);
        if let Some(failure) = outcome.failure() {
            self.failure_rate.record(now, failure);
        }
        match outcome {
            AttemptOutcome::Succeeded => {
                self.last_reply_at = now;
                self.is_suspected = false;
                self.consecutive_failures = 0;
                self.backoff_until = Duration::ZERO;
                self.record_reply(now, sent_at, timing);
            }
            AttemptOutcome::ErrorReply => {
                self.last_reply_at = now;
                self.is_suspected = false;
            }
            AttemptOutcome::Rejected => {
                self.last_reply_at = now;
                self.is_suspected = false;
                let service_time_ratio = self.service_time_ratio(now) + 2.0;
                self.update_service_time_ratio(now, service_time_ratio, REPLY_WEIGHT);
            }
            AttemptOutcome::TransportFailed => self.record_failure(now, 1),
            AttemptOutcome::TimedOut => self.record_failure(now, FAILURES_BEFORE_BACKOFF),
            AttemptOutcome::Cancelled => self.record_cancellation(now, sent_at, timing),
        }
    }

    /// Updates the service time ratio from a successful reply. It is relative to the typical service time, so that
    /// queueing at all servers shows too. If the reply took longer than the other parts of the same query, the cause is
    /// this server, so the reply gets a higher weight.
    fn record_reply(&mut self, now: Duration, sent_at: Duration, timing: &AttemptTiming) {
        let is_outlier = timing.is_outlier();
        self.slow_streak.count(now, sent_at, is_outlier);
        let weight = if is_outlier {
            OUTLIER_WEIGHT
        } else {
            REPLY_WEIGHT
        };
        self.update_service_time_ratio(now, timing.ratio(timing.typical), weight);
    }

    /// Updates the service time ratio from a cancelled attempt. Its duration is a lower bound of the service time, so
    /// it is used only if it shows that the server is slower than known.
    fn record_cancellation(&mut self, now: Duration, sent_at: Duration, timing: &AttemptTiming) {
        let ratio = timing.ratio(timing.typical);
        if !timing.is_outlier() || ratio <= self.service_time_ratio(now) {
            return;
        }
        self.slow_streak.count(now, sent_at, true);
        self.update_service_time_ratio(now, ratio, OUTLIER_WEIGHT);
    }

    fn update_service_time_ratio(&mut self, now: Duration, service_time_ratio: f64, weight: f64) {
        let current = self.service_time_ratio(now);
        let service_time_ratio = service_time_ratio.min(MAX_SERVICE_TIME_RATIO);
        let ratio = current + weight * (service_time_ratio - current);
        self.service_time_ratio = Some(ServiceTimeRatio {
            ratio,
            updated_at: now,
            half_life: self.slow_streak.half_life(),
        });
    }

    fn record_failure(&mut self, now: Duration, weight: u32) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(weight);
        if self.consecutive_failures < FAILURES_BEFORE_BACKOFF {
            return;
        }
        let doublings = (self.consecutive_failures - FAILURES_BEFORE_BACKOFF).min(4);
        let backoff = (INITIAL_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
        self.backoff_until = now + backoff;
    }

    /// Service time of replies relative to the typical service time of their routes; 1 is typical.
    pub(crate) fn service_time_ratio(&self, now: Duration) -> f64 {
        self.service_time_ratio
            .map_or(1.0, |current| current.at(now))
    }

    /// Probability that the server fails a request, 0 to 1.
    pub(crate) fn failure_rate(&self, now: Duration) -> f64 {
        self.failure_rate.at(now)
    }

    /// Whether the server is in backoff after failures.
    pub(crate) fn is_in_backoff(&self, now: Duration) -> bool {
        now < self.backoff_until
    }

    /// Whether an attempt has ended in a transport failure or a timeout since the last successful reply.
    pub(crate) fn has_failed_since_success(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// The number of attempts in progress.
    pub(crate) fn outstanding(&self) -> usize {
        self.outstanding.len()
    }

    /// When the server counts as stalled if no reply arrives before; `None` if it owes no replies. A server is stalled
    /// if it owes replies and has sent none, since the oldest of these requests was sent, for longer than expected.
    pub(crate) fn stalls_at(&self, now: Duration) -> Option<Duration> {
        let oldest = self
            .outstanding
            .values()
            .min_by_key(|attempt| attempt.sent_at)?;
        let last_progress_at = self.last_reply_at.max(oldest.sent_at);
        let service_time_ratio = self.service_time_ratio(now).clamp(1.0, 3.0);
        let stall_timeout = oldest
            .expected
            .mul_f64(STALL_RATIO * service_time_ratio)
            .max(MIN_STALL_TIMEOUT);
        Some(last_progress_at + stall_timeout)
    }

    /// Marks the server as stalled until its next reply, because an attempt takes longer than expected.
    pub(crate) fn mark_suspected(&mut self) {
        self.is_suspected = true;
    }

    /// Whether the server is stalled.
    pub(crate) fn is_stalled(&self, now: Duration) -> bool {
        let is_suspected = self.is_suspected && !self.outstanding.is_empty();
        is_suspected || self.stalls_at(now).is_some_and(|at| at <= now)
    }
}

#[cfg(test)]
mod tests;
