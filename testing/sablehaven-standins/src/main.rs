//! Runs stand-ins as a process.

use std::path::Path;

use clap::{Arg, ArgAction, Command};
use sablehaven_standins::host::{self, HostFile};
use tokio::io::AsyncReadExt;

fn command() -> Command {
    let host = Command::new("host")
        .about("Serve the back ends of a host file; writes the bound addresses as one JSON line")
        .arg(Arg::new("file").required(true).help("Host file (JSON)"))
        .arg(
            Arg::new("stay")
                .long("stay")
                .action(ArgAction::SetTrue)
                .help("Keep running when standard input is closed"),
        );
    Command::new("sablehaven-standin")
        .about("Test doubles for a deployment")
        .subcommand_required(true)
        .subcommand(host)
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let matches = command().get_matches();
    if let Some(("host", arguments)) = matches.subcommand() {
        let file: &String = arguments.get_one("file").ok_or("no host file")?;
        run_host(Path::new(file), arguments.get_flag("stay")).await?;
    }
    Ok(())
}

async fn run_host(path: &Path, stay: bool) -> Result<(), Box<dyn std::error::Error>> {
    let host = host::start(HostFile::read(path)?).await?;
    println!("{}", serde_json::to_string(host.report())?);
    tokio::select! {
        result = tokio::signal::ctrl_c() => result?,
        () = input_closed(), if !stay => {}
    }
    host.stop().await;
    Ok(())
}

/// Waits until whoever started the process closes its standard input, by intent or by dying.
async fn input_closed() {
    let mut input = tokio::io::stdin();
    let mut buffer = [0; 256];
    while matches!(input.read(&mut buffer).await, Ok(length) if length > 0) {}
}
