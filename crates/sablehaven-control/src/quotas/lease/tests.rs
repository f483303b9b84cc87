mod simulation;

use simulation::{Broken, ONE_BUCKET, seen};

use super::*;

const PATIENCE: Duration = Duration::from_millis(4_000);
const ELECTION: Duration = Duration::from_millis(1_000);
/// Of the patience less what clocks may differ.
const HELD: u64 = 3_960;
const INDEX: u64 = 5;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn hold() -> PartLease {
    PartLease::new(
        ReplicaId(1),
        LeaseLimits::new(PATIENCE, ELECTION),
        u64::MAX - 1,
    )
}

/// A hold that a leader granted for a question of this time.
fn granted(milliseconds: u64) -> PartLease {
    let mut hold = hold();
    let number = hold.ask(at(milliseconds));
    hold.record_grant(number);
    hold
}

/// What a member of a group of six knows that hears no leader.
fn leaderless_of(members: u64) -> MemberContact {
    let voters = (1..=members).map(ReplicaId).collect();
    MemberContact {
        is_leaderless: true,
        is_settled: true,
        membership: Membership {
            voters,
            ..Membership::default()
        },
        membership_index: INDEX,
    }
}

/// Asks and has these members say at these times that they hear no leader.
fn ask_others(
    hold: &mut PartLease,
    asked_at: u64,
    answers: &[(u64, u64)],
    contact: &MemberContact,
) {
    let number = hold.ask(at(asked_at));
    for (member, answered_at) in answers {
        hold.leaderless(at(*answered_at), number, ReplicaId(*member), INDEX, contact);
    }
}

#[test]
fn a_replica_that_starts_holds_nothing() {
    assert!(!hold().holds(at(0)));
    let mut asking = hold();
    ask_others(&mut asking, 0, &[(2, 10), (3, 10)], &leaderless_of(6));
    assert!(!asking.holds(at(10)));
}

#[test]
fn a_hold_lasts_for_the_patience_from_the_question_whenever_the_answer_comes() {
    let mut hold = hold();
    let number = hold.ask(at(1_000));
    let other = hold.ask(at(1_200));
    hold.record_grant(number);
    assert!(hold.holds(at(1_000 + HELD - 1)));
    assert!(!hold.holds(at(1_000 + HELD)));
    // A process that wakes from a freeze reads the answer then.
    hold.record_grant(other);
    assert!(!hold.holds(at(1_200 + HELD)));
}

#[test]
fn an_answer_to_no_question_of_this_process_grants_nothing() {
    let mut hold = hold();
    let number = hold.ask(at(0));
    hold.record_grant(number.wrapping_add(1));
    hold.record_grant(number.wrapping_sub(1));
    assert!(!hold.holds(at(0)));
}

#[test]
fn half_of_six_that_hear_no_leader_keep_their_parts() {
    let contact = leaderless_of(6);
    let mut hold = granted(0);
    ask_others(&mut hold, 3_000, &[(2, 3_020), (3, 3_020)], &contact);
    assert!(hold.holds(at(3_000 + HELD - 1)));
    assert!(!hold.holds(at(3_000 + HELD)));
}

#[test]
fn fewer_than_block_every_quorum_prove_nothing() {
    let mut hold = granted(0);
    ask_others(
        &mut hold,
        3_000,
        &[(2, 3_020), (2, 3_021)],
        &leaderless_of(6),
    );
    assert!(!hold.holds(at(HELD)));
    let mut hold = granted(0);
    // One that is no member counts for nothing.
    ask_others(
        &mut hold,
        3_000,
        &[(2, 3_020), (9, 3_020)],
        &leaderless_of(6),
    );
    assert!(!hold.holds(at(HELD)));
    let mut hold = granted(0);
    ask_others(&mut hold, 3_000, &[(2, 3_020)], &leaderless_of(3));
    assert!(hold.holds(at(HELD)));
}

#[test]
fn answers_must_be_fresh_and_of_one_question() {
    let contact = leaderless_of(6);
    let mut hold = granted(0);
    ask_others(&mut hold, 3_000, &[(2, 3_020), (3, 3_251)], &contact);
    ask_others(&mut hold, 3_300, &[(2, 3_320)], &contact);
    ask_others(&mut hold, 3_400, &[(3, 3_420)], &contact);
    assert!(!hold.holds(at(HELD)));
}

#[test]
fn a_proof_goes_on_only_from_one_that_still_holds() {
    let mut hold = granted(0);
    ask_others(
        &mut hold,
        HELD,
        &[(2, HELD + 10), (3, HELD + 10)],
        &leaderless_of(6),
    );
    assert!(!hold.holds(at(HELD + 10)));
}

#[test]
fn whoever_hears_a_leader_itself_or_knows_of_a_change_takes_no_word_of_others() {
    let contacts = [
        MemberContact {
            is_leaderless: false,
            ..leaderless_of(6)
        },
        MemberContact {
            is_settled: false,
            ..leaderless_of(6)
        },
        MemberContact {
            membership_index: INDEX + 1,
            ..leaderless_of(6)
        },
    ];
    for contact in contacts {
        let mut hold = granted(0);
        ask_others(&mut hold, 3_000, &[(2, 3_020), (3, 3_020)], &contact);
        assert!(!hold.holds(at(HELD)), "{contact:?}");
    }
}

#[test]
fn no_more_than_one_bucket_is_held_whatever_is_cut_frozen_restarted_or_changed() {
    let seen = seen(160..220, Broken::Nothing, true);
    assert!(seen.most <= ONE_BUCKET, "{seen:?}");
    assert_eq!(seen.outsiders, 0, "{seen:?}");
    // It is no wonder that nothing is held twice where nothing is held.
    assert!(seen.leaderless > PATIENCE.as_millis() as u64, "{seen:?}");
}

#[test]
fn nobody_holds_a_part_after_the_change_that_took_it_out() {
    let seen = seen(100..160, Broken::Nothing, false);
    assert_eq!(seen.outsiders, 0, "{seen:?}");
    assert!(seen.leaderless > PATIENCE.as_millis() as u64, "{seen:?}");
}

#[test]
fn the_simulation_notices_holds_without_a_limit() {
    let seen = seen(0..40, Broken::Limit, true);
    assert!(seen.most > ONE_BUCKET, "{seen:?}");
}

#[test]
fn the_simulation_notices_answers_of_any_age() {
    let seen = seen(0..40, Broken::Freshness, true);
    assert!(seen.outsiders > 0, "{seen:?}");
}

#[test]
fn the_simulation_notices_leaders_that_count_silence_over_gaps() {
    let seen = seen(180..200, Broken::Gaps, true);
    assert!(seen.most > ONE_BUCKET, "{seen:?}");
}
