//! Proofs of leadership: one round of the read index for all who ask between two rounds.

use std::{collections::BTreeMap, time::Instant};

use sablehaven_consensus::{ReadReady, Replica};

use super::input::{LeaderProof, ProofResponder};

/// Askers that share a round.
struct Round {
    /// Taken before the round starts: the proof holds for this moment.
    at: Instant,
    askers: Vec<ProofResponder>,
}

/// Proofs that are being made.
#[derive(Default)]
pub(crate) struct ProofQueue {
    queued: Vec<ProofResponder>,
    last_token: u64,
    rounds: BTreeMap<u64, Round>,
    /// Confirmed rounds that wait until the state machine has applied their index.
    confirmed: Vec<(u64, Round)>,
}

impl ProofQueue {
    pub(crate) fn queue(&mut self, asker: ProofResponder) {
        self.queued.push(asker);
    }

    /// Starts one round for all who have asked since the last one.
    pub(crate) fn start_round(&mut self, replica: &mut Replica) {
        if self.queued.is_empty() {
            return;
        }
        let round = Round {
            at: Instant::now(),
            askers: std::mem::take(&mut self.queued),
        };
        self.last_token += 1;
        match replica.read_index(self.last_token) {
            Ok(()) => {
                self.rounds.insert(self.last_token, round);
            }
            Err(_) => round.refuse(),
        }
    }

    /// Takes the answers of a ready.
    pub(crate) fn take(&mut self, reads: &[ReadReady], refused: &[u64]) {
        for read in reads {
            if let Some(round) = self.rounds.remove(&read.token) {
                self.confirmed.push((read.index, round));
            }
        }
        for token in refused {
            if let Some(round) = self.rounds.remove(token) {
                round.refuse();
            }
        }
    }

    /// Answers the confirmed rounds whose index is applied.
    pub(crate) fn answer(&mut self, applied: u64, revision: u64, configuration_version: u64) {
        for (index, round) in std::mem::take(&mut self.confirmed) {
            if index > applied {
                self.confirmed.push((index, round));
                continue;
            }
            let proof = LeaderProof {
                at: round.at,
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

impl Round {
    /// An asker that has gone is not told.
    fn answer(self, proof: LeaderProof) {
        for asker in self.askers {
            let _ = asker.send(Some(proof));
        }
    }

    fn refuse(self) {
        for asker in self.askers {
            let _ = asker.send(None);
        }
    }
}
