//! Consensus among running replicas: bootstrap, leader changes, concurrent operators and restarts.

mod support;

use sablehaven_control::operator::paths;
use sablehaven_types::{ApplyOutcome, CommandRecord, Configuration};
use support::{Cluster, command, wait_for};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn three_replicas_bootstrap_and_apply_the_same_commands() {
    let cluster = Cluster::start(3).await;
    let operator = cluster.operator();
    let outcome = operator.apply(&command("first", 0)).await;
    assert_eq!(outcome, ApplyOutcome::Accepted { version: 1 });
    let mut members = None;
    for machine in &cluster.machines {
        let status = wait_for("version 1 on every replica", || async {
            let status = operator.try_status(machine.http_address()).await?;
            (status.configuration_version == 1).then_some(status)
        })
        .await;
        assert_eq!(status.replicas.len(), 3);
        let voters = status.groups[0].voters.clone();
        assert_eq!(*members.get_or_insert(voters.clone()), voters);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_killed_leader_is_replaced_and_no_accepted_command_is_lost() {
    let mut cluster = Cluster::start(3).await;
    let operator = cluster.operator();
    for version in 0..5 {
        let outcome = operator
            .apply(&command(&format!("c{version}"), version))
            .await;
        let version = version + 1;
        assert_eq!(outcome, ApplyOutcome::Accepted { version });
    }
    let leader = cluster.leader().await;
    cluster.machines[leader].kill().await;
    let next = cluster.leader().await;
    assert_ne!(next, leader);
    let configuration: Configuration = operator.get(paths::CONFIGURATION).await;
    assert_eq!(configuration.version, 5);
    // A command resent through the new leader gets its original outcome.
    let resent = operator.apply(&command("c2", 2)).await;
    assert_eq!(resent, ApplyOutcome::Accepted { version: 3 });
    let outcome = operator.apply(&command("c5", 5)).await;
    assert_eq!(outcome, ApplyOutcome::Accepted { version: 6 });
    cluster.machines[leader].start().await;
    wait_for("the old leader to catch up", || async {
        let address = cluster.machines[leader].http_address();
        let status = operator.try_status(address).await?;
        (status.configuration_version == 6).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_operators_have_one_winner_per_version() {
    let cluster = Cluster::start(3).await;
    for round in 0..5 {
        let racers = (0..4).map(|racer| {
            let operator = cluster.operator();
            let command = command(&format!("r{round}-{racer}"), round);
            tokio::spawn(async move { (operator.apply(&command).await, command) })
        });
        let mut winner = None;
        let mut losers = Vec::new();
        for racer in racers.collect::<Vec<_>>() {
            match racer.await.expect("racer") {
                (ApplyOutcome::Accepted { version }, command) => {
                    assert_eq!(version, round + 1);
                    assert!(winner.replace(command.command_id).is_none());
                }
                (ApplyOutcome::Conflict { winner, .. }, _) => losers.push(winner),
                (unexpected, _) => panic!("{unexpected:?}"),
            }
        }
        let winner = winner.expect("a winner");
        assert_eq!(losers.len(), 3);
        for reported in losers {
            assert_eq!(reported.expect("a reported winner").command_id, winner);
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_restart_of_all_replicas_keeps_hundreds_of_changes() {
    let mut cluster = Cluster::prepare(3).await;
    for machine in &mut cluster.machines {
        // Low enough that several snapshots are taken during the test.
        machine.config.snapshot_entries = 64;
    }
    cluster.start_all().await;
    let operator = cluster.operator();
    for version in 0..300 {
        let outcome = operator
            .apply(&command(&format!("c{version}"), version))
            .await;
        assert!(
            matches!(outcome, ApplyOutcome::Accepted { .. }),
            "{outcome:?}"
        );
    }
    for machine in &mut cluster.machines {
        machine.kill().await;
    }
    cluster.start_all().await;
    let configuration: Configuration = operator.get(paths::CONFIGURATION).await;
    assert_eq!(configuration.version, 300);
    let history: Vec<CommandRecord> = operator.get(paths::HISTORY).await;
    assert_eq!(history.last().expect("history").command_id.as_str(), "c299");
    let resent = operator.apply(&command("c100", 100)).await;
    assert_eq!(resent, ApplyOutcome::Accepted { version: 101 });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_invalid_configuration_is_rejected_with_every_reason() {
    let cluster = Cluster::start(1).await;
    let operator = cluster.operator();
    let mut invalid = command("invalid", 0);
    invalid.operator = "".into();
    if let sablehaven_types::ConfigurationChange::ReplaceAll { configuration } = &mut invalid.change
    {
        let service = configuration.services.remove(&support::SERVICE.into());
        let mut service = service.expect("the service");
        service.snapshot.shards.clear();
        configuration
            .services
            .insert("stock.Nobody".into(), service.clone());
        configuration
            .services
            .insert(support::SERVICE.into(), service);
    }
    let ApplyOutcome::Invalid { reasons } = operator.apply(&invalid).await else {
        panic!("the invalid configuration was accepted");
    };
    let mentions = |word: &str| reasons.iter().any(|reason| reason.contains(word));
    assert!(
        mentions("operator") && mentions("stock.Nobody") && mentions("no shards"),
        "{reasons:?}"
    );
    let configuration: Configuration = operator.get(paths::CONFIGURATION).await;
    assert_eq!(configuration.version, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_second_process_on_the_same_data_folder_is_rejected() {
    let cluster = Cluster::start(1).await;
    let mut second = support::Machine::new(cluster.machines[0].config.data_folder.clone()).await;
    let error = second.try_start().await.expect_err("start must fail");
    assert!(error.to_string().contains("another process"), "{error}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_planned_stop_transfers_leadership_and_loses_no_command_in_flight() {
    let mut cluster = Cluster::start(3).await;
    let leader = cluster.leader().await;
    let operator = cluster.operator();
    let (stopped, mut is_stopped) = tokio::sync::watch::channel(false);
    let applying = tokio::spawn(async move {
        let mut version = 0;
        // Continues until commands have been applied before, during and after the stop.
        let mut after_stop = 0;
        while after_stop < 5 {
            let outcome = operator
                .apply(&command(&format!("c{version}"), version))
                .await;
            version += 1;
            assert_eq!(outcome, ApplyOutcome::Accepted { version });
            after_stop += u32::from(*is_stopped.borrow_and_update());
        }
        version
    });
    cluster.machines[leader].stop().await;
    stopped.send_replace(true);
    let version = applying.await.expect("operator");
    assert_ne!(cluster.leader().await, leader);
    let configuration: Configuration = cluster.operator().get(paths::CONFIGURATION).await;
    assert_eq!(configuration.version, version);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_metrics_report_leadership_and_revision() {
    let cluster = Cluster::start(3).await;
    let outcome = cluster.operator().apply(&command("first", 0)).await;
    assert_eq!(outcome, ApplyOutcome::Accepted { version: 1 });
    let leader = cluster.leader().await;
    let url = format!("http://{}/metrics", cluster.machines[leader].http_address());
    wait_for("the leader's gauges", || async {
        let page = reqwest::get(&url).await.ok()?.text().await.ok()?;
        let gauge = |name: &str| -> Option<u64> {
            let line = page.lines().find(|line| line.starts_with(name))?;
            line.rsplit(' ').next()?.parse().ok()
        };
        let is_leading = gauge("sablehaven_control_leading ")? == 1;
        let has_revision = gauge("sablehaven_control_revision ")? > 0;
        (is_leading && has_revision).then_some(())
    })
    .await;
}
