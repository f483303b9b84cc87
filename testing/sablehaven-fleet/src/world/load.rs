//! The load that a deployment gets.

use std::time::Duration;

use sablehaven_history::CallKind;
use sablehaven_schema::{DeploymentSchema, fleet_file::FleetFile};
use sablehaven_standins::{
    caller::{CallMix, DriverSettings, LoadShape, MixEntry, RegionLoad, Surge},
    methods,
};

/// Elements of each repeated field in a stand-in's reply.
const ITEMS: u32 = 2;

/// Sendings of a request that may not be repeated after the first one.
const RESENDS: u32 = 4;

/// A load that follows the sun over a deployment's regions.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Mean requests a second of each region.
    pub rate: f64,
    /// How long it is sent; also the length of a day.
    pub duration: Duration,
    /// Whether there is an exam week: half again as much in the middle fifth of the time.
    pub with_surge: bool,
    /// Seeds arrivals and choices.
    pub seed: u64,
}

impl LoadPlan {
    /// The settings of the callers: each region peaks at its own time of the day.
    pub fn settings(&self, fleet: &FleetFile, schema: &DeploymentSchema) -> DriverSettings {
        let day_ms = self.duration.as_millis() as u64;
        let count = fleet.regions.len().max(1) as u64;
        let loads = fleet
            .regions
            .iter()
            .zip(0..)
            .map(|(region, index)| RegionLoad {
                region: region.name.clone(),
                shape: LoadShape {
                    mean_per_second: self.rate,
                    daily_swing: 0.6,
                    day_ms,
                    peak_at_ms: day_ms * (2 * index + 1) / (2 * count),
                    surge: self.with_surge.then_some(Surge {
                        from_ms: day_ms * 2 / 5,
                        until_ms: day_ms * 3 / 5,
                        factor: 1.5,
                    }),
                },
            });
        DriverSettings {
            run: format!("run-{}", self.seed),
            seed: self.seed,
            duration: self.duration,
            loads: loads.collect(),
            mix: every_method(schema),
            resends: RESENDS,
            deadline: None,
            items: ITEMS,
        }
    }
}

/// Every method of a schema; reading more often than writing.
pub fn every_method(schema: &DeploymentSchema) -> CallMix {
    let methods = schema.services().flat_map(|service| &service.methods);
    let entries = methods.map(|method| MixEntry {
        service: method.service.clone(),
        method: method.name.clone(),
        weight: match methods::call_kind(method) {
            CallKind::QueryConcatenated | CallKind::QueryReduced => 4,
            CallKind::Lookup => 3,
            CallKind::Once => 2,
        },
    });
    entries.collect()
}
