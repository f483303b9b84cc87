//! Tests of the silence of members.

use super::*;

const ELECTION_TIMEOUT: Duration = Duration::from_millis(1_000);
const A: ReplicaId = ReplicaId(1);
const B: ReplicaId = ReplicaId(2);

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn proof(term: u64, asked_at: u64, proven_at: u64) -> LeadershipProof {
    LeadershipProof {
        term,
        asked_at: at(asked_at),
        proven_at: at(proven_at),
    }
}

fn prove(silence: &mut SilenceTracker, proof: LeadershipProof, responsive: &[ReplicaId]) {
    let responsive = responsive.iter().copied().collect();
    silence.record_proof(proof, [A, B], &responsive);
}

#[test]
fn silence_is_counted_from_the_last_answer() {
    let mut silence = SilenceTracker::new(ELECTION_TIMEOUT);
    prove(&mut silence, proof(2, 0, 10), &[A, B]);
    prove(&mut silence, proof(2, 200, 210), &[A]);
    prove(&mut silence, proof(2, 400, 410), &[A]);
    assert_eq!(silence.silent_for(A), Duration::ZERO);
    assert_eq!(silence.silent_for(B), at(400));
}

#[test]
fn a_member_that_never_answered_is_silent_from_the_first_proof() {
    let mut silence = SilenceTracker::new(ELECTION_TIMEOUT);
    prove(&mut silence, proof(2, 0, 500), &[A]);
    prove(&mut silence, proof(2, 520, 600), &[A]);
    assert_eq!(silence.silent_for(B), at(100));
}

#[test]
fn silence_is_reset_after_a_gap_between_proofs() {
    let mut silence = SilenceTracker::new(ELECTION_TIMEOUT);
    prove(&mut silence, proof(2, 0, 10), &[A]);
    prove(&mut silence, proof(2, 200, 625), &[A]);
    assert_eq!(silence.silent_for(B), at(615));
    // Requested soon after the previous proof but completed late: members may have confirmed it at any time in between,
    // so the gap is measured from the previous request to this completion.
    prove(&mut silence, proof(2, 630, 826), &[A]);
    assert_eq!(silence.silent_for(B), Duration::ZERO);
    prove(&mut silence, proof(2, 900, 910), &[A]);
    assert_eq!(silence.silent_for(B), at(84));
}

#[test]
fn silence_is_reset_in_a_new_term_and_after_loss_of_leadership() {
    let mut silence = SilenceTracker::new(ELECTION_TIMEOUT);
    prove(&mut silence, proof(2, 0, 10), &[A]);
    prove(&mut silence, proof(3, 200, 210), &[A]);
    assert_eq!(silence.silent_for(B), Duration::ZERO);
    prove(&mut silence, proof(3, 400, 410), &[A]);
    assert_eq!(silence.silent_for(B), at(200));
    silence.reset();
    prove(&mut silence, proof(3, 500, 510), &[A]);
    assert_eq!(silence.silent_for(B), Duration::ZERO);
}
