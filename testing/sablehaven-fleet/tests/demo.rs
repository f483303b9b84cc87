//! One short run with real processes: the demonstration keeps every promise.

use sablehaven_fleet::{
    command_line::CHILD,
    demo_command::{self, DemoSettings},
};
use sablehaven_harness::Program;
use sablehaven_history::Limits;

/// The demonstration's own limits are those of the promises. Here they are long, so that the verdict
/// does not depend on how busy the machine is; a back end that still gets work after ten seconds, or
/// an agent that never sees a configuration, is found all the same.
const LIMITS: Limits = Limits {
    leaving_ms: 10_000,
    in_force_ms: 60_000,
};

#[tokio::test(flavor = "multi_thread")]
async fn the_demonstration_keeps_every_promise() {
    let settings = DemoSettings {
        deployment: "trinacria".to_owned(),
        seed: 1,
        limits: LIMITS,
    };
    let program = Program::new(env!("CARGO_BIN_EXE_fleet")).with_argument(CHILD);
    let result = demo_command::run(&settings, &program)
        .await
        .expect("runs to its end");
    assert!(result.is_kept(), "{}", result.text());
}
