//! Changing the configuration and waiting until a version is in force.

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

/// The longest wait that one request to control asks for; the client asks again until its own limit.
const WAIT_STEP: Duration = Duration::from_secs(2);

/// What an apply with `--wait` prints.
#[derive(Debug, Serialize)]
struct ApplyResult<'a> {
    command_id: &'a CommandId,
    #[serde(flatten)]
    outcome: &'a ApplyOutcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    wait: Option<&'a WaitReply>,
}

impl OperatorClient {
    /// Sends a change of the configuration; safe to send again with the same command id.
    pub async fn apply(&self, command: &ApplyCommand) -> Result<ApplyOutcome, CommandError> {
        self.post(paths::APPLY, command).await
    }

    /// Waits until the version is in force at every agent, at most for the client's limit.
    ///
    /// A reply whose `in_force` is false names the agents where it is not.
    pub async fn wait(&self, version: u64) -> Result<WaitReply, CommandError> {
        let end = Instant::now() + self.limit();
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let step = left.min(WAIT_STEP).as_millis();
            let path = format!("{}?version={version}&timeout_ms={step}", paths::WAIT);
            let reply: WaitReply = self.get(&path).await?;
            if reply.in_force || left.is_zero() {
                return Ok(reply);
            }
        }
    }
}

pub(super) async fn apply(
    context: &Context,
    matches: &ArgMatches,
) -> Result<ExitStatus, CommandError> {
    let command = command(matches)?;
    // Named before it is sent, so that it can be sent again after a lost reply.
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

fn command(matches: &ArgMatches) -> Result<ApplyCommand, CommandError> {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let change = match matches.get_one::<PathBuf>("configuration") {
        Some(path) => ConfigurationChange::ReplaceAll {
            configuration: read_json::<Configuration>(path)?,
        },
        None => {
            let path: &PathBuf = matches.get_one("change").expect("clap requires one");
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

/// Unique for one operator at one moment on one machine.
fn new_command_id(operator: &OperatorId) -> CommandId {
    let now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let process = std::process::id();
    CommandId(format!("{operator}-{:x}-{process:x}", now.as_nanos()))
}

fn read_json<Value: DeserializeOwned>(path: &PathBuf) -> Result<Value, CommandError> {
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
                    "; version {} was made by {} with command {} ({})",
                    winner.version, winner.operator, winner.command_id, winner.reason
                )
            });
            format!(
                "conflict: version {current_version} is in force{}",
                winner.unwrap_or_default()
            )
        }
        ApplyOutcome::Invalid { reasons } => {
            format!(
                "not valid, nothing was changed:\n  {}",
                reasons.join("\n  ")
            )
        }
    };
    match wait {
        Some(wait) => format!("{outcome}\n{}", describe_wait(wait)),
        None => outcome,
    }
}

fn describe_wait(reply: &WaitReply) -> String {
    if reply.in_force {
        return format!("version {} is in force everywhere", reply.version);
    }
    let mut text = format!("version {} is not in force everywhere", reply.version);
    for agent in &reply.behind {
        text.push_str(&format!(
            "\n  agent {} has version {}, its last lease is {} ms old",
            agent.agent, agent.version, agent.lease_age_ms
        ));
    }
    if reply.settling {
        text.push_str("\n  the leader is new, and agents may be unknown to it yet");
    }
    text
}
