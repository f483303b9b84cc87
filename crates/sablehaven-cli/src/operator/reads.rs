//! Operator commands that only read.

use clap::ArgMatches;
use sablehaven_consensus::ReplicaId;
use sablehaven_control::operator::{ControlStatus, GroupStatus, ReplicaState, paths};
use sablehaven_types::{
    BackendRecord, ClaimAnswer, CommandRecord, Configuration, LedgerKey, RecordedOutcome,
};

use super::Context;
use crate::{
    error::{CommandError, ExitStatus},
    output::table,
};

pub(super) async fn configuration(
    context: &Context,
    matches: &ArgMatches,
) -> Result<ExitStatus, CommandError> {
    let configuration: Configuration = context
        .client
        .get(&read_path(paths::CONFIGURATION, matches))
        .await?;
    context.output.print(&configuration, || {
        let rows = configuration.services.iter().map(|(name, service)| {
            [
                name.to_string(),
                service.snapshot.id.to_string(),
                service.snapshot.shards.len().to_string(),
                service.routing.extra_load_per_mille.to_string(),
            ]
        });
        let services = table(
            ["service", "snapshot", "shards", "extra load (per mille)"],
            rows,
        );
        format!(
            "version {}, schema {}\n{services}",
            configuration.version, configuration.schema.file_name
        )
    })?;
    Ok(ExitStatus::Success)
}

pub(super) async fn history(
    context: &Context,
    matches: &ArgMatches,
) -> Result<ExitStatus, CommandError> {
    let history: Vec<CommandRecord> = context
        .client
        .get(&read_path(paths::HISTORY, matches))
        .await?;
    context.output.print(&history, || {
        let rows = history.iter().map(|record| {
            [
                record.version.to_string(),
                record.proposed_at_ms.to_string(),
                record.operator.to_string(),
                record.command_id.to_string(),
                record.reason.clone(),
            ]
        });
        table(
            ["version", "time (ms)", "operator", "command", "reason"],
            rows,
        )
    })?;
    Ok(ExitStatus::Success)
}

pub(super) async fn backends(
    context: &Context,
    matches: &ArgMatches,
) -> Result<ExitStatus, CommandError> {
    let backends: Vec<BackendRecord> = context
        .client
        .get(&read_path(paths::BACKENDS, matches))
        .await?;
    context.output.print(&backends, || {
        let rows = backends.iter().map(|backend| {
            [
                backend.id.to_string(),
                backend.service.to_string(),
                backend.placement.zone.to_string(),
                format!("{:?}", backend.state).to_lowercase(),
                backend.address.to_string(),
                backend.incarnation.to_string(),
            ]
        });
        table(
            [
                "back end",
                "service",
                "zone",
                "state",
                "address",
                "incarnation",
            ],
            rows,
        )
    })?;
    Ok(ExitStatus::Success)
}

/// Returns the path of a read request, which with `--unconfirmed` also accepts a reply without proof
/// that it is current.
fn read_path(path: &str, matches: &ArgMatches) -> String {
    if matches.get_flag("unconfirmed") {
        format!("{path}?unconfirmed=true")
    } else {
        path.to_owned()
    }
}

pub(super) async fn status(context: &Context) -> Result<ExitStatus, CommandError> {
    let status: ControlStatus = context.client.get(paths::STATUS).await?;
    context.output.print(&status, || describe_status(&status))?;
    Ok(ExitStatus::Success)
}

pub(super) async fn ledger(
    context: &Context,
    matches: &ArgMatches,
) -> Result<ExitStatus, CommandError> {
    let Some(("look-up", matches)) = matches.subcommand() else {
        unreachable!("clap requires a subcommand");
    };
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let key = LedgerKey {
        caller: text("caller").into(),
        request: text("request").into(),
        issued_at_ms: *matches
            .get_one("issued_at_ms")
            .expect("clap requires the issue time"),
    };
    let answer: ClaimAnswer = context.client.post(paths::LOOK_UP, &key).await?;
    context.output.print(&answer, || describe_claim(&answer))?;
    Ok(ExitStatus::Success)
}

fn describe_claim(answer: &ClaimAnswer) -> String {
    match answer {
        ClaimAnswer::Free => "not in the ledger: the request did not run".to_owned(),
        ClaimAnswer::Held => {
            "claimed but not settled: the request may be running or may have run".to_owned()
        }
        ClaimAnswer::Settled(RecordedOutcome::Done { body }) => {
            format!("done, with a reply of {} bytes", body.len())
        }
        ClaimAnswer::Settled(RecordedOutcome::Unknown) => {
            "dispatched once: whether the request ran is unknown".to_owned()
        }
        ClaimAnswer::BelowHorizon { horizon_ms } => {
            format!(
                "issued before the horizon ({horizon_ms} ms): its entry is no longer kept, and it can no longer run"
            )
        }
        other => format!("{other:?}"),
    }
}

fn describe_status(status: &ControlStatus) -> String {
    let formed = if status.is_formed {
        "formed"
    } else {
        "waiting to form a deployment or to be added to one"
    };
    let leader = id_or(status.leader, "unknown");
    let mut text = format!(
        "deployment {}, responding replica {}: {formed}; leader {leader}; configuration version {}\n\n",
        status.deployment, status.replica, status.configuration_version
    );
    if let Some(change) = &status.change {
        text.push_str(&format!("change in progress: {change:?}\n\n"));
    }
    text.push_str(&replica_table(&status.replicas));
    text.push('\n');
    text.push_str(&group_table(&status.groups));
    text.push_str(&format!(
        "\n{} relays with {} agents\n",
        status.relays.len(),
        status.agents.len()
    ));
    if !status.held_back.is_empty() {
        let names: Vec<&str> = status.held_back.iter().map(|id| id.as_str()).collect();
        text.push_str(&format!(
            "suspected, but kept in service by the removal limit or for shard coverage: {}\n",
            names.join(", ")
        ));
    }
    text
}

fn replica_table(replicas: &[ReplicaState]) -> String {
    let rows = replicas.iter().map(|replica| {
        [
            replica.replica.to_string(),
            replica.addresses.internal.to_string(),
            replica.addresses.http.to_string(),
            replica.connected.to_string(),
        ]
    });
    table(["replica", "internal", "http", "connected"], rows)
}

fn group_table(groups: &[GroupStatus]) -> String {
    let header = [
        "group", "leader", "term", "commit", "applied", "voters", "learners",
    ];
    let rows = groups.iter().map(|group| {
        [
            group.group.to_string(),
            id_or(group.leader, "-"),
            group.term.to_string(),
            group.commit.to_string(),
            group.applied.to_string(),
            group.voters.len().to_string(),
            group.learners.len().to_string(),
        ]
    });
    table(header, rows)
}

fn id_or(replica: Option<ReplicaId>, default: &str) -> String {
    replica.map_or_else(|| default.to_owned(), |replica| replica.to_string())
}
