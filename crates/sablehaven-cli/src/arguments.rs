//! Definition of the command line: subcommands, arguments and help texts.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgAction, Command, value_parser};

use crate::settings::SettingOverride;

/// Default of `--timeout-ms`, the time for which an operator command looks for a leader, in
/// milliseconds.
const DEFAULT_TIMEOUT_MS: &str = "10000";

/// Returns the definition of the command line.
pub fn command() -> Command {
    Command::new("sablehaven")
        .about("Distributed query tier that fans requests out over the shards of a service")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(
            "Exit codes: 0 success, 1 failure, 2 invalid command line, 3 invalid file or damaged \
             data folder, or a change of the control replicas was refused, 4 conflict with \
             another change, 5 version not in force at every agent, 6 no leader reached (retry \
             with the same command id).",
        )
        .subcommand(role_command(
            "control",
            "Runs a control replica, which keeps configuration, membership and request ledger on disk",
        ))
        .subcommand(role_command(
            "relay",
            "Runs a relay, which forwards committed state from control to agents",
        ))
        .subcommand(role_command(
            "agent",
            "Runs an agent, which serves the requests of callers on the same host",
        ))
        .subcommand(role_command(
            "gateway",
            "Runs a gateway, which routes requests of network clients to servers",
        ))
        .subcommand(settings_command())
        .subcommand(schema_command())
        .subcommand(data_command())
        .subcommand(operator_command())
        .subcommand(explain_command())
}

fn role_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .long_about(format!(
            "{about}.\n\nOnce it listens, it prints the bound addresses as one JSON line on standard \
             output. SIGTERM and SIGINT stop it without interrupting requests in flight."
        ))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Settings file (TOML), see `sablehaven settings template`")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("set")
                .long("set")
                .value_name("SECTION.KEY=VALUE")
                .help("Overrides one key of the settings file (repeatable)")
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
                .help("Number of runtime worker threads [default: one per core]")
                .value_parser(parse_thread_count),
        )
}

fn parse_thread_count(text: &str) -> Result<usize, String> {
    match text.parse() {
        Ok(count) if (1..=1024).contains(&count) => Ok(count),
        _ => Err("expected a number from 1 to 1024".to_owned()),
    }
}

fn settings_command() -> Command {
    Command::new("settings")
        .about("Checks settings files and prints a template")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about(
                    "Checks a settings file and reports key, value and allowed range of each error",
                )
                .arg(path_argument("file", "Settings file (TOML)")),
        )
        .subcommand(
            Command::new("template")
                .about("Prints a settings file with every key, its default and its description"),
        )
}

fn schema_command() -> Command {
    Command::new("schema")
        .about("Checks schemas and generates typed clients")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Checks a schema and reports file, line and reason of each error")
                .arg(path_argument("file", "Schema (Protocol Buffers source)")),
        )
        .subcommand(
            Command::new("generate")
                .about("Generates the typed Rust clients of a schema")
                .arg(path_argument("file", "Schema (Protocol Buffers source)"))
                .arg(
                    Arg::new("output")
                        .long("output")
                        .short('o')
                        .value_name("FILE")
                        .help("Output file [default: standard output]")
                        .value_parser(value_parser!(PathBuf)),
                ),
        )
}

fn data_command() -> Command {
    Command::new("data")
        .about("Inspects the data folder of a control replica")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("inspect")
                .about("Shows identity, segments, groups and damage without changing anything")
                .arg(path_argument("folder", "Data folder"))
                .arg(json_flag()),
        )
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Explains the outcome of a request from saved logs")
        .long_about(
            "Collects the log lines of one request from the logs of any number of processes, adds \
             the state of the process at that time, and explains the outcome. Exit code 1 means \
             that no line names the request: it was served normally, or it never reached these \
             processes.",
        )
        .arg(
            Arg::new("id")
                .long("id")
                .value_name("ID")
                .help("Request id, as sent by the caller")
                .required(true),
        )
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .help("Saved standard output of a process; the file name identifies the process")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(PathBuf)),
        )
}

fn operator_command() -> Command {
    Command::new("operator")
        .about("Inspects and changes a running deployment")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("control")
                .long("control")
                .value_name("ADDRESS")
                .help("HTTP address of a control replica (repeatable)")
                .required(true)
                .global(false)
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("timeout_ms")
                .long("timeout-ms")
                .value_name("MILLISECONDS")
                .help("Maximum time to look for a leader and to wait for a version")
                .default_value(DEFAULT_TIMEOUT_MS)
                .global(true)
                .value_parser(value_parser!(u64).range(1..=3_600_000)),
        )
        .arg(json_flag().global(true))
        .subcommand(apply_command())
        .subcommand(
            Command::new("wait")
                .about("Waits until a version is in force at every agent; lists the agents behind on timeout")
                .arg(
                    Arg::new("version")
                        .long("version")
                        .value_name("VERSION")
                        .help("Configuration version")
                        .required(true)
                        .value_parser(value_parser!(u64)),
                ),
        )
        .subcommand(read_command("configuration", "Shows the configuration in force"))
        .subcommand(read_command(
            "history",
            "Shows the changes of the configuration with operator, time and reason",
        ))
        .subcommand(read_command("backends", "Shows the back ends and their states"))
        .subcommand(Command::new("status").about("Shows control replicas, groups, relays and agents"))
        .subcommand(
            Command::new("quotas")
                .about("Shows each tenant's quota and its granted and refused requests"),
        )
        .subcommand(ledger_command())
        .subcommand(transfer_leadership_command())
        .subcommand(control_command())
}

/// Defines a read command, which has a flag to also accept a reply from a replica that cannot prove
/// that it is current.
fn read_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(
        Arg::new("unconfirmed")
            .long("unconfirmed")
            .help("Accepts a possibly stale reply, for use when the quorum is lost")
            .action(ArgAction::SetTrue),
    )
}

fn apply_command() -> Command {
    Command::new("apply")
        .about("Changes the configuration by compare-and-set on its version")
        .long_about(
            "Changes the configuration by compare-and-set on its version. A resend with the same \
             command id returns the original outcome and does not apply the change again.",
        )
        .arg(
            Arg::new("change")
                .long("change")
                .value_name("FILE")
                .help("Change as JSON, such as {\"change\": \"publish_snapshot\", …}")
                .required_unless_present("configuration")
                .conflicts_with("configuration")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("configuration")
                .long("configuration")
                .value_name("FILE")
                .help("Complete configuration as JSON, which replaces the one in force")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("expected_version")
                .long("expected-version")
                .value_name("VERSION")
                .help("Configuration version on which the change is based")
                .required(true)
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("operator")
                .long("operator")
                .value_name("NAME")
                .help("Name of the operator who sends the command")
                .required(true),
        )
        .arg(
            Arg::new("reason")
                .long("reason")
                .value_name("TEXT")
                .help("Reason for the change, kept in the history")
                .default_value(""),
        )
        .arg(
            Arg::new("command_id")
                .long("command-id")
                .value_name("ID")
                .help("Identifies the command; reuse it on a resend [default: generated and printed]"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .help("Waits until the version is in force at every agent; lists the agents behind on timeout")
                .action(ArgAction::SetTrue),
        )
}

fn ledger_command() -> Command {
    let id_argument = |name: &'static str, long: &'static str, help: &'static str| {
        Arg::new(name)
            .long(long)
            .value_name("ID")
            .help(help)
            .required(true)
    };
    Command::new("ledger")
        .about("Inspects the request ledger")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("look-up")
                .about("Shows the ledger entry of one request")
                .arg(id_argument("caller", "caller", "Caller of the request"))
                .arg(id_argument(
                    "request",
                    "request",
                    "Request id, unique among the requests of the caller",
                ))
                .arg(
                    Arg::new("issued_at_ms")
                        .long("issued-at-ms")
                        .value_name("MILLISECONDS")
                        .help("Issue time of the request, in milliseconds since the Unix epoch")
                        .required(true)
                        .value_parser(value_parser!(u64)),
                ),
        )
}

fn transfer_leadership_command() -> Command {
    Command::new("transfer-leadership")
        .about("Transfers the leadership of a group to another control replica")
        .arg(
            Arg::new("group")
                .long("group")
                .value_name("NUMBER")
                .help("Group number (0: configuration and membership, 1 and above: ledger)")
                .required(true)
                .value_parser(value_parser!(u32)),
        )
        .arg(replica_argument(
            "to",
            "to",
            "Replica that becomes the leader",
        ))
}

fn control_command() -> Command {
    let address = || {
        Arg::new("address")
            .long("address")
            .value_name("ADDRESS")
            .help("Internal address of the machine")
            .required(true)
            .value_parser(value_parser!(SocketAddr))
    };
    Command::new("control")
        .about("Adds, removes and replaces control replicas, one at a time")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("add")
                .about("Adds a machine, as a learner until it has caught up, then as a voter")
                .arg(address()),
        )
        .subcommand(
            Command::new("remove")
                .about("Removes a control replica")
                .arg(replica_argument("replica", "replica", "Replica to remove")),
        )
        .subcommand(
            Command::new("replace")
                .about("Replaces a lost control replica with a new machine")
                .arg(replica_argument("old", "old", "Lost replica"))
                .arg(address()),
        )
}

fn replica_argument(name: &'static str, long: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(long)
        .value_name("REPLICA")
        .help(help)
        .required(true)
        .value_parser(parse_replica_id)
}

/// Parses a replica's identity, 16 hexadecimal digits as shown by `operator status`.
fn parse_replica_id(text: &str) -> Result<u64, String> {
    u64::from_str_radix(text, 16)
        .map_err(|_| "expected 16 hexadecimal digits as shown by `operator status`".to_owned())
}

fn json_flag() -> Arg {
    Arg::new("json")
        .long("json")
        .help("Prints the result as JSON")
        .action(ArgAction::SetTrue)
}

fn path_argument(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("PATH")
        .help(help)
        .required(true)
        .value_parser(value_parser!(PathBuf))
}
