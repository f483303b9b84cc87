//! Tests of when replicas stand.

use super::{ElectionClock, ElectionPlace};

const BASE_TICKS: u32 = 40;

/// Ticks until a replica stands that has lost its leader, by tries that won nothing.
fn stands_after(rank: u32, voters: u32, seed: u64, tries: u32) -> u32 {
    let place = ElectionPlace { rank, voters };
    let mut clock = ElectionClock::new(BASE_TICKS, BASE_TICKS, place, seed);
    for _ in 0..tries {
        clock.restart();
    }
    let mut ticks = 1;
    while !clock.tick() {
        ticks += 1;
    }
    ticks
}

#[test]
fn voters_that_lose_their_leader_together_do_not_stand_together() {
    for voters in [2, 3, 5] {
        // The way there and back, and the draw's own ticks, fit between two voters.
        let apart = BASE_TICKS / voters / 2;
        for seed in 0..500 {
            for tries in 0..4 {
                let mut all: Vec<u32> = (0..voters)
                    .map(|rank| stands_after(rank, voters, seed * 1_000 + u64::from(rank), tries))
                    .collect();
                all.sort_unstable();
                let least = all.windows(2).map(|pair| pair[1] - pair[0]).min();
                assert!(
                    least >= Some(apart),
                    "{voters} voters, seed {seed}: {all:?}"
                );
            }
        }
    }
}

#[test]
fn a_replica_stands_within_two_times_the_base() {
    for seed in 0..500 {
        for rank in 0..3 {
            let ticks = stands_after(rank, 3, seed, 1);
            assert!((BASE_TICKS..2 * BASE_TICKS).contains(&ticks), "{ticks}");
        }
    }
}
