//! Operator commands that change the configuration and that wait until a version is in force.

use std::{
    path::PathBuf,
    time::{Duration, Instant, SystemTime},
};

use clap::ArgMatches;
use sablehaven_control::operator::{WaitReply, paths};
use sablehaven_types::{
    ApplyCommand, ApplyOutcome, CommandId, Configuration, ConfigurationChange, OperatorId,
};
use serde::{Serialize, de::DeserializeOwned};

use super::{Context, OperatorClient};
use crate::error::{CommandError, ExitStatus};

/// Maximum time that a single wait request asks control to wait. The client repeats the request until
/// its own timeout.
const MAX_WAIT_PER_REQUEST: Duration = Duration::from_secs(2);

/// Printed result of `operator apply`.
#[derive(Debug, Serialize)]
struct ApplyResult<'a> {
    command_id: &'a CommandId,
    #[serde(flatten)]
    outcome: &'a ApplyOutcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    wait: Option<&'a WaitReply>,
}

impl OperatorClient {
    /// Sends a change of the configuration. Sending the same command id again is safe.
    pub async fn apply(&self, command: &ApplyCommand) -> Result<ApplyOutcome, CommandError> {
        self.post(paths::APPLY, command).await
    }

    /// Waits until the version is in force at every agent, for at most the timeout of the client.
    ///
    /// If the reply has `in_force: false`, it lists the agents at which the version is not in force.
    pub async fn wait(&self, version: u64) -> Result<WaitReply, CommandError> {
        let deadline = Instant::now() + self.timeout();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let wait_ms = remaining.min(MAX_WAIT_PER_REQUEST).as_millis();
            let path = format!("{}?version={version}&timeout_ms={wait_ms}", paths::WAIT);
            let reply: WaitReply = self.get(&path).await?;
            if reply.in_force || remaining.is_zero() {
                return Ok(reply);
            }
        }
    }
}

pub(super) async fn apply(
    context: &Context,
    matches: &ArgMatches,
) -> Result<ExitStatus, CommandError> {
    let command = parse_apply_command(matches)?;
    // Printed before the command is sent, so that it can be resent if the reply is lost.
    eprintln!("command id: {}", command.command_id);
    let outcome = context.client.apply(&command).await?;
    let wait = match outcome {
        ApplyOutcome::Accepted { version } if matches.get_flag("wait") => {
            Some(context.client.wait(version).await?)
        }
        _ => None,
    };
    let result = ApplyResult {
        command_id: &command.command_id,
        outcome: &outcome,
        wait: wait.as_ref(),
    };
    context
        .output
        .print(&result, || describe(&outcome, wait.as_ref()))?;
    Ok(match (&outcome, &wait) {
        (ApplyOutcome::Conflict { .. }, _) => ExitStatus::Conflict,
        (ApplyOutcome::Invalid { .. }, _) => ExitStatus::Invalid,
        (ApplyOutcome::Accepted { .. }, Some(wait)) if !wait.in_force => ExitStatus::NotInForce,
        (ApplyOutcome::Accepted { .. }, _) => ExitStatus::Success,
    })
}

pub(super) async fn wait(
    context: &Context,
    matches: &ArgMatches,
) -> Result<ExitStatus, CommandError> {
    let version: u64 = *matches
        .get_one("version")
        .expect("clap requires the version");
    let reply = context.client.wait(version).await?;
    context.output.print(&reply, || describe_wait(&reply))?;
    Ok(if reply.in_force {
        ExitStatus::Success
    } else {
        ExitStatus::NotInForce
    })
}

fn parse_apply_command(matches: &ArgMatches) -> Result<ApplyCommand, CommandError> {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let change = match matches.get_one::<PathBuf>("configuration") {
        Some(path) => ConfigurationChange::ReplaceAll {
            configuration: read_json::<Configuration>(path)?,
        },
        None => {
            let path: &PathBuf = matches.get_one("change").expect("clap requires the change");
            read_json(path)?
        }
    };
    let operator = OperatorId(text("operator"));
    let command_id = match matches.get_one::<String>("command_id") {
        Some(id) => CommandId(id.clone()),
        None => new_command_id(&operator),
    };
    Ok(ApplyCommand {
        command_id,
        operator,
        reason: text("reason"),
        expected_version: *matches
            .get_one("expected_version")
            .expect("clap requires the version"),
        change,
    })
}

/// Generates a command id from operator, time and process id. Two ids of the same operator differ if
/// they are generated at different times or, on one machine, by different processes.
fn new_command_id(operator: &OperatorId) -> CommandId {
    let now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let process_id = std::process::id();
    CommandId(format!("{operator}-{:x}-{process_id:x}", now.as_nanos()))
}

fn read_json<Document: DeserializeOwned>(path: &PathBuf) -> Result<Document, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|source| CommandError::Read {
        path: path.clone(),
        source,
    })?;
    serde_json::from_str(&text).map_err(|error| CommandError::Parse {
        path: path.clone(),
        reason: error.to_string(),
    })
}

fn describe(outcome: &ApplyOutcome, wait: Option<&WaitReply>) -> String {
    let outcome = match outcome {
        ApplyOutcome::Accepted { version } => format!("accepted as version {version}"),
        ApplyOutcome::Conflict {
            current_version,
            winner,
        } => {
            let winner = winner.as_ref().map(|winner| {
                format!(
                    "; version {} was created by {} with command {} ({})",
                    winner.version, winner.operator, winner.command_id, winner.reason
                )
            });
            format!(
                "conflict: version {current_version} is in force{}",
                winner.unwrap_or_default()
            )
        }
        ApplyOutcome::Invalid { reasons } => {
            format!("invalid, nothing was changed:\n  {}", reasons.join("\n  "))
        }
    };
    match wait {
        Some(wait) => format!("{outcome}\n{}", describe_wait(wait)),
        None => outcome,
    }
}

fn describe_wait(reply: &WaitReply) -> String {
    if reply.in_force {
        return format!("version {} is in force at every agent", reply.version);
    }
    let mut text = format!("version {} is not in force at every agent", reply.version);
    for agent in &reply.behind {
        text.push_str(&format!(
            "\n  agent {} has version {}, last lease granted {} ms ago",
            agent.agent, agent.version, agent.lease_age_ms
        ));
    }
    if reply.settling {
        text.push_str("\n  the leader was elected recently and may not know all agents yet");
    }
    text
}
