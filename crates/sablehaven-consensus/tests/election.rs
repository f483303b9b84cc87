//! Tests of elections: which replica may win one, and which may not disrupt a leader.

mod support;

use sablehaven_consensus::{
    Config, HardState, Message, PersistentState, Position, Replica, ReplicaId, Role,
};
use support::{Cluster, id, ids};

#[test]
fn one_of_three_is_elected_and_the_others_follow_it() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.tick_times(40);
    let leaders = cluster.leaders();
    assert_eq!(leaders.len(), 1);
    for number in 1..=3 {
        let status = cluster.replica(number).status();
        assert_eq!(status.leader, Some(leaders[0]));
        assert_eq!(status.commit, status.last_index);
    }
}

#[test]
fn a_single_voter_leads_once_its_own_vote_is_synced() {
    let mut replica = Replica::new(
        Config::default(),
        id(1),
        PersistentState::bootstrap(ids(&[1])),
    );
    while replica.status().role != Role::Candidate {
        replica.tick();
    }
    let ready = replica.take_ready();
    assert!(ready.hard_state.is_some());
    assert_eq!(replica.status().role, Role::Candidate);
    replica.persisted(ready.number);
    assert_eq!(replica.status().role, Role::Leader);
}

#[test]
fn vote_requests_and_votes_wait_for_the_sync() {
    let bootstrap = PersistentState::bootstrap(ids(&[1, 2]));
    let mut candidate = Replica::new(Config::default(), id(1), bootstrap.clone());
    while candidate.status().role != Role::PreCandidate {
        candidate.tick();
    }
    let reply = Message::PreVoteReply {
        term: 1,
        next_term: 2,
        granted: true,
    };
    candidate.receive(id(2), reply);
    let ready = candidate.take_ready();
    let (_, request) = ready.messages_after_sync[0].clone();
    assert!(matches!(request, Message::Vote { term: 2, .. }));
    assert_eq!(ready.hard_state.map(|state| state.term), Some(2));

    let mut voter = Replica::new(Config::default(), id(2), bootstrap);
    voter.receive(id(1), request);
    let ready = voter.take_ready();
    let voted = HardState {
        term: 2,
        voted_for: Some(id(1)),
    };
    let granted = Message::VoteReply {
        term: 2,
        granted: true,
    };
    assert_eq!(ready.hard_state, Some(voted));
    assert_eq!(ready.messages_after_sync, vec![(id(1), granted)]);
    assert!(ready.messages_before_sync.is_empty());
}

#[test]
fn a_replica_votes_once_per_term_even_after_a_restart() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    let vote = Message::Vote {
        term: 5,
        last: Position { index: 1, term: 1 },
        transfer: false,
    };
    cluster.replica(3).receive(id(1), vote.clone());
    cluster.node(3).process_readies();
    cluster.restart(3);
    cluster.replica(3).receive(id(2), vote);
    let refused = Message::VoteReply {
        term: 5,
        granted: false,
    };
    assert_eq!(cluster.node(3).process_readies(), vec![(id(2), refused)]);
}

#[test]
fn a_replica_that_lacks_committed_entries_is_not_elected() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    cluster.partition(3);
    cluster.propose(1, "kept");
    cluster.deliver_all();
    cluster.heal();
    cluster.partition(1);
    for _ in 0..100 {
        cluster.replica(3).tick();
        cluster.deliver_all();
    }
    assert_ne!(cluster.replica(3).status().role, Role::Leader);
    cluster.elect(2);
    cluster.tick_times(4);
    assert_eq!(support::commands(&cluster.node(3).applied), ["kept"]);
}

#[test]
fn a_partitioned_replica_does_not_raise_the_term_when_it_reconnects() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    let term = cluster.replica(1).status().term;
    cluster.partition(3);
    cluster.tick_times(100);
    cluster.heal();
    cluster.tick_times(50);
    assert_eq!(cluster.leaders(), vec![id(1)]);
    assert_eq!(cluster.replica(3).status().term, term);
}

#[test]
fn a_leader_without_a_quorum_steps_down_within_an_election_timeout() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    cluster.partition(1);
    for _ in 0..cluster.config.election_timeout_ticks {
        cluster.replica(1).tick();
        cluster.deliver_all();
    }
    assert_eq!(cluster.replica(1).status().role, Role::Follower);
}

#[test]
fn a_candidate_with_a_high_term_cannot_depose_a_leader_in_contact() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    let term = cluster.replica(1).status().term;
    let last = Position {
        index: 1000,
        term: 1000,
    };
    for receiver in [1, 2] {
        let vote = Message::Vote {
            term: 1000,
            last,
            transfer: false,
        };
        cluster.replica(receiver).receive(id(9), vote);
        let pre_vote = Message::PreVote {
            next_term: 1000,
            last,
        };
        cluster.replica(receiver).receive(id(9), pre_vote);
    }
    let reply_from_non_member = Message::VoteReply {
        term: 1000,
        granted: false,
    };
    cluster.replica(1).receive(id(9), reply_from_non_member);
    cluster.deliver_all();
    assert_eq!(cluster.leaders(), vec![id(1)]);
    assert_eq!(cluster.replica(2).status().term, term);
}

#[test]
fn a_member_with_a_higher_term_makes_the_old_leader_step_down() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    let mut disk = cluster.node(3).disk.clone();
    disk.hard_state.term = 50;
    disk.hard_state.voted_for = None;
    cluster.start(3, disk);
    cluster.tick_times(100);
    assert_eq!(cluster.leaders().len(), 1);
    assert!(cluster.replica(3).status().term > 50);
}

#[test]
fn a_blank_replica_neither_campaigns_nor_votes() {
    let mut blank = Replica::new(Config::default(), id(4), PersistentState::default());
    for _ in 0..100 {
        blank.tick();
    }
    assert_eq!(blank.status().role, Role::Follower);
    let vote = Message::Vote {
        term: 3,
        last: Position { index: 9, term: 2 },
        transfer: false,
    };
    blank.receive(id(1), vote);
    let refused = Message::VoteReply {
        term: 3,
        granted: false,
    };
    assert_eq!(
        blank.take_ready().messages_after_sync,
        vec![(id(1), refused)]
    );
}

#[test]
fn leadership_is_transferred_without_waiting_for_a_timeout() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    cluster.propose(1, "before");
    cluster
        .replica(1)
        .transfer_leadership(id(2))
        .expect("the transfer is accepted");
    assert!(cluster.replica(1).propose(vec![b"late".to_vec()]).is_err());
    cluster.deliver_all();
    assert_eq!(cluster.leaders(), vec![id(2)]);
    cluster.propose(2, "after");
    cluster.deliver_all();
    let applied = support::commands(&cluster.node(2).applied);
    assert_eq!(applied, ["before", "after"]);
}

#[test]
fn a_transfer_to_an_unreachable_replica_is_aborted() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    cluster.partition(3);
    cluster.propose(1, "missed by the target");
    cluster
        .replica(1)
        .transfer_leadership(id(3))
        .expect("the transfer is accepted");
    cluster.tick_times(cluster.config.election_timeout_ticks);
    assert_eq!(cluster.replica(1).status().transfer, None);
    cluster.propose(1, "accepted again");
}

#[test]
fn invalid_transfers_are_refused() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    assert!(cluster.replica(2).transfer_leadership(id(3)).is_err());
    assert!(cluster.replica(1).transfer_leadership(id(1)).is_err());
    assert!(cluster.replica(1).transfer_leadership(id(9)).is_err());
}

#[test]
fn a_follower_in_contact_with_its_leader_refuses_a_pre_vote() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    let next_term = cluster.replica(2).status().term + 1;
    let last = Position {
        index: 1000,
        term: next_term,
    };
    let request = Message::PreVote { next_term, last };
    cluster.replica(2).receive(id(3), request);
    let refused = Message::PreVoteReply {
        term: next_term - 1,
        next_term,
        granted: false,
    };
    assert_eq!(cluster.node(2).process_readies(), vec![(id(3), refused)]);
}

#[test]
fn a_candidate_with_a_shorter_log_gets_no_vote() {
    let bootstrap = PersistentState::bootstrap(ids(&[1, 2, 3]));
    let mut voter = Replica::new(Config::default(), id(2), bootstrap);
    let vote = Message::Vote {
        term: 5,
        last: Position::default(),
        transfer: false,
    };
    voter.receive(id(1), vote);
    let refused = Message::VoteReply {
        term: 5,
        granted: false,
    };
    assert_eq!(
        voter.take_ready().messages_after_sync,
        vec![(id(1), refused)]
    );
}

/// If votes take longer to arrive than the first election timeout, no election would ever succeed
/// with it, so it must grow.
#[test]
fn the_first_election_timeout_doubles_up_to_the_normal_one() {
    let config = Config {
        election_timeout_ticks: 16,
        first_election_timeout_ticks: 1,
        ..Config::default()
    };
    let voters = [1, 2, 3].map(ReplicaId).into();
    let mut replica = Replica::new(config, ReplicaId(1), PersistentState::bootstrap(voters));
    let mut campaign_ticks = Vec::new();
    for tick in 0..200 {
        replica.tick();
        let ready = replica.take_ready();
        let is_pre_vote =
            |(_, message): &(ReplicaId, Message)| matches!(message, Message::PreVote { .. });
        if ready.messages_before_sync.iter().any(is_pre_vote) {
            campaign_ticks.push(tick);
        }
    }
    let gaps: Vec<i32> = campaign_ticks
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .collect();
    assert!(campaign_ticks[0] <= 2, "{campaign_ticks:?}");
    assert!(gaps[0] >= 2 && gaps[1] >= 4 && gaps[2] >= 8, "{gaps:?}");
    assert!(
        gaps[4..].iter().all(|gap| (16..32).contains(gap)),
        "{gaps:?}"
    );
}

#[test]
fn replicas_that_start_together_campaign_at_different_times() {
    let config = Config {
        election_timeout_ticks: 40,
        first_election_timeout_ticks: 4,
        ..Config::default()
    };
    let first_campaign_tick = |own: u64| {
        let voters = [1, 2, 3].map(ReplicaId).into();
        let restored = PersistentState::bootstrap(voters);
        let mut replica = Replica::new(config.clone(), ReplicaId(own), restored);
        (1..100).find(|_| {
            replica.tick();
            let ready = replica.take_ready();
            let mut messages = ready.messages_before_sync.iter();
            messages.any(|(_, message)| matches!(message, Message::PreVote { .. }))
        })
    };
    assert_eq!(
        [1, 2, 3].map(first_campaign_tick),
        [Some(4), Some(10), Some(16)]
    );
}

#[test]
fn the_status_counts_the_ticks_since_another_replica_led() {
    let mut cluster = Cluster::new(&[1, 2, 3]);
    cluster.elect(1);
    let election_timeout = cluster.config.election_timeout_ticks;
    let heartbeat_ticks = cluster.config.heartbeat_ticks;
    cluster.tick_times(election_timeout);
    let follower_ticks = cluster.replica(3).status().leader_silent_ticks;
    assert!(follower_ticks <= heartbeat_ticks, "{follower_ticks}");
    // The leader's own messages do not count, only those of another leader.
    assert!(cluster.replica(1).status().leader_silent_ticks >= election_timeout);
    cluster.partition(3);
    cluster.tick_times(5 * election_timeout);
    let silent_ticks = cluster.replica(3).status().leader_silent_ticks;
    assert!(silent_ticks >= 5 * election_timeout, "{silent_ticks}");
}
