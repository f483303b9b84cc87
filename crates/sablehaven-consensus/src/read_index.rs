//! Linearizable reads without a log entry: the leader notes its commit index and has a quorum
//! confirm, by a round of heartbeats, that it still led when it did (Ongaro's thesis, 6.4).

use std::collections::VecDeque;

use crate::{Message, NotLeader, ReadReady, Replica, ReplicaId, replica::RoleState};

/// Heartbeats after which an unanswered append is sent again.
const RESEND_HEARTBEATS: u32 = 2;

/// Reads that wait for the same round of heartbeats.
#[derive(Clone, Debug)]
struct ReadRound {
    round: u64,
    index: u64,
    tokens: Vec<u64>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct ReadQueue {
    /// Reads without a round yet.
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

    fn confirmed(&mut self, round: u64) -> Vec<ReadReady> {
        let confirmed = self.rounds.partition_point(|read| read.round <= round);
        let rounds = self.rounds.drain(..confirmed);
        rounds
            .flat_map(|read| {
                let index = read.index;
                let ready = move |token| ReadReady { token, index };
                read.tokens.into_iter().map(ready)
            })
            .collect()
    }

    /// Every read that is not answered yet.
    pub(crate) fn take_tokens(&mut self) -> Vec<u64> {
        let rounds = std::mem::take(&mut self.rounds);
        let mut tokens: Vec<u64> = rounds.into_iter().flat_map(|read| read.tokens).collect();
        tokens.append(&mut self.waiting);
        tokens
    }
}

impl Replica {
    /// Asks for a linearizable read. The token comes back in [`crate::Ready::reads`] once a quorum
    /// has confirmed that this replica led after the call, or in [`crate::Ready::refused_reads`]
    /// when it stops leading first.
    pub fn read_index(&mut self, token: u64) -> Result<(), NotLeader> {
        match &mut self.role {
            RoleState::Leader(leading) => {
                leading.reads.waiting.push(token);
                Ok(())
            }
            _ => Err(self.not_leader()),
        }
    }

    /// Starts a round for the reads that wait. Before the leader has committed an entry of its term
    /// its commit index may lie behind what an earlier leader has answered, so they wait on.
    pub(crate) fn start_read_round(&mut self) {
        let commit = self.log.commit();
        let RoleState::Leader(leading) = &mut self.role else {
            return;
        };
        if leading.reads.waiting.is_empty() || commit < leading.term_start {
            return;
        }
        leading.reads.start_round(commit);
        self.broadcast_heartbeat();
        self.finish_reads();
    }

    /// Answers the reads whose round a quorum has confirmed.
    pub(crate) fn finish_reads(&mut self) {
        let RoleState::Leader(leading) = &self.role else {
            return;
        };
        let own = leading.reads.latest_round();
        let confirmed = self.quorum_value(own, |progress| progress.confirmed_round, false);
        if let RoleState::Leader(leading) = &mut self.role {
            let finished = leading.reads.confirmed(confirmed);
            self.finished_reads.extend(finished);
        }
    }

    pub(crate) fn broadcast_heartbeat(&mut self) {
        let RoleState::Leader(leading) = &mut self.role else {
            return;
        };
        leading.heartbeat_elapsed_ticks = 0;
        for (peer, progress) in &leading.peers {
            let message = Message::Heartbeat {
                term: self.hard_state.term,
                // Only what the peer has acknowledged is sure to be equal in its log.
                commit: self.log.commit().min(progress.match_index),
                round: leading.reads.latest_round(),
            };
            self.outbox.before_sync(*peer, message);
        }
    }

    pub(crate) fn receive_heartbeat(&mut self, from: ReplicaId, commit: u64, round: u64) {
        self.log.commit_to(commit);
        let term = self.hard_state.term;
        let reply = Message::HeartbeatReply { term, round };
        self.outbox.after_sync(from, reply);
    }

    pub(crate) fn receive_heartbeat_reply(&mut self, from: ReplicaId, round: u64) {
        let RoleState::Leader(leading) = &mut self.role else {
            return;
        };
        let Some(progress) = leading.peers.get_mut(&from) else {
            return;
        };
        progress.confirmed_round = progress.confirmed_round.max(round);
        progress.heartbeat_answered(self.config.heartbeat_ticks * RESEND_HEARTBEATS);
        self.finish_reads();
    }
}
