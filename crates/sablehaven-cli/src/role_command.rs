//! The `sablehaven control`, `relay`, `agent` and `gateway` commands, which run one role until it fails
//! or a signal stops it.

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

type BoxFuture<'a, Output> = Pin<Box<dyn Future<Output = Output> + 'a>>;

/// Common interface of the handles of all roles.
trait RunningRole {
    /// Addresses on which the role listens.
    fn addresses(&self) -> BoundAddresses;
    /// Completes with the reason if the role fails.
    fn failed(&mut self) -> BoxFuture<'_, String>;
    /// Performs a planned stop, which lets requests in flight complete.
    fn stop(self: Box<Self>) -> BoxFuture<'static, ()>;
}

macro_rules! running_role {
    ($($handle:ty),+ $(,)?) => {$(
        impl RunningRole for $handle {
            fn addresses(&self) -> BoundAddresses {
                <$handle>::addresses(self)
            }

            fn failed(&mut self) -> BoxFuture<'_, String> {
                Box::pin(<$handle>::failed(self))
            }

            fn stop(self: Box<Self>) -> BoxFuture<'static, ()> {
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

/// Runs a role in four phases: it loads and checks the settings, starts the role, prints the bound
/// addresses as one JSON line on standard output, and stops without interrupting requests on SIGTERM
/// or SIGINT. A second signal during the stop terminates the process immediately.
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
    // The tasks of a gateway share state without locks, so they must stay on this thread.
    let role_future = run_until_stopped(role, loaded.settings, telemetry);
    LocalSet::new().block_on(&runtime, role_future)
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
        telemetry.ring().dump(&reason);
        return Err(role_error(role, &reason));
    }
    tokio::select! {
        () = running.stop() => Ok(ExitStatus::Success),
        _ = terminate.recv() => Err(role_error(role, &"planned stop aborted by a second signal")),
        _ = interrupt.recv() => Err(role_error(role, &"planned stop aborted by a second signal")),
    }
}

async fn start(
    role: RoleName,
    settings: Settings,
    telemetry: Telemetry,
) -> Result<Box<dyn RunningRole>, CommandError> {
    let failure = |reason: String| role_error(role, &reason);
    let running: Box<dyn RunningRole> = match role {
        RoleName::Control => {
            let result = sablehaven_control::start(settings.control, telemetry).await;
            Box::new(result.map_err(|error| failure(error.to_string()))?)
        }
        RoleName::Relay => {
            let result = sablehaven_relay::start(settings.relay, telemetry).await;
            Box::new(result.map_err(|error| failure(error.to_string()))?)
        }
        RoleName::Agent => {
            let result = sablehaven_agent::start(settings.agent, telemetry).await;
            Box::new(result.map_err(|error| failure(error.to_string()))?)
        }
        RoleName::Gateway => {
            let result = sablehaven_gateway::start(settings.gateway, HeaderNames::default());
            Box::new(result.map_err(|error| failure(error.to_string()))?)
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
