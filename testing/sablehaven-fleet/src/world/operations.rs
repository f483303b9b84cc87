//! Operators' commands and readings, recorded.

use std::sync::atomic::{AtomicU64, Ordering};

use sablehaven_cli::OperatorClient;
use sablehaven_history::{Event, HistoryReading, OperatorCall, OperatorResult, Recorder};
use sablehaven_standins::clock;
use sablehaven_types::{
    ApplyCommand, ApplyOutcome, CommandId, CommandRecord, Configuration, ConfigurationChange,
    IndexSnapshot, ServiceName,
};
use serde::Deserialize;

use super::FleetError;

/// How often a change is tried again after another operator took the version.
const TRIES: u32 = 10;

/// An operator whose commands and readings are recorded.
pub struct Operations {
    client: OperatorClient,
    recorder: Recorder,
    name: String,
    next: AtomicU64,
}

/// Where a version is in force.
#[derive(Clone, Debug, Deserialize)]
pub struct InForce {
    /// Whether it is everywhere.
    pub in_force: bool,
}

impl Operations {
    /// An operator of this name; names set apart the commands of operators who race.
    pub fn new(client: OperatorClient, recorder: Recorder, name: &str) -> Self {
        Self {
            client,
            recorder,
            name: name.to_owned(),
            next: AtomicU64::new(1),
        }
    }

    /// The configuration in force.
    pub async fn configuration(&self) -> Result<Configuration, FleetError> {
        let sent_at = clock::now();
        let read = self
            .client
            .get::<Configuration>("/operator/v1/configuration")
            .await;
        let result = match &read {
            Ok(configuration) => OperatorResult::Read {
                version: configuration.version,
            },
            Err(_) => OperatorResult::NoReply,
        };
        self.record(None, 0, sent_at, result);
        Ok(read?)
    }

    /// Sends one change against a version.
    pub async fn apply(
        &self,
        expected_version: u64,
        reason: &str,
        change: ConfigurationChange,
    ) -> Result<ApplyOutcome, FleetError> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let command = ApplyCommand {
            command_id: CommandId(format!("{}-{number}", self.name)),
            operator: self.name.as_str().into(),
            reason: reason.to_owned(),
            expected_version,
            change,
        };
        self.send(&command).await
    }

    /// Sends a command, which may be a resend.
    pub async fn send(&self, command: &ApplyCommand) -> Result<ApplyOutcome, FleetError> {
        let sent_at = clock::now();
        let applied = self
            .client
            .post::<_, ApplyOutcome>("/operator/v1/apply", command)
            .await;
        let result = match &applied {
            Ok(ApplyOutcome::Accepted { version }) => {
                OperatorResult::Accepted { version: *version }
            }
            Ok(ApplyOutcome::Conflict {
                current_version, ..
            }) => OperatorResult::Conflict {
                current_version: *current_version,
            },
            Ok(ApplyOutcome::Invalid { .. }) => OperatorResult::Invalid,
            Err(_) => OperatorResult::NoReply,
        };
        let id = command.command_id.clone();
        self.record(Some(id), command.expected_version, sent_at, result);
        Ok(applied?)
    }

    /// Publishes a snapshot against the version in force; gives the version that it made.
    pub async fn publish(
        &self,
        service: &ServiceName,
        snapshot: &IndexSnapshot,
        reason: &str,
    ) -> Result<u64, FleetError> {
        let mut last = String::new();
        for _ in 0..TRIES {
            let expected = self.configuration().await?.version;
            let change = ConfigurationChange::PublishSnapshot {
                service: service.clone(),
                snapshot: snapshot.clone(),
            };
            match self.apply(expected, reason, change).await? {
                ApplyOutcome::Accepted { version } => return Ok(version),
                other => last = format!("{other:?}"),
            }
        }
        Err(FleetError::Publish {
            service: service.to_string(),
            snapshot: snapshot.id.to_string(),
            outcome: last,
        })
    }

    /// Waits until a version is in force everywhere; says whether it is.
    pub async fn wait_in_force(&self, version: u64, timeout_ms: u64) -> Result<bool, FleetError> {
        let path = format!("/operator/v1/wait?version={version}&timeout_ms={timeout_ms}");
        let waited: InForce = self.client.get(&path).await?;
        Ok(waited.in_force)
    }

    /// Reads the command history and records it.
    pub async fn read_history(&self) -> Result<(), FleetError> {
        let commands: Vec<CommandRecord> = self.client.get("/operator/v1/history").await?;
        self.recorder.record(Event::HistoryReading(HistoryReading {
            at: clock::now(),
            commands,
        }));
        Ok(())
    }

    fn record(
        &self,
        command: Option<CommandId>,
        expected_version: u64,
        sent_at: u64,
        result: OperatorResult,
    ) {
        self.recorder.record(Event::Operator(OperatorCall {
            command,
            expected_version,
            sent_at,
            finished_at: clock::now(),
            result,
        }));
    }
}
