//! An operator who reads and changes the configuration, racing the others, and sends a command again
//! when the reply was lost, or when it was not.

use sablehaven_types::{
    ApplyCommand, ApplyOutcome, CommandId, Configuration, ConfigurationChange, IndexSnapshot,
    OperatorId, RoutingSettings, SchemaSource, ServiceConfiguration, ServiceName, SnapshotId,
};

use crate::{
    checks::OperationFloor,
    network::NodeId,
    packet::{ControlReply, ControlRequest, Packet},
    process::{Context, Input, Role},
};

const PATIENCE_MS: u64 = 400;

/// The one service of the simulated deployment.
pub fn service() -> ServiceName {
    ServiceName::from("simulated.Stock")
}

struct Operation {
    call: u64,
    /// None for a read.
    command: Option<ApplyCommand>,
    floor: OperationFloor,
    sent_ms: u64,
}

/// An operator.
pub struct Operator {
    index: usize,
    control: usize,
    known_version: u64,
    calls: u64,
    operation: Option<Operation>,
}

impl Operator {
    /// An operator who starts with control machine `control`.
    pub fn start(index: usize, control: usize) -> Self {
        Self {
            index,
            control,
            known_version: 0,
            calls: 0,
            operation: None,
        }
    }

    fn tick(&mut self, context: &mut Context<'_>) {
        match &self.operation {
            Some(operation)
                if context.local_ms >= operation.sent_ms + context.scaled(PATIENCE_MS) =>
            {
                self.control = (self.control + 1) % context.settings.control_machines;
                self.send(context);
            }
            Some(_) => {}
            None if context.random.chance(100) => self.begin(context, None),
            None if context.random.chance(200) => {
                let command = self.new_command(context);
                self.begin(context, Some(command));
            }
            None => {}
        }
    }

    fn new_command(&mut self, context: &mut Context<'_>) -> ApplyCommand {
        let number = context.random.number();
        let change = match self.known_version {
            0 => ConfigurationChange::ReplaceAll {
                configuration: first_configuration(),
            },
            _ => ConfigurationChange::SetRouting {
                service: service(),
                routing: RoutingSettings {
                    extra_load_per_mille: (number % 1_000) as u32,
                    ..RoutingSettings::default()
                },
            },
        };
        ApplyCommand {
            command_id: CommandId(format!("command-{}-{number:x}", self.index)),
            operator: OperatorId(format!("operator-{}", self.index)),
            reason: String::new(),
            expected_version: self.known_version,
            change,
        }
    }

    fn begin(&mut self, context: &mut Context<'_>, command: Option<ApplyCommand>) {
        self.calls += 1;
        self.operation = Some(Operation {
            call: self.calls,
            command,
            floor: context.checks.operation_started(),
            sent_ms: 0,
        });
        self.send(context);
    }

    fn send(&mut self, context: &mut Context<'_>) {
        let Some(operation) = &mut self.operation else {
            return;
        };
        operation.sent_ms = context.local_ms;
        let request = match &operation.command {
            Some(command) => ControlRequest::Apply(command.clone()),
            None => ControlRequest::Read,
        };
        let call = operation.call;
        let packet = Packet::ToControl { call, request };
        context.send(NodeId::Control(self.control), packet);
    }

    fn replied(&mut self, context: &mut Context<'_>, call: u64, reply: ControlReply) {
        let is_current = self.operation.as_ref().map(|operation| operation.call) == Some(call);
        if !is_current {
            return;
        }
        match reply {
            ControlReply::NotLeader { leader } => {
                let place = leader.and_then(|leader| context.places.get(&leader).copied());
                if let Some(place) = place {
                    self.control = place;
                    self.send(context);
                }
            }
            ControlReply::Version(version) => {
                if let Some(operation) = self.operation.take() {
                    context
                        .checks
                        .version_read(context.now, operation.floor, version);
                    self.known_version = self.known_version.max(version);
                }
            }
            ControlReply::Applied(outcome) => self.applied(context, outcome),
            _ => {}
        }
    }

    fn applied(&mut self, context: &mut Context<'_>, outcome: ApplyOutcome) {
        let Some(operation) = self.operation.take() else {
            return;
        };
        let Some(command) = operation.command else {
            return;
        };
        let version = match &outcome {
            ApplyOutcome::Accepted { version } => *version,
            ApplyOutcome::Conflict {
                current_version, ..
            } => *current_version,
            ApplyOutcome::Invalid { .. } => 0,
        };
        self.known_version = self.known_version.max(version);
        context
            .checks
            .command_finished(context.now, operation.floor, &command, &outcome);
        if context.random.chance(150) {
            self.begin(context, Some(command));
        }
    }
}

fn first_configuration() -> Configuration {
    let configuration = ServiceConfiguration {
        snapshot: IndexSnapshot {
            id: SnapshotId {
                generation: 1,
                partition_map: 1,
            },
            shards: Vec::new(),
        },
        routing: RoutingSettings::default(),
    };
    Configuration {
        version: 0,
        schema: SchemaSource::default(),
        services: [(service(), configuration)].into(),
    }
}

impl Role for Operator {
    fn handle(&mut self, context: &mut Context<'_>, input: Input) {
        match input {
            Input::Tick => self.tick(context),
            Input::Packet {
                packet: Packet::FromControl { call, reply },
                ..
            } => self.replied(context, call, reply),
            Input::Packet { .. } | Input::Synced(_) => {}
        }
    }
}
