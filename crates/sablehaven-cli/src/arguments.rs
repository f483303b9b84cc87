//! The command line's shape.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgAction, Command, value_parser};

use crate::settings::SettingOverride;

/// Time that an operator's command waits for a leader, in milliseconds.
const DEFAULT_TIMEOUT_MS: &str = "10000";

/// The whole command line.
pub fn command() -> Command {
    Command::new("sablehaven")
        .about("A query tier over many shards, for services whose traffic follows the sun")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(
            "Exit codes: 0 done, 1 failed, 2 command line, 3 file not valid, 4 conflict with \
             another operator, 5 not in force everywhere, 6 no leader reached (send again with \
             the same command id).",
        )
        .subcommand(role(
            "control",
            "Runs a control replica: configuration, membership and request ledger on its disk",
        ))
        .subcommand(role(
            "relay",
            "Runs a relay: passes committed state from control to agents",
        ))
        .subcommand(role(
            "agent",
            "Runs the agent beside a caller: plans, fans out, merges and answers",
        ))
        .subcommand(role(
            "gateway",
            "Runs a gateway: callers reach it over the network, servers answer by route",
        ))
        .subcommand(settings())
        .subcommand(schema())
        .subcommand(data())
        .subcommand(operator())
        .subcommand(explain())
}

fn role(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .long_about(format!(
            "{about}.\n\nPrints the bound addresses as one JSON line on standard output once it \
             listens. SIGTERM and SIGINT stop it without interrupting a request in flight."
        ))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Settings file (TOML); see `sablehaven settings template`")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("set")
                .long("set")
                .value_name("SECTION.KEY=VALUE")
                .help("Overrides one key of the settings file; may be given many times")
                .action(ArgAction::Append)
                .value_parser(|text: &str| {
                    text.parse::<SettingOverride>()
                        .map_err(|error| error.to_string())
                }),
        )
        .arg(
            Arg::new("threads")
                .long("threads")
                .value_name("NUMBER")
                .help("Threads of the runtime [default: one a core]")
                .value_parser(parse_thread_count),
        )
}

fn parse_thread_count(text: &str) -> Result<usize, String> {
    match text.parse() {
        Ok(count) if (1..=1024).contains(&count) => Ok(count),
        _ => Err("allowed is a number from 1 to 1024".to_owned()),
    }
}

fn settings() -> Command {
    Command::new("settings")
        .about("Checks settings files")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about(
                    "Checks a settings file and names key, value and allowed range of each error",
                )
                .arg(file("file", "The settings file")),
        )
        .subcommand(
            Command::new("template")
                .about("Prints a settings file with every key, its default and its meaning"),
        )
}

fn schema() -> Command {
    Command::new("schema")
        .about("Checks schemas and generates typed clients")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Checks a schema and gives file, line and reason for each error")
                .arg(file("file", "The schema (Protocol Buffers source)")),
        )
        .subcommand(
            Command::new("generate")
                .about("Writes the typed Rust clients of a schema")
                .arg(file("file", "The schema (Protocol Buffers source)"))
                .arg(
                    Arg::new("output")
                        .long("output")
                        .short('o')
                        .value_name("FILE")
                        .help("Where to write [default: standard output]")
                        .value_parser(value_parser!(PathBuf)),
                ),
        )
}

fn data() -> Command {
    Command::new("data")
        .about("Looks into a control replica's data folder")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("inspect")
                .about("Shows identity, segments, groups and damage; changes nothing")
                .arg(file("folder", "The data folder"))
                .arg(json()),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Says from saved logs what became of a request and why")
        .long_about(
            "Collects the lines of one request over the logs of any number of processes, with what \
             the process believed then, and says in words what decided. Exit code 1 means that no \
             line names the request: it went as usual, or never reached these processes.",
        )
        .arg(
            Arg::new("id")
                .long("id")
                .value_name("ID")
                .help("The request's id, as its caller sent it")
                .required(true),
        )
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .help("Saved standard output of processes; the file's name names the process")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(PathBuf)),
        )
}

fn operator() -> Command {
    Command::new("operator")
        .about("Drives a running deployment")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("control")
                .long("control")
                .value_name("ADDRESS")
                .help("HTTP address of a control replica; may be given many times")
                .required(true)
                .global(false)
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("timeout_ms")
                .long("timeout-ms")
                .value_name("MILLISECONDS")
                .help("How long to look for a leader that answers, and to wait for a version")
                .default_value(DEFAULT_TIMEOUT_MS)
                .global(true)
                .value_parser(value_parser!(u64).range(1..=3_600_000)),
        )
        .arg(json().global(true))
        .subcommand(apply())
        .subcommand(
            Command::new("wait")
                .about("Waits until a version is in force at every agent, or names those it is not")
                .arg(
                    Arg::new("version")
                        .long("version")
                        .value_name("VERSION")
                        .help("The version")
                        .required(true)
                        .value_parser(value_parser!(u64)),
                ),
        )
        .subcommand(read("configuration", "Shows the configuration in force"))
        .subcommand(read(
            "history",
            "Shows who changed the configuration, when, why",
        ))
        .subcommand(read("backends", "Shows the back ends and their state"))
        .subcommand(Command::new("status").about("Shows control replicas, groups, relays, agents"))
        .subcommand(
            Command::new("quotas")
                .about("Shows each tenant's quota, what it has had, and how often it was refused"),
        )
        .subcommand(ledger())
        .subcommand(transfer_leadership())
        .subcommand(control_machines())
}

/// A reading that may also come from a replica that cannot prove that it is current.
fn read(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(
        Arg::new("unconfirmed")
            .long("unconfirmed")
            .help("Asks without proof of being current, for when the quorum is lost")
            .action(ArgAction::SetTrue),
    )
}

fn apply() -> Command {
    Command::new("apply")
        .about("Changes the configuration by compare-and-set on its version")
        .long_about(
            "Changes the configuration by compare-and-set on its version. A resend with the same \
             command id gets the first outcome and changes nothing again.",
        )
        .arg(
            Arg::new("change")
                .long("change")
                .value_name("FILE")
                .help("The change as JSON, such as {\"change\": \"publish_snapshot\", …}")
                .required_unless_present("configuration")
                .conflicts_with("configuration")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("configuration")
                .long("configuration")
                .value_name("FILE")
                .help("A whole configuration as JSON, which replaces the one in force")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("expected_version")
                .long("expected-version")
                .value_name("VERSION")
                .help("The version that the change was made against")
                .required(true)
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("operator")
                .long("operator")
                .value_name("NAME")
                .help("Who sends the command")
                .required(true),
        )
        .arg(
            Arg::new("reason")
                .long("reason")
                .value_name("TEXT")
                .help("Why; kept in the history")
                .default_value(""),
        )
        .arg(
            Arg::new("command_id")
                .long("command-id")
                .value_name("ID")
                .help("Names the command; give it again on a resend [default: a random one, shown]"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .help("Returns when the version is in force everywhere, or names the agents where not")
                .action(ArgAction::SetTrue),
        )
}

fn ledger() -> Command {
    let text = |name: &'static str, long: &'static str, help: &'static str| {
        Arg::new(name)
            .long(long)
            .value_name("ID")
            .help(help)
            .required(true)
    };
    Command::new("ledger")
        .about("Looks into the request ledger")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("look-up")
                .about("Shows what is recorded of one request")
                .arg(text("caller", "caller", "The caller"))
                .arg(text(
                    "request",
                    "request",
                    "The caller's id for the request",
                ))
                .arg(
                    Arg::new("issued_at_ms")
                        .long("issued-at-ms")
                        .value_name("MILLISECONDS")
                        .help("When the request was issued, since the Unix epoch")
                        .required(true)
                        .value_parser(value_parser!(u64)),
                ),
        )
}

fn transfer_leadership() -> Command {
    Command::new("transfer-leadership")
        .about("Hands a group's leadership to another control replica")
        .arg(
            Arg::new("group")
                .long("group")
                .value_name("NUMBER")
                .help("The group (0: configuration and membership; from 1: ledger)")
                .required(true)
                .value_parser(value_parser!(u32)),
        )
        .arg(replica("to", "to", "The replica that is to lead"))
}

fn control_machines() -> Command {
    let address = || {
        Arg::new("address")
            .long("address")
            .value_name("ADDRESS")
            .help("The machine's internal address")
            .required(true)
            .value_parser(value_parser!(SocketAddr))
    };
    Command::new("control")
        .about("Adds, removes and replaces control replicas, one at a time")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("add")
                .about("Adds a machine: a learner first, a voter once it has caught up")
                .arg(address()),
        )
        .subcommand(
            Command::new("remove")
                .about("Removes a replica")
                .arg(replica("replica", "replica", "The replica")),
        )
        .subcommand(
            Command::new("replace")
                .about("Replaces a lost replica by a new machine")
                .arg(replica("old", "old", "The replica that is lost"))
                .arg(address()),
        )
}

fn replica(name: &'static str, long: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(long)
        .value_name("REPLICA")
        .help(help)
        .required(true)
        .value_parser(parse_replica)
}

/// Parses a replica's identity as `operator status` shows it: 16 hexadecimal digits.
fn parse_replica(text: &str) -> Result<u64, String> {
    u64::from_str_radix(text, 16).map_err(|_| {
        "expected an identity of 16 hexadecimal digits, see `operator status`".to_owned()
    })
}

fn json() -> Arg {
    Arg::new("json")
        .long("json")
        .help("Prints the result as JSON")
        .action(ArgAction::SetTrue)
}

fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("PATH")
        .help(help)
        .required(true)
        .value_parser(value_parser!(PathBuf))
}
