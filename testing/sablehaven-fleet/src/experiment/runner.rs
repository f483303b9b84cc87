//! Runs the scenarios of an experiment with both contenders.

use std::time::Duration;

use sablehaven_harness::Program;
use sablehaven_history::{Event, Recorder};
use sablehaven_schema::DeploymentSchema;
use sablehaven_standins::{
    caller::{Driver, DriverSettings, LoadShape, MixEntry, RegionLoad, Surge},
    clock,
};
use tokio_util::sync::CancellationToken;

use super::{
    contenders::Contenders,
    figures::{Contender, Figures, Window, figures},
    file::{ExperimentFile, Scenario},
    report::{ExperimentReport, Repeat, ScenarioReport},
    topology,
};
use crate::{progress::Progress, world::FleetError};

/// Elements of each repeated field in a stand-in's reply.
const ITEMS: u32 = 2;

/// Runs every scenario of an experiment.
///
/// Each repeat has a deployment of its own with both contenders before the same back ends; which of
/// them runs first alternates, so that neither always finds the other's traces.
pub async fn run(file: &ExperimentFile, program: &Program) -> Result<ExperimentReport, FleetError> {
    let progress = Progress::default();
    let mut scenarios = Vec::new();
    for scenario in &file.scenarios {
        let schema = topology::schema(scenario.topology.regions)?;
        let mut repeats = Vec::new();
        for number in 0..file.repeats {
            let seed = file.seed.wrapping_add(u64::from(number));
            let run = ScenarioRun::start(scenario, &schema, seed, program).await?;
            let mut order = [Contender::Baseline, Contender::Candidate];
            order.rotate_left(number as usize % 2);
            for contender in order {
                let figures = run.measure(contender).await?;
                progress.show(&format!(
                    "{}, repeat {} of {}, {contender:?}: p99 {:.1} ms, coverage {:.4}, extra load {:.4}",
                    scenario.name,
                    number + 1,
                    file.repeats,
                    figures.p99_ms,
                    figures.coverage,
                    figures.extra_load
                ));
                repeats.push(Repeat {
                    contender,
                    number,
                    figures,
                });
            }
        }
        scenarios.push(ScenarioReport::new(&scenario.name, repeats));
    }
    Ok(ExperimentReport {
        experiment: file.name.clone(),
        scenarios,
    })
}

/// One repeat of a scenario.
struct ScenarioRun<'a> {
    scenario: &'a Scenario,
    schema: &'a DeploymentSchema,
    seed: u64,
    contenders: Contenders,
}

impl<'a> ScenarioRun<'a> {
    async fn start(
        scenario: &'a Scenario,
        schema: &'a DeploymentSchema,
        seed: u64,
        program: &Program,
    ) -> Result<Self, FleetError> {
        let plan = topology::plan(&scenario.topology, schema, seed);
        Ok(Self {
            scenario,
            schema,
            seed,
            contenders: Contenders::start(plan, program).await?,
        })
    }

    /// Warms up, disturbs, lets it settle, measures, calms.
    async fn measure(&self, contender: Contender) -> Result<Figures, FleetError> {
        let plan = self.contenders.deployment.plan();
        let servers = plan.fleet.servers(&plan.size);
        let Scenario {
            topology,
            disturbance,
            ..
        } = self.scenario;
        let disturbed = topology::disturbed(&servers, topology, disturbance);
        let recorder = Recorder::new();
        let driver = self.driver(contender, &recorder)?;
        let stop = CancellationToken::new();
        let admin = self.contenders.deployment.admin();
        let executions_before = admin.executions(0).await?.len();
        let sending = tokio::spawn(async move { driver.run(&stop).await });
        pause(self.scenario.warm_up_ms).await;
        self.contenders.disturb(&disturbed).await?;
        pause(self.scenario.settle_ms).await;
        let used_before = self.contenders.process_use(contender)?;
        let from = clock::now();
        pause(self.scenario.measure_ms).await;
        let window = Window {
            from,
            until: clock::now(),
        };
        let used = self.contenders.process_use(contender)?;
        sending
            .await
            .map_err(|error| FleetError::step("run callers", error))?;
        self.contenders.calm(&disturbed).await?;
        let executions = admin.executions(executions_before).await?;
        recorder.extend(executions.into_iter().map(Event::Execution));
        let mut figures = figures(&recorder.history(), window, topology);
        let processor = used.processor.saturating_sub(used_before.processor);
        let requests = figures.queries * f64::from(topology.shards);
        figures.agent_us_per_request = processor.as_secs_f64() * 1e6 / requests.max(1.0);
        figures.agent_megabytes = used.resident_bytes as f64 / 1e6;
        Ok(figures)
    }

    fn driver(&self, contender: Contender, recorder: &Recorder) -> Result<Driver, FleetError> {
        let scenario = self.scenario;
        let time_ms = scenario.warm_up_ms + scenario.settle_ms + scenario.measure_ms;
        let deadline = Duration::from_millis(scenario.load.deadline_ms);
        let settings = DriverSettings {
            run: format!("{contender:?}-{}", self.seed),
            seed: self.seed,
            // The last queries of the window must not be the last of the load.
            duration: Duration::from_millis(time_ms) + deadline,
            loads: self.loads(),
            mix: vec![MixEntry {
                service: topology::SERVICE.into(),
                method: topology::METHOD.to_owned(),
                weight: 1,
            }],
            resends: 0,
            deadline: Some(deadline),
            items: ITEMS,
        };
        let targets = self.contenders.targets(contender);
        Driver::new(settings, self.schema, &targets, recorder.clone())
            .map_err(|reason| FleetError::step("set up callers", reason))
    }
}

impl ScenarioRun<'_> {
    /// Every region's load; the first one's surges when the disturbance begins.
    fn loads(&self) -> Vec<RegionLoad> {
        let scenario = self.scenario;
        let factor = scenario.disturbance.surge_factor;
        let surge = (factor > 0.0).then_some(Surge {
            from_ms: scenario.warm_up_ms,
            until_ms: u64::MAX,
            factor,
        });
        let loads = (0..scenario.topology.regions).map(|region| RegionLoad {
            region: topology::place(region).region,
            shape: LoadShape {
                mean_per_second: scenario.load.queries_per_second,
                surge: surge.filter(|_| region == 0),
                ..LoadShape::default()
            },
        });
        loads.collect()
    }
}

async fn pause(milliseconds: u64) {
    tokio::time::sleep(Duration::from_millis(milliseconds)).await;
}
