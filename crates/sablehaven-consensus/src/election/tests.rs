//! Tests of the election timer.

use super::{ElectionTimer, VoterRank};

const BASE_TICKS: u32 = 40;

/// Returns the ticks from the loss of the leader until a replica starts an election, after the
/// given number of unsuccessful elections.
fn ticks_until_campaign(rank: u32, voters: u32, seed: u64, restarts: u32) -> u32 {
    let voter_rank = VoterRank { rank, voters };
    let mut timer = ElectionTimer::new(BASE_TICKS, BASE_TICKS, voter_rank, seed);
    for _ in 0..restarts {
        timer.restart();
    }
    let mut ticks = 1;
    while !timer.tick() {
        ticks += 1;
    }
    ticks
}

#[test]
fn voters_that_lose_their_leader_together_campaign_at_different_times() {
    for voters in [2, 3, 5] {
        // Each slot's first half is for the random part. The second half, the minimum gap, is for
        // the round trip between two voters.
        let min_gap = BASE_TICKS / voters / 2;
        for seed in 0..500 {
            for restarts in 0..4 {
                let mut all: Vec<u32> = (0..voters)
                    .map(|rank| {
                        ticks_until_campaign(rank, voters, seed * 1_000 + u64::from(rank), restarts)
                    })
                    .collect();
                all.sort_unstable();
                let smallest_gap = all.windows(2).map(|pair| pair[1] - pair[0]).min();
                assert!(
                    smallest_gap >= Some(min_gap),
                    "{voters} voters, seed {seed}: {all:?}"
                );
            }
        }
    }
}

#[test]
fn a_replica_campaigns_within_two_times_the_base() {
    for seed in 0..500 {
        for rank in 0..3 {
            let ticks = ticks_until_campaign(rank, 3, seed, 1);
            assert!((BASE_TICKS..2 * BASE_TICKS).contains(&ticks), "{ticks}");
        }
    }
}
