//! Prints every second of one run, as an aid for tuning a mechanism.

use crate::policy::PolicyKind;
use crate::runs::Plan;
use crate::scenario::Scenario;
use crate::simulation::run;

/// Runs the scenario once and prints the utilisation, answers and extra load of every second.
pub fn print(scenario: &Scenario, _plan: Plan) {
    let measured = run(scenario, PolicyKind::Router, 1);
    let capacity = scenario.capacity() / scenario.topology.regions as f64;
    for (index, second) in measured.seconds.iter().enumerate() {
        let served: Vec<String> = second
            .served
            .iter()
            .map(|&served| format!("{:5.2}", served as f64 / capacity))
            .collect();
        let complete: u64 = second.complete.iter().sum();
        let queries: u64 = second.queries.iter().sum();
        println!(
            "{index:4} utilisation {} queries {queries:6} complete {complete:6} needed {:7} extra {:6}",
            served.join(" "),
            second.needed,
            second.extra,
        );
    }
}
