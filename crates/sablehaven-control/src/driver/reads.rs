//! Proofs of leadership: one round of the read index for all who ask between two rounds.

use std::{collections::BTreeMap, time::Instant};

use sablehaven_consensus::{ReadReady, Replica};

use super::input::{LeadershipProof, ProofResponder};

/// Askers that share a round.
struct ReadIndexRound {
    /// Taken before the round starts: the proof holds for this moment.
    asked_at: Instant,
    responders: Vec<ProofResponder>,
}

/// Proofs that are being made.
#[derive(Default)]
pub(crate) struct ProofQueue {
    queued: Vec<ProofResponder>,
    last_token: u64,
    unconfirmed: BTreeMap<u64, ReadIndexRound>,
    /// Confirmed rounds that wait until the state machine has applied their index.
    confirmed: Vec<(u64, ReadIndexRound)>,
}

impl ProofQueue {
    pub(crate) fn queue(&mut self, responder: ProofResponder) {
        self.queued.push(responder);
    }

    /// Starts one round for all who have asked since the last one.
    pub(crate) fn start_round(&mut self, replica: &mut Replica) {
        if self.queued.is_empty() {
            return;
        }
        let round = ReadIndexRound {
            asked_at: Instant::now(),
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

    /// Takes the answers of a ready.
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

    /// Answers the confirmed rounds whose index is applied.
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
                asked_at: round.asked_at,
                revision,
                configuration_version,
            };
            round.answer(proof);
        }
    }

    pub(crate) fn has_confirmed(&self) -> bool {
        !self.confirmed.is_empty()
    }
}

impl ReadIndexRound {
    /// A responder that has gone is not told.
    fn answer(self, proof: LeadershipProof) {
        for responder in self.responders {
            let _ = responder.send(Some(proof));
        }
    }

    fn refuse(self) {
        for responder in self.responders {
            let _ = responder.send(None);
        }
    }
}
