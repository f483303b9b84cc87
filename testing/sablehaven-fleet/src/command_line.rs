//! The command line.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::capacity::Part;

/// The name of the hidden subcommand under which the binary plays a child process.
pub const CHILD: &str = "child";

/// The whole command line.
pub fn command() -> Command {
    Command::new("fleet")
        .about("Runs a deployment as real processes on one machine")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help("Exit codes: 0 every promise was kept, 1 failed or a promise was broken, 2 command line.")
        .subcommand(demo())
        .subcommand(run())
        .subcommand(load())
        .subcommand(experiment())
        .subcommand(check())
        .subcommand(capacity())
        .subcommand(child())
}

fn demo() -> Command {
    Command::new("demo")
        .about(
            "Starts a deployment at a small size, searches and reserves through a rebuild, a lost \
             replica and a planned stop, and checks every promise",
        )
        .arg(deployment())
        .arg(seed())
        .arg(history())
}

fn run() -> Command {
    Command::new("run")
        .about("Runs a deployment under load until Ctrl-C, then checks every promise")
        .arg(deployment())
        .arg(
            Arg::new("size")
                .long("size")
                .value_name("SIZE")
                .help("The size in the deployment's fleet file")
                .default_value("full")
                .value_parser(["full", "demo"]),
        )
        .arg(seconds().help("Ends by itself after this time [default: at Ctrl-C]"))
        .arg(rate())
        .arg(
            Arg::new("faults")
                .long("faults")
                .help("Brings about faults by a seeded schedule, some together and some twice")
                .action(ArgAction::SetTrue),
        )
        .arg(seed())
        .arg(history())
}

fn load() -> Command {
    Command::new("load")
        .about("Sends a deployment's load to running agents")
        .arg(deployment())
        .arg(
            Arg::new("agent")
                .long("agent")
                .value_name("ADDRESS")
                .help("HTTP address of an agent; may be given many times")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(std::net::SocketAddr)),
        )
        .arg(
            seconds()
                .default_value("10")
                .help("How long to send, in seconds"),
        )
        .arg(rate())
        .arg(seed())
        .arg(history())
}

fn experiment() -> Command {
    Command::new("experiment")
        .about("Runs the scenarios of a file, the plain baseline beside the product")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .help("Experiment file (TOML)")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .value_name("FOLDER")
                .help("Writes <name>.json and one SVG plot a figure into this folder")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Checks every promise against a recorded history")
        .arg(
            Arg::new("history")
                .value_name("FILE")
                .help("History (JSON lines)")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
}

fn capacity() -> Command {
    Command::new("capacity")
        .about("Measures the slopes of the capacity page and prints its tables")
        .arg(
            Arg::new("part")
                .long("part")
                .value_name("PART")
                .help("What is measured; may be given many times [default: everything]")
                .action(ArgAction::Append)
                .value_parser(Part::ALL.map(Part::name)),
        )
        .arg(
            Arg::new("print")
                .long("print")
                .help("Measures nothing: prints the tables from the output folder's report")
                .requires("output")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("agents")
                .long("agents")
                .value_name("NUMBER")
                .help("The largest number of hollow agents")
                .default_value("3200")
                .value_parser(value_parser!(u32).range(96..=9_600)),
        )
        .arg(
            Arg::new("backends")
                .long("backends")
                .value_name("NUMBER")
                .help("The largest number of hollow back ends")
                .default_value("16000")
                .value_parser(value_parser!(u32).range(16..=200_000)),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .value_name("FOLDER")
                .help(
                    "Writes capacity.json and one SVG plot a slope into this folder; other parts \
                     that were measured into it before are kept",
                )
                .value_parser(value_parser!(PathBuf)),
        )
}

fn child() -> Command {
    Command::new(CHILD)
        .about("Plays a child process")
        .hide(true)
        .disable_help_flag(true)
        .arg(
            Arg::new("arguments")
                .num_args(0..)
                .trailing_var_arg(true)
                .allow_hyphen_values(true)
                .value_parser(value_parser!(std::ffi::OsString)),
        )
}

fn deployment() -> Arg {
    Arg::new("deployment")
        .long("deployment")
        .value_name("NAME")
        .help("A folder under deployments/, or the path of one")
        .default_value("trinacria")
}

fn seed() -> Arg {
    Arg::new("seed")
        .long("seed")
        .value_name("NUMBER")
        .help("Seeds back ends, callers and faults")
        .default_value("1")
        .value_parser(value_parser!(u64))
}

fn seconds() -> Arg {
    Arg::new("seconds")
        .long("seconds")
        .value_name("NUMBER")
        .value_parser(value_parser!(u64).range(1..=86_400))
}

fn rate() -> Arg {
    Arg::new("rate")
        .long("rate")
        .value_name("NUMBER")
        .help("Mean requests a second of each region")
        .default_value("20")
        .value_parser(value_parser!(f64))
}

fn history() -> Arg {
    Arg::new("history")
        .long("history")
        .value_name("FILE")
        .help("Writes the run's history (JSON lines) for `fleet check`")
        .value_parser(value_parser!(PathBuf))
}

/// A value that has a default.
pub fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    let value = matches.get_one::<T>(name);
    value
        .expect("the argument is required or has a default")
        .clone()
}
