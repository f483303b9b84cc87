//! Which control replica to connect to next.

use std::{net::SocketAddr, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Hints to a leader that are followed at once before the next attempt has to wait: one for a
/// change of leader, and one for a replica that had not heard of it yet.
const MAXIMUM_QUICK_HINTS: u32 = 2;

/// Greatest number of doublings of the wait.
const MAXIMUM_DOUBLINGS: u32 = 16;

/// Replicas known at most; hints add to the configured ones.
const MAXIMUM_REPLICAS: usize = 64;

/// How a connection to a control replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEnd {
    /// The replica names the leader.
    LeaderIs(SocketAddr),
    /// The replica stops.
    GoAway,
    /// The replica gave no proof for too long.
    NoProof,
    /// The connection could not be made or broke.
    Failed,
}

/// The control replicas. Exponential backoff with jitter; a named leader is tried at once.
#[derive(Debug)]
pub struct ControlChoice {
    replicas: Vec<SocketAddr>,
    position: usize,
    leader: Option<SocketAddr>,
    quick_hints: u32,
    failures: u32,
    minimum: Duration,
    maximum: Duration,
    random: StdRng,
}

impl ControlChoice {
    /// A choice among `replicas` with waits from `minimum` to `maximum`; the seed makes the jitter.
    pub fn new(replicas: Vec<SocketAddr>, minimum: Duration, maximum: Duration, seed: u64) -> Self {
        Self {
            replicas,
            position: 0,
            leader: None,
            quick_hints: 0,
            failures: 0,
            minimum,
            maximum,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// The replica to connect to; `None` if none is known.
    pub fn next_replica(&mut self) -> Option<SocketAddr> {
        if let Some(leader) = self.leader.take() {
            return Some(leader);
        }
        let count = self.replicas.len();
        if count == 0 {
            return None;
        }
        let replica = self.replicas[self.position % count];
        self.position = (self.position + 1) % count;
        Some(replica)
    }

    /// The replica proved that it leads.
    pub fn leads(&mut self) {
        self.failures = 0;
        self.quick_hints = 0;
    }

    /// A connection ended; returns the wait before the next one.
    pub fn ended(&mut self, end: LinkEnd) -> Duration {
        if let LinkEnd::LeaderIs(leader) = end {
            self.learn(leader);
            self.leader = Some(leader);
            self.quick_hints += 1;
            if self.quick_hints <= MAXIMUM_QUICK_HINTS {
                return Duration::ZERO;
            }
        }
        if end == LinkEnd::GoAway && self.failures == 0 {
            self.failures = 1;
            return Duration::ZERO;
        }
        self.back_off()
    }

    fn back_off(&mut self) -> Duration {
        let doublings = self.failures.min(MAXIMUM_DOUBLINGS);
        self.failures += 1;
        let full = (self.minimum * 2_u32.pow(doublings)).min(self.maximum);
        full.mul_f64(self.random.random_range(0.5..=1.0))
    }

    fn learn(&mut self, replica: SocketAddr) {
        let known = self.replicas.contains(&replica);
        if !known && self.replicas.len() < MAXIMUM_REPLICAS {
            self.replicas.push(replica);
        }
    }
}
