//! Operators who race one another, and back ends that come and go, while other faults happen.

use std::time::Duration;

use sablehaven_history::Recorder;
use sablehaven_types::{
    ApplyCommand, CommandId, ConfigurationChange, RoutingSettings, ServiceName,
};
use tokio_util::sync::CancellationToken;

use super::{BackEnds, FleetError, Operations, World};

/// Pause between two races.
const RACE_SPACING: Duration = Duration::from_millis(1_500);

/// Time for which a back end is away.
const AWAY: Duration = Duration::from_secs(4);

/// How many operators race.
const OPERATORS: u32 = 3;

/// Lets operators send different changes against the same version again and again until `stop` is
/// cancelled; each also resends its command, as after a lost reply.
pub async fn race(operators: Vec<Operations>, stop: CancellationToken) {
    let mut round = 0;
    while !stop.is_cancelled() {
        round += 1;
        // Errors are recorded as lost replies, which a cut-off leader makes part of the run.
        let _ = race_once(&operators, round).await;
        tokio::select! {
            () = tokio::time::sleep(RACE_SPACING) => {}
            () = stop.cancelled() => {}
        }
    }
}

impl World {
    /// Operators with connections of their own.
    pub fn operators(&self) -> Result<Vec<Operations>, FleetError> {
        let operators = (1..=OPERATORS).map(|number| {
            let client = self.deployment.operator()?;
            let name = format!("operator-{number}");
            Ok(Operations::new(
                client,
                Recorder::clone(&self.recorder),
                &name,
            ))
        });
        operators.collect()
    }
}

async fn race_once(operators: &[Operations], round: u64) -> Result<(), FleetError> {
    let Some(first) = operators.first() else {
        return Ok(());
    };
    let configuration = first.configuration().await?;
    let Some(service) = configuration.services.keys().next() else {
        return Ok(());
    };
    let racers = operators.iter().zip(1..).map(|(operator, number)| {
        let command = command(configuration.version, service, round, number);
        async move {
            let _ = operator.send(&command).await;
            let _ = operator.send(&command).await;
        }
    });
    futures::future::join_all(racers).await;
    Ok(())
}

fn command(expected_version: u64, service: &ServiceName, round: u64, number: u64) -> ApplyCommand {
    let routing = RoutingSettings {
        slow_start_ms: 1_000 + round * 10 + number,
        ..RoutingSettings::default()
    };
    ApplyCommand {
        command_id: CommandId(format!("race-{round}-{number}")),
        operator: format!("operator-{number}").into(),
        reason: "race".to_owned(),
        expected_version,
        change: ConfigurationChange::SetRouting {
            service: service.clone(),
            routing,
        },
    }
}

/// Loses, drains and restores back ends of each service in turn, and rebuilds its index, until `stop`
/// is cancelled. An error of a step, such as a rebuild that a cut-off leader holds up, ends only it.
pub async fn disturb_back_ends(
    back_ends: BackEnds,
    services: Vec<ServiceName>,
    stop: CancellationToken,
    show: impl Fn(&str),
) {
    for service in services.iter().cycle() {
        if stop.is_cancelled() {
            return;
        }
        if let Err(error) = disturb_service(&back_ends, service, &show).await {
            show(&format!("back ends of {service}: {error}"));
        }
    }
}

async fn disturb_service(
    back_ends: &BackEnds,
    service: &ServiceName,
    show: &impl Fn(&str),
) -> Result<(), FleetError> {
    let all = back_ends.backends(service).await?;
    let [lost, leaving, ..] = &all[..] else {
        return Ok(());
    };
    show(&format!("{} is lost, {} leaves", lost.id, leaving.id));
    back_ends.lose(&lost.id).await?;
    back_ends.leave(leaving).await?;
    tokio::time::sleep(AWAY).await;
    show(&format!("{} and {} come back", lost.id, leaving.id));
    back_ends.restore(lost).await?;
    back_ends.restore(leaving).await?;
    show(&format!("rebuilding the index of {service}"));
    back_ends.rebuild(service).await?;
    Ok(())
}
