//! `sablehaven control`, `relay`, `agent` and `gateway`: runs one role until it is told to stop.

use std::{future::Future, path::PathBuf, pin::Pin};

use clap::ArgMatches;
use sablehaven_gateway::names::HeaderNames;
use sablehaven_telemetry::Telemetry;
use sablehaven_types::BoundAddresses;
use tokio::{
    signal::unix::{SignalKind, signal},
    task::LocalSet,
};

use crate::{
    error::{CommandError, ExitStatus},
    settings::{self, RoleName, SettingOverride, Settings},
};

type Finished<'a, Output> = Pin<Box<dyn Future<Output = Output> + 'a>>;

/// A started role of any kind.
trait RunningRole {
    fn addresses(&self) -> BoundAddresses;
    fn failed(&mut self) -> Finished<'_, String>;
    fn stop(self: Box<Self>) -> Finished<'static, ()>;
}

macro_rules! running_role {
    ($($handle:ty),+ $(,)?) => {$(
        impl RunningRole for $handle {
            fn addresses(&self) -> BoundAddresses {
                <$handle>::addresses(self)
            }

            fn failed(&mut self) -> Finished<'_, String> {
                Box::pin(<$handle>::failed(self))
            }

            fn stop(self: Box<Self>) -> Finished<'static, ()> {
                Box::pin(<$handle>::stop(*self))
            }
        }
    )+};
}

running_role!(
    sablehaven_control::Handle,
    sablehaven_relay::Handle,
    sablehaven_agent::Handle,
    sablehaven_gateway::Handle,
);

/// Runs the role in four phases: load and check the settings, start, print the bound addresses as
/// one JSON line on standard output, and on SIGTERM or SIGINT stop without interrupting a request.
/// A second signal during the stop ends the process at once.
pub(crate) fn run(role: RoleName, matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    let path = matches.get_one::<PathBuf>("settings");
    let overrides: Vec<SettingOverride> = matches
        .get_many("set")
        .unwrap_or_default()
        .cloned()
        .collect();
    let loaded = settings::load(path.map(PathBuf::as_path), &overrides, Some(role))?;
    let telemetry = Telemetry::new(role.as_str());
    telemetry
        .install_logger()
        .map_err(|error| role_error(role, &error))?;
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if let Some(&threads) = matches.get_one::<usize>("threads") {
        builder.worker_threads(threads);
    }
    let runtime = builder
        .enable_all()
        .build()
        .map_err(CommandError::Runtime)?;
    // A gateway's tasks share state without locks, so they stay on this thread.
    let running = run_until_stopped(role, loaded.settings, telemetry);
    LocalSet::new().block_on(&runtime, running)
}

async fn run_until_stopped(
    role: RoleName,
    settings: Settings,
    telemetry: Telemetry,
) -> Result<ExitStatus, CommandError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(CommandError::Runtime)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(CommandError::Runtime)?;
    let mut running = start(role, settings, telemetry.clone()).await?;
    print_addresses(running.addresses())?;
    let failure = tokio::select! {
        _ = terminate.recv() => None,
        _ = interrupt.recv() => None,
        reason = running.failed() => Some(reason),
    };
    if let Some(reason) = failure {
        telemetry.ring().write_out(&reason);
        return Err(role_error(role, &reason));
    }
    tokio::select! {
        () = running.stop() => Ok(ExitStatus::Success),
        _ = terminate.recv() => Err(role_error(role, &"stop: told to stop a second time")),
        _ = interrupt.recv() => Err(role_error(role, &"stop: told to stop a second time")),
    }
}

async fn start(
    role: RoleName,
    settings: Settings,
    telemetry: Telemetry,
) -> Result<Box<dyn RunningRole>, CommandError> {
    let error = |reason: String| role_error(role, &reason);
    let running: Box<dyn RunningRole> = match role {
        RoleName::Control => {
            let started = sablehaven_control::start(settings.control, telemetry).await;
            Box::new(started.map_err(|reason| error(reason.to_string()))?)
        }
        RoleName::Relay => {
            let started = sablehaven_relay::start(settings.relay, telemetry).await;
            Box::new(started.map_err(|reason| error(reason.to_string()))?)
        }
        RoleName::Agent => {
            let started = sablehaven_agent::start(settings.agent, telemetry).await;
            Box::new(started.map_err(|reason| error(reason.to_string()))?)
        }
        RoleName::Gateway => {
            let started = sablehaven_gateway::start(settings.gateway, HeaderNames::default());
            Box::new(started.map_err(|reason| error(reason.to_string()))?)
        }
    };
    Ok(running)
}

fn print_addresses(addresses: BoundAddresses) -> Result<(), CommandError> {
    use std::io::Write;

    let line = serde_json::to_string(&addresses).map_err(CommandError::Encode)?;
    let mut output = std::io::stdout().lock();
    writeln!(output, "{line}")
        .and_then(|()| output.flush())
        .map_err(CommandError::Output)
}

fn role_error(role: RoleName, reason: &dyn std::fmt::Display) -> CommandError {
    CommandError::Role {
        role: role.as_str(),
        reason: reason.to_string(),
    }
}
