//! The process of the back ends: serves until its standard input ends, then says what it saw.

use std::{io::Read, time::Duration};

use clap::{ArgMatches, Command};

use crate::{
    given, number,
    support::backend::{BackendDouble, Script},
};

pub const NAME: &str = "backends";

/// How many times longer a slow reply takes.
const SLOW_FACTOR: u32 = 10;

pub fn command() -> Command {
    Command::new(NAME)
        .hide(true)
        .arg(number("shards", "0", "Shards"))
        .arg(number("replicas", "0", "Replicas of each shard"))
        .arg(number("reply-ms", "0", "Time of an ordinary reply"))
        .arg(number("slow-per-mille", "0", "Replies that take longer"))
        .arg(number(
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
    let mut rest = Vec::new();
    std::io::stdin().read_to_end(&mut rest).expect("a pipe");
    let seen: u64 = backends.iter().map(BackendDouble::count).sum();
    println!("{seen}");
}

async fn start(arguments: &ArgMatches) -> Vec<BackendDouble> {
    let replicas = given(arguments, "replicas");
    let mut backends = Vec::new();
    for index in 0..given(arguments, "shards") * replicas {
        let backend = BackendDouble::start().await;
        backend.forget_attempts();
        let is_stuck = index % replicas < given(arguments, "stuck");
        play(&backend, is_stuck, arguments);
        backends.push(backend);
    }
    backends
}

fn play(backend: &BackendDouble, is_stuck: bool, arguments: &ArgMatches) {
    if is_stuck {
        return backend.always(Script::Never);
    }
    let time = Duration::from_millis(given(arguments, "reply-ms"));
    if time.is_zero() {
        return backend.always(Script::Reply);
    }
    let slow_per_mille = given(arguments, "slow-per-mille");
    // Attempt ids are random and uniform, so they serve as the dice.
    backend.choose(move |seen| match seen.attempt % 1_000 < slow_per_mille {
        true => Script::Delay(time * SLOW_FACTOR),
        false => Script::Delay(time),
    });
}
