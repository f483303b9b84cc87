//! Linearizable reads without a log entry: the leader records its commit index, and a quorum
//! confirms in a round of heartbeats that it was still the leader at that time (Ongaro's thesis,
//! section 6.4).

use std::collections::VecDeque;

use crate::{Message, NotLeader, ReadReady, Replica, ReplicaId, replica::RoleState};

/// Heartbeat intervals after which an unanswered append is sent again.
const RESEND_HEARTBEAT_INTERVALS: u32 = 2;

/// Reads that wait for the same round of heartbeats.
#[derive(Clone, Debug)]
struct ReadRound {
    round: u64,
    index: u64,
    tokens: Vec<u64>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct ReadQueue {
    /// Reads that are not in a round yet.
    waiting: Vec<u64>,
    rounds: VecDeque<ReadRound>,
    latest_round: u64,
}

impl ReadQueue {
    fn start_round(&mut self, commit: u64) -> u64 {
        self.latest_round += 1;
        self.rounds.push_back(ReadRound {
            round: self.latest_round,
            index: commit,
            tokens: std::mem::take(&mut self.waiting),
        });
        self.latest_round
    }

    pub(crate) fn latest_round(&self) -> u64 {
        self.latest_round
    }

    fn take_confirmed(&mut self, round: u64) -> Vec<ReadReady> {
        let confirmed_count = self.rounds.partition_point(|read| read.round <= round);
        let rounds = self.rounds.drain(..confirmed_count);
        rounds
            .flat_map(|read| {
                let index = read.index;
                let ready = move |token| ReadReady { token, index };
                read.tokens.into_iter().map(ready)
            })
            .collect()
    }

    /// Removes all unanswered reads and returns their tokens.
    pub(crate) fn take_tokens(&mut self) -> Vec<u64> {
        let rounds = std::mem::take(&mut self.rounds);
        let mut tokens: Vec<u64> = rounds.into_iter().flat_map(|read| read.tokens).collect();
        tokens.append(&mut self.waiting);
        tokens
    }
}

impl Replica {
    /// Requests a linearizable read. The token is returned in [`crate::Ready::reads`] once a quorum
    /// has confirmed that this replica led after the call, or in [`crate::Ready::refused_reads`] if
    /// it stops leading first.
    pub fn read_index(&mut self, token: u64) -> Result<(), NotLeader> {
        match &mut self.role {
            RoleState::Leader(leader_state) => {
                leader_state.reads.waiting.push(token);
                Ok(())
            }
            _ => Err(self.not_leader()),
        }
    }

    /// Starts a round for the waiting reads. Until the leader has committed an entry of its term,
    /// its commit index may be lower than that of an earlier leader, which may already have answered
    /// reads at it. The reads therefore keep waiting.
    pub(crate) fn start_read_round(&mut self) {
        let commit = self.log.commit();
        let RoleState::Leader(leader_state) = &mut self.role else {
            return;
        };
        if leader_state.reads.waiting.is_empty() || commit < leader_state.term_start {
            return;
        }
        leader_state.reads.start_round(commit);
        self.broadcast_heartbeat();
        self.complete_confirmed_reads();
    }

    /// Completes the reads whose round a quorum has confirmed.
    pub(crate) fn complete_confirmed_reads(&mut self) {
        let RoleState::Leader(leader_state) = &self.role else {
            return;
        };
        let latest_round = leader_state.reads.latest_round();
        let confirmed_round =
            self.quorum_value(latest_round, |progress| progress.confirmed_round, false);
        if let RoleState::Leader(leader_state) = &mut self.role {
            let finished = leader_state.reads.take_confirmed(confirmed_round);
            self.finished_reads.extend(finished);
        }
    }

    pub(crate) fn broadcast_heartbeat(&mut self) {
        let RoleState::Leader(leader_state) = &mut self.role else {
            return;
        };
        leader_state.heartbeat_elapsed_ticks = 0;
        for (peer, progress) in &leader_state.peers {
            let message = Message::Heartbeat {
                term: self.hard_state.term,
                // Only entries that the peer has acknowledged are known to be equal in its log.
                commit: self.log.commit().min(progress.match_index),
                round: leader_state.reads.latest_round(),
            };
            self.outbox.send_before_sync(*peer, message);
        }
    }

    pub(crate) fn receive_heartbeat(&mut self, from: ReplicaId, commit: u64, round: u64) {
        self.log.commit_to(commit);
        let term = self.hard_state.term;
        let reply = Message::HeartbeatReply { term, round };
        self.outbox.send_after_sync(from, reply);
    }

    pub(crate) fn receive_heartbeat_reply(&mut self, from: ReplicaId, round: u64) {
        let RoleState::Leader(leader_state) = &mut self.role else {
            return;
        };
        let Some(progress) = leader_state.peers.get_mut(&from) else {
            return;
        };
        progress.confirmed_round = progress.confirmed_round.max(round);
        progress.heartbeat_acknowledged(self.config.heartbeat_ticks * RESEND_HEARTBEAT_INTERVALS);
        self.complete_confirmed_reads();
    }
}
