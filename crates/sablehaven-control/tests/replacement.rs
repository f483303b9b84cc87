//! Lost disks, replacement of replicas, and failures during or right after a replacement.

mod support;

use reqwest::Method;
use sablehaven_control::{
    operator::{AddReplica, RemoveReplica, ReplaceReplica, paths},
    replicas::ReplicasOutcome,
};
use sablehaven_types::{
    ApplyOutcome, ClaimAnswer, ClaimId, Configuration, LedgerKey, LedgerReply, LedgerRequest,
};
use support::{Cluster, command, relay::Relay, wait_for};

async fn apply_commands(cluster: &Cluster, from: u64, count: u64) {
    let operator = cluster.operator();
    for version in from..from + count {
        let outcome = operator
            .apply(&command(&format!("c{version}"), version))
            .await;
        let version = version + 1;
        assert_eq!(outcome, ApplyOutcome::Accepted { version });
    }
}

/// Waits until no membership change is in progress and every group has `voters` voters and no learners.
async fn wait_for_change_to_finish(cluster: &Cluster, voters: usize) {
    let leader = cluster.leader().await;
    let operator = cluster.operator();
    wait_for("the membership change to finish", || async {
        let status = operator
            .try_status(cluster.machines[leader].http_address())
            .await?;
        let groups_done = status
            .groups
            .iter()
            .all(|group| group.voters.len() == voters && group.learners.is_empty());
        (status.change.is_none() && groups_done && status.replicas.len() == voters).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_replica_with_a_lost_disk_waits_until_it_is_added() {
    let mut cluster = Cluster::start(3).await;
    apply_commands(&cluster, 0, 3).await;
    let leader = cluster.leader().await;
    let old = cluster.machines[leader].replica();
    cluster.machines[leader].kill().await;
    cluster.machines[leader].lose_disk();
    // Its settings allow it to bootstrap, but it must not form a second deployment beside that of the
    // others.
    cluster.machines[leader].start().await;
    let new = cluster.machines[leader].replica();
    assert_ne!(new, old);
    let next = cluster.leader().await;
    apply_commands(&cluster, 3, 2).await;
    let operator = cluster.operator();
    let new_status = operator
        .try_status(cluster.machines[leader].http_address())
        .await
        .expect("a status");
    assert!(!new_status.is_formed);
    assert!(
        new_status
            .groups
            .iter()
            .all(|group| group.voters.is_empty() && group.last_index == 0)
    );
    let leader_status = operator
        .try_status(cluster.machines[next].http_address())
        .await
        .expect("a status");
    assert!(
        leader_status.groups[0].voters.contains(&old)
            && !leader_status.groups[0].voters.contains(&new)
    );

    let address = cluster.machines[leader].internal_address();
    let outcome = operator
        .change(paths::REPLACE, &ReplaceReplica { old, address })
        .await;
    assert!(
        matches!(outcome, ReplicasOutcome::Started { .. }),
        "{outcome:?}"
    );
    wait_for_change_to_finish(&cluster, 3).await;
    // A second failure right after the replacement: the new replica and one other form the quorum.
    let third = (0..3)
        .find(|number| *number != leader && *number != next)
        .expect("a third");
    cluster.machines[third].kill().await;
    apply_commands(&cluster, 5, 2).await;
    let configuration: Configuration = operator.get(paths::CONFIGURATION).await;
    assert_eq!(configuration.version, 7);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_running_replica_is_replaced_and_changes_run_one_at_a_time() {
    let mut cluster = Cluster::prepare(3).await;
    for machine in &mut cluster.machines {
        // Low enough that the new replica must catch up from a snapshot.
        machine.config.snapshot_entries = 16;
    }
    cluster.start_all().await;
    apply_commands(&cluster, 0, 40).await;
    let leader = cluster.leader().await;
    let operator = cluster.operator();
    let fourth = cluster.add_machine().await;
    // Its settings name no peers; the leader connects to it.
    cluster.machines[fourth].config.peers.clear();
    let fifth = cluster.add_machine().await;
    cluster.machines[fifth].start().await;
    let follower = cluster.follower().await;
    let old = cluster.machines[follower].replica();
    // The replica of the fourth machine is not running yet, so nothing listens at its address.
    let address = cluster.machines[fourth].internal_address();
    let outcome = operator
        .change(paths::REPLACE, &ReplaceReplica { old, address })
        .await;
    assert!(
        matches!(outcome, ReplicasOutcome::Refused { .. }),
        "{outcome:?}"
    );
    cluster.machines[fourth].start().await;
    let outcome = operator
        .change(paths::REPLACE, &ReplaceReplica { old, address })
        .await;
    assert!(
        matches!(outcome, ReplicasOutcome::Started { .. }),
        "{outcome:?}"
    );
    let second = AddReplica {
        address: cluster.machines[fifth].internal_address(),
    };
    // The first change is either still in progress or already finished; two never run at once.
    let outcome = operator.change(paths::ADD, &second).await;
    let was_busy = matches!(outcome, ReplicasOutcome::Busy { .. });
    let was_done = matches!(outcome, ReplicasOutcome::Started { change: 2 });
    assert!(was_busy || was_done, "{outcome:?}");
    if was_busy {
        wait_for_change_to_finish(&cluster, 3).await;
        let outcome = operator.change(paths::ADD, &second).await;
        assert!(
            matches!(outcome, ReplicasOutcome::Started { .. }),
            "{outcome:?}"
        );
    }
    wait_for_change_to_finish(&cluster, 4).await;
    let removed = cluster.machines[leader].replica();
    let remove = RemoveReplica { replica: removed };
    // The leader removes itself, and another replica takes over.
    let outcome = operator.change(paths::REMOVE, &remove).await;
    assert!(
        matches!(outcome, ReplicasOutcome::Started { .. }),
        "{outcome:?}"
    );
    wait_for("the former leader to be removed", || async {
        let status = operator
            .try_status(cluster.machines[fifth].http_address())
            .await?;
        let is_removed = status
            .groups
            .iter()
            .all(|group| !group.voters.contains(&removed));
        (is_removed && status.change.is_none() && status.replicas.len() == 3).then_some(())
    })
    .await;
    cluster.machines[follower].kill().await;
    cluster.machines[leader].kill().await;
    apply_commands(&cluster, 40, 3).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn adding_a_replica_that_fails_can_be_cancelled() {
    let mut cluster = Cluster::start(3).await;
    let operator = cluster.operator();
    let fourth = cluster.add_machine().await;
    cluster.machines[fourth].start().await;
    let follower = cluster.follower().await;
    let old = cluster.machines[follower].replica();
    let new = cluster.machines[fourth].replica();
    let address = cluster.machines[fourth].internal_address();
    let add = operator.change(paths::ADD, &AddReplica { address }).await;
    assert!(matches!(add, ReplicasOutcome::Started { .. }), "{add:?}");
    cluster.machines[fourth].kill().await;
    let cancellation = RemoveReplica { replica: new };
    let outcome = wait_for("the change to be cancelled or to finish", || async {
        let outcome = operator.change(paths::REMOVE, &cancellation).await;
        (!matches!(outcome, ReplicasOutcome::Busy { .. })).then_some(outcome)
    });
    // If the replica became a voter before it was killed, it is removed like any other member.
    assert!(matches!(outcome.await, ReplicasOutcome::Started { .. }));
    wait_for_change_to_finish(&cluster, 3).await;
    let status = operator
        .try_status(cluster.machines[follower].http_address())
        .await
        .expect("a status");
    assert!(status.groups[0].voters.contains(&old));
    apply_commands(&cluster, 0, 2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_ledger_survives_the_replacement_of_every_machine() {
    let mut cluster = Cluster::start(3).await;
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let key = LedgerKey {
        caller: "pantry".into(),
        request: "pallet-7".into(),
        issued_at_ms: now.expect("a clock after the Unix epoch").as_millis() as u64,
    };
    let claim = |id| LedgerRequest::Claim {
        key: key.clone(),
        claim: ClaimId(id),
        fingerprint: 1,
    };
    let leader = cluster.leader().await;
    let mut relay = Relay::connect(cluster.machines[leader].internal_address()).await;
    assert_eq!(
        relay.call_ledger(claim(1)).await,
        LedgerReply::Claim(ClaimAnswer::Granted)
    );
    for number in 0..3 {
        let old = cluster.machines[number].replica();
        cluster.machines[number].kill().await;
        cluster.machines[number].lose_disk();
        cluster.machines[number].start().await;
        let address = cluster.machines[number].internal_address();
        let operator = cluster.operator();
        cluster.leader().await;
        let outcome = operator
            .change(paths::REPLACE, &ReplaceReplica { old, address })
            .await;
        assert!(
            matches!(outcome, ReplicasOutcome::Started { .. }),
            "{outcome:?}"
        );
        wait_for_change_to_finish(&cluster, 3).await;
    }
    let leader = cluster.leader().await;
    let mut relay = Relay::connect(cluster.machines[leader].internal_address()).await;
    assert_eq!(
        relay.call_ledger(claim(2)).await,
        LedgerReply::Claim(ClaimAnswer::Held)
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn after_the_loss_of_all_disks_earlier_requests_are_refused() {
    let mut cluster = Cluster::start(1).await;
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let key = LedgerKey {
        caller: "pantry".into(),
        request: "pallet-8".into(),
        // Within the retention time, but issued before the new ledger is opened.
        issued_at_ms: now.expect("a clock after the Unix epoch").as_millis() as u64 - 30_000,
    };
    cluster.machines[0].kill().await;
    cluster.machines[0].lose_disk();
    cluster.machines[0].start().await;
    let leader = cluster.leader().await;
    let mut relay = Relay::connect(cluster.machines[leader].internal_address()).await;
    let claim = LedgerRequest::Claim {
        key,
        claim: ClaimId(1),
        fingerprint: 1,
    };
    let reply = relay.call_ledger(claim).await;
    let is_refused = matches!(reply, LedgerReply::Claim(ClaimAnswer::BelowHorizon { .. }));
    assert!(is_refused, "{reply:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn without_a_quorum_the_last_configuration_can_still_be_read_unconfirmed() {
    let mut cluster = Cluster::start(3).await;
    apply_commands(&cluster, 0, 2).await;
    let survivor = cluster.follower().await;
    let operator = cluster.operator();
    wait_for("the survivor to apply", || async {
        let status = operator
            .try_status(cluster.machines[survivor].http_address())
            .await?;
        (status.configuration_version == 2).then_some(())
    })
    .await;
    for number in (0..3).filter(|number| *number != survivor) {
        cluster.machines[number].kill().await;
    }
    let address = cluster.machines[survivor].http_address();
    let confirmed = operator
        .call_once::<Configuration>(Method::GET, address, paths::CONFIGURATION, None::<&()>)
        .await;
    assert!(matches!(confirmed, Some(Err(_))), "{confirmed:?}");
    let path = format!("{}?unconfirmed=true", paths::CONFIGURATION);
    let unconfirmed = operator
        .call_once::<Configuration>(Method::GET, address, &path, None::<&()>)
        .await;
    let configuration = unconfirmed.expect("an answer").expect("a configuration");
    assert_eq!(configuration.version, 2);
}

/// After a power failure no entry is known to be committed, and the settings may name no replica that
/// still exists. The replicas must find each other from the members recorded in their own logs.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn replicas_without_configured_peers_find_each_other_from_their_logs() {
    let mut cluster = Cluster::start(3).await;
    apply_commands(&cluster, 0, 2).await;
    for machine in &mut cluster.machines {
        machine.kill().await;
        machine.config.peers = Vec::new();
        machine.config.bootstrap = false;
    }
    cluster.start_all().await;
    cluster.leader().await;
    apply_commands(&cluster, 2, 1).await;
}
