//! What a gateway has seen of one server, without sockets: how slow it is, whether it stands still,
//! and whether it is left alone for a while.

use std::{collections::BTreeMap, time::Duration};

use super::failure_rate::FailureRate;

/// Weight of one new answer in the running slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;
/// The same of one that took much longer than the other parts of its query, whose work is the same.
const OUTLIER_WEIGHT: f64 = 0.5;
/// So many times longer is much longer.
const OUTLIER_RATIO: f64 = 1.5;
/// Time after which half of a server's slowness is forgotten when nothing is heard of it: it must be
/// tried again, or a server that was slow once would be avoided for ever.
const FORGETTING_HALF_LIFE: Duration = Duration::from_millis(1_500);
/// How often that time is doubled for a server that was slow again each time it was tried: a query over
/// many shards would else try some slow server every time.
const MOST_DOUBLINGS: u32 = 2;
/// The least time that others are taken to have needed, in seconds.
const LEAST_REFERENCE_S: f64 = 1e-4;
/// The greatest slowness that is told apart.
const MAXIMUM_SLOWNESS: f64 = 20.0;
/// The first rest of a server that failed; doubled at each further failure.
const FIRST_REST: Duration = Duration::from_millis(300);
/// The longest rest.
const LONGEST_REST: Duration = Duration::from_secs(2);
/// Failures in a row that send a server to rest.
const FAILURES_TO_REST: u32 = 2;
/// A silence of this many typical times means that a server stands still.
const STILL_RATIO: f64 = 2.0;
/// A server stands still only after a silence of this at least.
const LEAST_STILL: Duration = Duration::from_millis(12);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The server answered the request.
    Answered,
    /// The server answered that it failed.
    ServerFailed,
    /// The server is full: it turned the request away.
    TurnedAway,
    /// The connection failed, or what came was no answer.
    Failed,
    /// Nothing came in all the time that there was.
    Silent,
    /// The attempt was not needed any more.
    Cancelled,
}

impl Ending {
    /// The name that metrics use.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::ServerFailed => "server_failed",
            Self::TurnedAway => "turned_away",
            Self::Failed => "failed",
            Self::Silent => "silent",
            Self::Cancelled => "cancelled",
        }
    }

    /// How far the server failed the request, 0 to 1; `None` when nothing was learned of that.
    fn failed(self) -> Option<f64> {
        match self {
            Self::Answered => Some(0.0),
            Self::ServerFailed | Self::Failed | Self::Silent | Self::TurnedAway => Some(1.0),
            Self::Cancelled => None,
        }
    }
}

/// An attempt under way.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    sent_at: Duration,
    /// What this request usually takes at a server, with the way there.
    expected: Duration,
}

/// Names a kind of request: those of one route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RouteId(pub(crate) usize);

/// What an attempt took, and what it is to be measured against; both without the way there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Taken {
    pub(crate) taken: Duration,
    /// What the request usually takes at any server.
    pub(crate) usual: Duration,
    /// What the other parts of the same query took, where they are known.
    pub(crate) pace: Option<Duration>,
}

impl Taken {
    /// How many times the reference it took.
    fn ratio(&self, reference: Duration) -> f64 {
        self.taken.as_secs_f64() / reference.as_secs_f64().max(LEAST_REFERENCE_S)
    }

    /// Whether it took much longer than the other parts of its query, whose work is the same.
    fn is_outlier(&self) -> bool {
        self.pace
            .is_some_and(|pace| self.ratio(pace) > OUTLIER_RATIO)
    }
}

/// What answers take, relative to what is usual for their kind of request; 1 is usual.
#[derive(Clone, Copy, Debug)]
struct Slowness {
    ratio: f64,
    at: Duration,
    /// Time after which half of it is forgotten.
    half_life: Duration,
}

impl Slowness {
    /// What is long ago is half forgotten.
    fn now(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let kept = 0.5_f64.powf(age / self.half_life.as_secs_f64());
        1.0 + (self.ratio - 1.0) * kept
    }
}

/// What a gateway has seen of one server. Times are any steady time.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerHealth {
    slowness: Option<Slowness>,
    outstanding: BTreeMap<u64, Outstanding>,
    next_attempt: u64,
    last_answer: Duration,
    failures: u32,
    rests_until: Duration,
    /// Whether an attempt takes longer than it should; until the next answer.
    is_suspected: bool,
    slow_tries: SlowTries,
    failure_rate: FailureRate,
}

/// Tries in a row that found the server much slower than the others.
#[derive(Clone, Copy, Debug, Default)]
struct SlowTries {
    count: u32,
    last_at: Duration,
}

impl SlowTries {
    /// Counts a try that was sent at `sent_at` and ends now. Tries that were sent before the one before
    /// them ended are one: a server that stood still for a moment answers all of them late.
    fn count(&mut self, now: Duration, sent_at: Duration, was_slow: bool) {
        if !was_slow {
            self.count = 0;
            return;
        }
        if self.count == 0 || sent_at >= self.last_at {
            self.count = self.count.saturating_add(1);
        }
        self.last_at = now;
    }

    fn half_life(&self) -> Duration {
        let doublings = self.count.saturating_sub(1).min(MOST_DOUBLINGS);
        FORGETTING_HALF_LIFE * 2_u32.pow(doublings)
    }
}

impl ServerHealth {
    /// An attempt is sent; its number is given back to [`Self::ended`].
    pub(crate) fn sent(&mut self, now: Duration, expected: Duration) -> u64 {
        self.next_attempt += 1;
        let outstanding = Outstanding {
            sent_at: now,
            expected,
        };
        self.outstanding.insert(self.next_attempt, outstanding);
        self.next_attempt
    }

    /// An attempt has ended.
    pub(crate) fn ended(&mut self, now: Duration, attempt: u64, ending: Ending, taken: &Taken) {
        let ended = self.outstanding.remove(&attempt);
        let sent_at = ended.map_or(now, |ended| ended.sent_at);
        if let Some(failed) = ending.failed() {
            self.failure_rate.record(now, failed);
        }
        match ending {
            Ending::Answered => {
                self.last_answer = now;
                self.is_suspected = false;
                self.failures = 0;
                self.rests_until = Duration::ZERO;
                self.learn_answer(now, sent_at, taken);
            }
            Ending::ServerFailed => {
                self.last_answer = now;
                self.is_suspected = false;
            }
            Ending::TurnedAway => {
                self.last_answer = now;
                self.is_suspected = false;
                let slowness = self.slowness(now) + 2.0;
                self.learn(now, slowness, SLOWNESS_WEIGHT);
            }
            Ending::Failed => self.fail(now, 1),
            Ending::Silent => self.fail(now, FAILURES_TO_REST),
            Ending::Cancelled => self.learn_at_least(now, sent_at, taken),
        }
    }

    /// Measured against the usual, so that a queue at all servers shows too. That it takes longer than
    /// the other parts of the same query is the server's own doing and is believed sooner.
    fn learn_answer(&mut self, now: Duration, sent_at: Duration, taken: &Taken) {
        let is_outlier = taken.is_outlier();
        self.slow_tries.count(now, sent_at, is_outlier);
        let weight = if is_outlier {
            OUTLIER_WEIGHT
        } else {
            SLOWNESS_WEIGHT
        };
        self.learn(now, taken.ratio(taken.usual), weight);
    }

    /// An attempt that was cancelled tells what an answer would have taken at the least; that is news
    /// only of a server that is slower than was known.
    fn learn_at_least(&mut self, now: Duration, sent_at: Duration, taken: &Taken) {
        let ratio = taken.ratio(taken.usual);
        if !taken.is_outlier() || ratio <= self.slowness(now) {
            return;
        }
        self.slow_tries.count(now, sent_at, true);
        self.learn(now, ratio, OUTLIER_WEIGHT);
    }

    fn learn(&mut self, now: Duration, slowness: f64, weight: f64) {
        let known = self.slowness(now);
        let slowness = slowness.min(MAXIMUM_SLOWNESS);
        let ratio = known + weight * (slowness - known);
        self.slowness = Some(Slowness {
            ratio,
            at: now,
            half_life: self.slow_tries.half_life(),
        });
    }

    fn fail(&mut self, now: Duration, weight: u32) {
        self.failures = self.failures.saturating_add(weight);
        if self.failures < FAILURES_TO_REST {
            return;
        }
        let doublings = (self.failures - FAILURES_TO_REST).min(4);
        let rest = (FIRST_REST * 2_u32.pow(doublings)).min(LONGEST_REST);
        self.rests_until = now + rest;
    }

    /// What answers take, relative to the usual.
    pub(crate) fn slowness(&self, now: Duration) -> f64 {
        self.slowness.map_or(1.0, |known| known.now(now))
    }

    /// How likely the server is to fail a request, 0 to 1.
    pub(crate) fn failure_rate(&self, now: Duration) -> f64 {
        self.failure_rate.now(now)
    }

    /// Whether the server is left alone after failures.
    pub(crate) fn is_resting(&self, now: Duration) -> bool {
        now < self.rests_until
    }

    /// Whether the latest attempt that told anything of the server failed.
    pub(crate) fn has_failed_last(&self) -> bool {
        self.failures > 0
    }

    /// Attempts under way.
    pub(crate) fn outstanding(&self) -> usize {
        self.outstanding.len()
    }

    /// When the server will count as standing still, if nothing comes before: it owes answers and
    /// has given none since the oldest of them was asked for, for longer than it should need.
    pub(crate) fn stalls_at(&self, now: Duration) -> Option<Duration> {
        let oldest = self.outstanding.values().min_by_key(|each| each.sent_at)?;
        let heard_at = self.last_answer.max(oldest.sent_at);
        let slowness = self.slowness(now).clamp(1.0, 3.0);
        let patience = oldest
            .expected
            .mul_f64(STILL_RATIO * slowness)
            .max(LEAST_STILL);
        Some(heard_at + patience)
    }

    /// An attempt takes longer than it should: the server stands still until it answers something.
    pub(crate) fn mark_suspected(&mut self) {
        self.is_suspected = true;
    }

    /// Whether the server stands still.
    pub(crate) fn stands_still(&self, now: Duration) -> bool {
        let is_suspected = self.is_suspected && !self.outstanding.is_empty();
        is_suspected || self.stalls_at(now).is_some_and(|at| at <= now)
    }
}

#[cfg(test)]
mod tests;
