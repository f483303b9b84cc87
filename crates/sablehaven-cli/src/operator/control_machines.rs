//! Operator commands that add, remove and replace control replicas, and that transfer leadership.

use std::net::SocketAddr;

use clap::ArgMatches;
use sablehaven_consensus::ReplicaId;
use sablehaven_control::{
    operator::{
        AddReplica, RemoveReplica, ReplaceReplica, TransferLeadership, TransferStarted, paths,
    },
    replicas::ReplicasOutcome,
};

use super::Context;
use crate::error::{CommandError, ExitStatus};

pub(super) async fn run(
    context: &Context,
    matches: &ArgMatches,
) -> Result<ExitStatus, CommandError> {
    let client = &context.client;
    let outcome: ReplicasOutcome = match matches.subcommand() {
        Some(("add", matches)) => {
            let request = AddReplica {
                address: address(matches),
            };
            client.post(paths::ADD, &request).await?
        }
        Some(("remove", matches)) => {
            let request = RemoveReplica {
                replica: replica(matches, "replica"),
            };
            client.post(paths::REMOVE, &request).await?
        }
        Some(("replace", matches)) => {
            let request = ReplaceReplica {
                old: replica(matches, "old"),
                address: address(matches),
            };
            client.post(paths::REPLACE, &request).await?
        }
        _ => unreachable!("clap requires a subcommand"),
    };
    context.output.print(&outcome, || describe(&outcome))?;
    Ok(match outcome {
        ReplicasOutcome::Started { .. } | ReplicasOutcome::Recorded => ExitStatus::Success,
        ReplicasOutcome::Busy { .. } => ExitStatus::Conflict,
        ReplicasOutcome::Refused { .. } => ExitStatus::Invalid,
    })
}

pub(super) async fn transfer(
    context: &Context,
    matches: &ArgMatches,
) -> Result<ExitStatus, CommandError> {
    let request = TransferLeadership {
        group: *matches.get_one("group").expect("clap requires the group"),
        to: replica(matches, "to"),
    };
    let started: TransferStarted = context.client.post(paths::TRANSFER, &request).await?;
    context.output.print(&started, || {
        format!(
            "transfer of the leadership of group {} to {} started; `operator status` shows the leader",
            started.group, started.to
        )
    })?;
    Ok(ExitStatus::Success)
}

fn describe(outcome: &ReplicasOutcome) -> String {
    match outcome {
        ReplicasOutcome::Started { change } => {
            format!(
                "change {change} started; `operator status` shows whether it is still in progress"
            )
        }
        ReplicasOutcome::Busy { current } => {
            format!("another change is in progress: {current:?}")
        }
        ReplicasOutcome::Refused { reason } => format!("refused: {reason}"),
        ReplicasOutcome::Recorded => "recorded".to_owned(),
    }
}

fn address(matches: &ArgMatches) -> SocketAddr {
    *matches
        .get_one("address")
        .expect("clap requires the address")
}

fn replica(matches: &ArgMatches, name: &str) -> ReplicaId {
    ReplicaId(*matches.get_one(name).expect("clap requires the replica"))
}
