//! The `sablehaven operator` command. Each of its actions prints its result as text or JSON.

mod apply;
mod client;
mod control_machines;
mod quotas;
mod reads;

pub use client::OperatorClient;

use std::{net::SocketAddr, time::Duration};

use clap::ArgMatches;

use crate::error::{CommandError, ExitStatus};
use crate::output::Output;

/// Client and output format that an action uses.
struct Context {
    client: OperatorClient,
    output: Output,
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::Runtime)?;
    runtime.block_on(dispatch(matches))
}

async fn dispatch(matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    let Some((action, action_matches)) = matches.subcommand() else {
        unreachable!("clap requires a subcommand");
    };
    let context = new_context(matches, action_matches)?;
    match action {
        "apply" => apply::apply(&context, action_matches).await,
        "wait" => apply::wait(&context, action_matches).await,
        "configuration" => reads::configuration(&context, action_matches).await,
        "history" => reads::history(&context, action_matches).await,
        "backends" => reads::backends(&context, action_matches).await,
        "status" => reads::status(&context).await,
        "quotas" => quotas::quotas(&context).await,
        "ledger" => reads::ledger(&context, action_matches).await,
        "transfer-leadership" => control_machines::transfer(&context, action_matches).await,
        "control" => control_machines::run(&context, action_matches).await,
        _ => unreachable!("clap rejects unknown actions"),
    }
}

fn new_context(matches: &ArgMatches, action_matches: &ArgMatches) -> Result<Context, CommandError> {
    let control: Vec<SocketAddr> = matches
        .get_many("control")
        .unwrap_or_default()
        .copied()
        .collect();
    let timeout_ms: u64 = *action_matches
        .get_one("timeout_ms")
        .expect("the timeout has a default");
    Ok(Context {
        client: OperatorClient::new(control, Duration::from_millis(timeout_ms))?,
        output: Output::new(action_matches.get_flag("json")),
    })
}
