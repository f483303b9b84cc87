//! Selects the control replica to connect to.

use std::{net::SocketAddr, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Maximum number of redirects to a leader that are followed without delay: one for a change of
/// leader, and one for a replica that has not learned of the change yet.
const MAX_IMMEDIATE_REDIRECTS: u32 = 2;

/// Maximum number of times that the delay is doubled.
const MAX_DOUBLINGS: u32 = 16;

/// Maximum number of known replicas: the configured ones and those learned from redirects.
const MAX_REPLICAS: usize = 64;

/// Outcome of a connection to a control replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEnd {
    /// The replica named another replica as the leader.
    Redirected(SocketAddr),
    /// The replica is stopping.
    GoAway,
    /// The replica sent no proof within the timeout.
    ProofTimeout,
    /// Connecting failed, or the connection broke.
    Failed,
}

/// Selects among the control replicas in turn, with exponential backoff and jitter. A named leader
/// is tried immediately.
#[derive(Debug)]
pub struct ReplicaSelector {
    replicas: Vec<SocketAddr>,
    next_index: usize,
    redirect_target: Option<SocketAddr>,
    immediate_redirects: u32,
    failures: u32,
    min_wait: Duration,
    max_wait: Duration,
    rng: StdRng,
}

impl ReplicaSelector {
    /// Selects among `replicas` with delays from `min_wait` to `max_wait`. `seed` seeds the jitter.
    pub fn new(
        replicas: Vec<SocketAddr>,
        min_wait: Duration,
        max_wait: Duration,
        seed: u64,
    ) -> Self {
        Self {
            replicas,
            next_index: 0,
            redirect_target: None,
            immediate_redirects: 0,
            failures: 0,
            min_wait,
            max_wait,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// The replica to connect to, or `None` if no replica is known.
    pub fn next_replica(&mut self) -> Option<SocketAddr> {
        if let Some(leader) = self.redirect_target.take() {
            return Some(leader);
        }
        let count = self.replicas.len();
        if count == 0 {
            return None;
        }
        let replica = self.replicas[self.next_index % count];
        self.next_index = (self.next_index + 1) % count;
        Some(replica)
    }

    /// Resets the backoff after the connected replica has proved that it is the leader.
    pub fn confirm_leader(&mut self) {
        self.failures = 0;
        self.immediate_redirects = 0;
    }

    /// Records the end of a connection. Returns the delay before the next attempt.
    pub fn connection_ended(&mut self, end: LinkEnd) -> Duration {
        if let LinkEnd::Redirected(leader) = end {
            self.add_replica(leader);
            self.redirect_target = Some(leader);
            self.immediate_redirects += 1;
            if self.immediate_redirects <= MAX_IMMEDIATE_REDIRECTS {
                return Duration::ZERO;
            }
        }
        if end == LinkEnd::GoAway && self.failures == 0 {
            self.failures = 1;
            return Duration::ZERO;
        }
        self.next_backoff()
    }

    fn next_backoff(&mut self) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        let upper = (self.min_wait * 2_u32.pow(doublings)).min(self.max_wait);
        upper.mul_f64(self.rng.random_range(0.5..=1.0))
    }

    fn add_replica(&mut self, replica: SocketAddr) {
        let known = self.replicas.contains(&replica);
        if !known && self.replicas.len() < MAX_REPLICAS {
            self.replicas.push(replica);
        }
    }
}
