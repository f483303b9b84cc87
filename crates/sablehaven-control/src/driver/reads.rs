//! Proofs of leadership by the read-index protocol. All requests that arrive between the starts of two rounds share the
//! later one.

use std::{collections::BTreeMap, time::Instant};

use sablehaven_consensus::{ReadReady, Replica};

use super::input::{LeadershipProof, ProofResponder};

/// A read-index round and the requests that share it.
struct ReadIndexRound {
    /// Taken before the round starts, so the proof holds for this time.
    holds_at: Instant,
    responders: Vec<ProofResponder>,
}

/// Requests for a proof of leadership that have not been answered yet.
#[derive(Default)]
pub(crate) struct ProofQueue {
    /// Requests that wait for the next round.
    queued: Vec<ProofResponder>,
    last_token: u64,
    /// Rounds that no quorum has confirmed yet, by token.
    unconfirmed: BTreeMap<u64, ReadIndexRound>,
    /// Confirmed rounds, each with the index that the state machine must have applied before the round is answered.
    confirmed: Vec<(u64, ReadIndexRound)>,
}

impl ProofQueue {
    /// Adds a request to the next round.
    pub(crate) fn queue(&mut self, responder: ProofResponder) {
        self.queued.push(responder);
    }

    /// Starts one round for all requests that arrived since the last one.
    pub(crate) fn start_round(&mut self, replica: &mut Replica) {
        if self.queued.is_empty() {
            return;
        }
        let round = ReadIndexRound {
            holds_at: Instant::now(),
            responders: std::mem::take(&mut self.queued),
        };
        self.last_token += 1;
        match replica.read_index(self.last_token) {
            Ok(()) => {
                self.unconfirmed.insert(self.last_token, round);
            }
            Err(_) => round.refuse(),
        }
    }

    /// Takes the confirmed and the refused reads of a [`Ready`](sablehaven_consensus::Ready).
    pub(crate) fn take_read_results(&mut self, reads: &[ReadReady], refused: &[u64]) {
        for read in reads {
            if let Some(round) = self.unconfirmed.remove(&read.token) {
                self.confirmed.push((read.index, round));
            }
        }
        for token in refused {
            if let Some(round) = self.unconfirmed.remove(token) {
                round.refuse();
            }
        }
    }

    /// Answers the confirmed rounds whose index has been applied.
    pub(crate) fn answer_applied(
        &mut self,
        applied: u64,
        revision: u64,
        configuration_version: u64,
    ) {
        for (index, round) in std::mem::take(&mut self.confirmed) {
            if index > applied {
                self.confirmed.push((index, round));
                continue;
            }
            let proof = LeadershipProof {
                holds_at: round.holds_at,
                revision,
                configuration_version,
            };
            round.answer(proof);
        }
    }

    /// Whether any confirmed round has not been answered yet.
    pub(crate) fn has_confirmed(&self) -> bool {
        !self.confirmed.is_empty()
    }
}

impl ReadIndexRound {
    /// Sends the proof to every request of the round, ignoring those whose receiver has been dropped.
    fn answer(self, proof: LeadershipProof) {
        for responder in self.responders {
            let _ = responder.send(Some(proof));
        }
    }

    /// Answers every request of the round that this replica does not lead.
    fn refuse(self) {
        for responder in self.responders {
            let _ = responder.send(None);
        }
    }
}
