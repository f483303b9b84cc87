//! Back-end process of the benchmark: serves until its standard input is closed, then prints the number of
//! attempts it received.

use std::{io::Read, time::Duration};

use clap::{ArgMatches, Command};

use crate::{
    numeric_arg, numeric_value,
    support::backend::{BackendDouble, Script},
};

pub const NAME: &str = "backends";

/// Ratio of the delay of a slow reply to that of an ordinary one.
const SLOW_FACTOR: u32 = 10;

pub fn command() -> Command {
    Command::new(NAME)
        .hide(true)
        .arg(numeric_arg("shards", "0", "Shards"))
        .arg(numeric_arg("replicas", "0", "Replicas of each shard"))
        .arg(numeric_arg("reply-ms", "0", "Delay of an ordinary reply"))
        .arg(numeric_arg(
            "slow-per-mille",
            "0",
            "Slow replies per thousand",
        ))
        .arg(numeric_arg(
            "stuck",
            "0",
            "Replicas of each shard that never reply",
        ))
}

pub fn run(arguments: &ArgMatches) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let backends = runtime.block_on(start(arguments));
    let addresses: Vec<_> = backends
        .iter()
        .map(|backend| backend.address.to_string())
        .collect();
    println!("{}", addresses.join(" "));
    let mut remaining_input = Vec::new();
    std::io::stdin()
        .read_to_end(&mut remaining_input)
        .expect("a pipe");
    let attempt_count: u64 = backends.iter().map(BackendDouble::attempt_count).sum();
    println!("{attempt_count}");
}

async fn start(arguments: &ArgMatches) -> Vec<BackendDouble> {
    let replicas = numeric_value(arguments, "replicas");
    let mut backends = Vec::new();
    for index in 0..numeric_value(arguments, "shards") * replicas {
        let backend = BackendDouble::start().await;
        backend.stop_recording();
        let is_stuck = index % replicas < numeric_value(arguments, "stuck");
        set_script(&backend, is_stuck, arguments);
        backends.push(backend);
    }
    backends
}

fn set_script(backend: &BackendDouble, is_stuck: bool, arguments: &ArgMatches) {
    if is_stuck {
        return backend.set_script(Script::NeverReply);
    }
    let reply_delay = Duration::from_millis(numeric_value(arguments, "reply-ms"));
    if reply_delay.is_zero() {
        return backend.set_script(Script::Reply);
    }
    let slow_per_mille = numeric_value(arguments, "slow-per-mille");
    // Attempt IDs are uniformly random, so they select the slow replies.
    backend.set_script_fn(
        move |received| match received.attempt_id % 1_000 < slow_per_mille {
            true => Script::Delay(reply_delay * SLOW_FACTOR),
            false => Script::Delay(reply_delay),
        },
    );
}
