//! Actions that only look.

use clap::ArgMatches;
use sablehaven_control::operator::{ControlStatus, paths};
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
        .get(&path(paths::CONFIGURATION, matches))
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
    let history: Vec<CommandRecord> = context.client.get(&path(paths::HISTORY, matches)).await?;
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
            ["version", "at (ms)", "operator", "command", "reason"],
            rows,
        )
    })?;
    Ok(ExitStatus::Success)
}

pub(super) async fn backends(
    context: &Context,
    matches: &ArgMatches,
) -> Result<ExitStatus, CommandError> {
    let backends: Vec<BackendRecord> = context.client.get(&path(paths::BACKENDS, matches)).await?;
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

/// The path of a reading, with or without proof of being current.
fn path(path: &str, matches: &ArgMatches) -> String {
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
            .expect("clap requires the time"),
    };
    let answer: ClaimAnswer = context.client.post(paths::LOOK_UP, &key).await?;
    context.output.print(&answer, || describe_claim(&answer))?;
    Ok(ExitStatus::Success)
}

fn describe_claim(answer: &ClaimAnswer) -> String {
    match answer {
        ClaimAnswer::Free => "not in the ledger: it did not run".to_owned(),
        ClaimAnswer::Held => "claimed and not settled: it may run now or have run".to_owned(),
        ClaimAnswer::Settled(RecordedOutcome::Done { body }) => {
            format!("done, with a reply of {} bytes", body.len())
        }
        ClaimAnswer::Settled(RecordedOutcome::Unknown) => {
            "dispatched once; whether it ran is not known".to_owned()
        }
        ClaimAnswer::BelowHorizon { horizon_ms } => {
            format!("issued before the horizon ({horizon_ms} ms): forgotten, it can never run")
        }
        other => format!("{other:?}"),
    }
}

fn describe_status(status: &ControlStatus) -> String {
    let formed = if status.is_formed {
        "formed"
    } else {
        "waits to form a deployment or to be added"
    };
    let leader = status
        .leader
        .map_or_else(|| "none known".to_owned(), |leader| leader.to_string());
    let mut text = format!(
        "deployment {}, asked replica {}: {formed}; leader {leader}; configuration version {}\n\n",
        status.deployment, status.replica, status.configuration_version
    );
    if let Some(change) = &status.change {
        text.push_str(&format!("change under way: {change:?}\n\n"));
    }
    text.push_str(&table(
        ["replica", "internal", "http", "connected"],
        status.replicas.iter().map(|replica| {
            [
                replica.replica.to_string(),
                replica.addresses.internal.to_string(),
                replica.addresses.http.to_string(),
                replica.connected.to_string(),
            ]
        }),
    ));
    text.push('\n');
    text.push_str(&table(
        [
            "group", "leader", "term", "commit", "applied", "voters", "learners",
        ],
        status.groups.iter().map(|group| {
            [
                group.group.to_string(),
                group
                    .leader
                    .map_or_else(|| "-".to_owned(), |leader| leader.to_string()),
                group.term.to_string(),
                group.commit.to_string(),
                group.applied.to_string(),
                group.voters.len().to_string(),
                group.learners.len().to_string(),
            ]
        }),
    ));
    text.push_str(&format!(
        "\n{} relays, {} agents behind them\n",
        status.relays.len(),
        status.agents.len()
    ));
    if !status.held_back.is_empty() {
        let names: Vec<&str> = status.held_back.iter().map(|id| id.as_str()).collect();
        text.push_str(&format!(
            "suspected, kept in service by the floor: {}\n",
            names.join(", ")
        ));
    }
    text
}
