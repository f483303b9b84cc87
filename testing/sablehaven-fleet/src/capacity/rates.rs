//! Slopes over the configuration changes and the changes of back ends a second.

use std::time::{Duration, Instant};

use sablehaven_types::{BackendRecord, BackendState};
use tokio::time::{MissedTickBehavior, interval};

use super::{
    Part, Run, SlopeSet,
    backends::wait_for_backends,
    bed::Bed,
    figure,
    hollow::HollowAgents,
    metrics,
    usage::{Usage, during},
};
use crate::{experiment::capacity_plan, world::FleetError};

/// Agents behind the relay.
const AGENTS: u32 = 200;

/// Back ends whose states change.
const BACKENDS: u32 = 2_000;

/// Configuration changes a second; the target's mean is 0.37.
const CHANGE_RATES: [f64; 5] = [0.0, 1.0, 2.0, 4.0, 8.0];

/// Back ends that change a second; the target's mean is 0.1 events of at most three changes each.
const MEMBERSHIP_RATES: [f64; 5] = [0.0, 2.0, 4.0, 8.0, 16.0];

/// Time that is measured at each rate.
const LENGTH: Duration = Duration::from_secs(5);

/// Time after a rate before the next one.
const SETTLE: Duration = Duration::from_secs(1);

/// Over the configuration changes a second.
pub(super) async fn measure_changes(run: &Run<'_>) -> Result<SlopeSet, FleetError> {
    let bed = Bed::start(capacity_plan(0)?, run.program).await?;
    let mut hollow = bed.hollow(&[0])?;
    hollow.grow_to(AGENTS).await;
    bed.settle(&hollow).await?;
    let mut slopes = SlopeSet::new(Part::Changes, "changes a second");
    for rate in CHANGE_RATES {
        run.progress.show(&format!("{rate} changes a second"));
        tokio::time::sleep(SETTLE).await;
        let mut number = 0;
        let work = paced(rate, async || {
            number += 1;
            bed.change(number).await?;
            Ok(())
        });
        add(&mut slopes, &bed, &hollow, work).await?;
    }
    hollow.stop().await;
    Ok(slopes)
}

/// Over the back ends that change a second: they leave and come back in turn.
pub(super) async fn measure_membership(run: &Run<'_>) -> Result<SlopeSet, FleetError> {
    let bed = Bed::start(capacity_plan(BACKENDS)?, run.program).await?;
    wait_for_backends(&bed, BACKENDS).await?;
    let mut hollow = bed.hollow(&[0])?;
    hollow.grow_to(AGENTS).await;
    bed.settle(&hollow).await?;
    let mut turn = Turn::new(&bed).await?;
    let mut slopes = SlopeSet::new(Part::Membership, "back ends changed a second");
    for rate in MEMBERSHIP_RATES {
        run.progress.show(&format!("{rate} back ends a second"));
        tokio::time::sleep(SETTLE).await;
        let work = paced(rate, async || {
            let record = turn.next();
            bed.deployment.admin().platform_list(&record).await?;
            Ok(())
        });
        add(&mut slopes, &bed, &hollow, work).await?;
    }
    hollow.stop().await;
    Ok(slopes)
}

/// Does something at a rate for the measured time; gives how often it was done.
async fn paced(
    per_second: f64,
    mut work: impl AsyncFnMut() -> Result<(), FleetError>,
) -> Result<u32, FleetError> {
    if per_second == 0.0 {
        tokio::time::sleep(LENGTH).await;
        return Ok(0);
    }
    let start = Instant::now();
    let mut ticker = interval(Duration::from_secs_f64(1.0 / per_second));
    ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut done = 0;
    while start.elapsed() < LENGTH {
        ticker.tick().await;
        work().await?;
        done += 1;
    }
    Ok(done)
}

async fn add(
    slopes: &mut SlopeSet,
    bed: &Bed,
    hollow: &HollowAgents,
    work: impl Future<Output = Result<u32, FleetError>>,
) -> Result<(), FleetError> {
    let leader = bed.leader().await?;
    let before = metrics::read(leader).await?;
    let (usage, done) = during(bed, hollow, work).await?;
    let after = metrics::read(leader).await?;
    let grown = |name: &str| {
        let value = |page: &metrics::MetricsPage| page.value(name).unwrap_or(0.0);
        value(&after) - value(&before)
    };
    let seconds = usage.length.as_secs_f64();
    let x = f64::from(done) / seconds;
    add_usage(slopes, x, &usage);
    let link = usage.kilobytes_per_second(usage.link_bytes) / hollow.agents().len() as f64;
    slopes.add(figure::LINK_BUSY, x, link);
    let syncs = grown("sablehaven_control_log_syncs") / seconds;
    slopes.add(figure::SYNCS, x, syncs);
    let log = grown("sablehaven_control_log_bytes") / 1e3 / seconds;
    slopes.add(figure::LOG, x, log);
    Ok(())
}

pub(super) fn add_usage(slopes: &mut SlopeSet, x: f64, usage: &Usage) {
    let processor = [
        (figure::RELAY_BUSY, usage.relay_ms),
        (figure::LEADER_BUSY, usage.leader_ms),
        (figure::REPLICAS_BUSY, usage.replicas_ms),
        (figure::AGENT_BUSY, usage.agent_ms),
    ];
    for (figure, milliseconds) in processor {
        slopes.add(figure, x, usage.core_per_mille(milliseconds));
    }
    let link = usage.kilobytes_per_second(usage.control_link_bytes);
    slopes.add(figure::CONTROL_LINK_BUSY, x, link);
}

/// Hollow back ends that leave and come back in turn.
pub(super) struct Turn {
    records: Vec<BackendRecord>,
    next: usize,
}

impl Turn {
    pub(super) async fn new(bed: &Bed) -> Result<Self, FleetError> {
        let list = bed.deployment.admin().platform().await?;
        let hollow = |record: &BackendRecord| record.id.as_str().starts_with("hollow");
        let records = list.machines.into_iter().filter(hollow).collect();
        Ok(Self { records, next: 0 })
    }

    /// The next back end as it is to be listed from now on.
    pub(super) fn next(&mut self) -> BackendRecord {
        let place = self.next % self.records.len();
        self.next += 1;
        let record = &mut self.records[place];
        record.state = match record.state {
            BackendState::Live => BackendState::Leaving,
            _ => BackendState::Live,
        };
        record.clone()
    }
}
