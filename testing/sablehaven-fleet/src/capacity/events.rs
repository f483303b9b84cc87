//! Slopes over the back ends that change at once: a rack, a switch, a zone.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use futures::{StreamExt, TryStreamExt, stream};
use sablehaven_harness::until;
use sablehaven_types::{BackendId, BackendRecord};

use super::{
    Part, Run, SlopeSet,
    backends::wait_for_backends,
    bed::Bed,
    figure,
    hollow::HollowAgents,
    rates::Turn,
    usage::{at_rest, during},
};
use crate::{experiment::capacity_plan, world::FleetError};

/// Agents behind the relay.
const AGENTS: u32 = 200;

/// Back ends on the platform's list.
const BACKENDS: u32 = 4_000;

/// Back ends that change at once.
const SIZES: [u32; 5] = [10, 40, 160, 640, 1_280];

/// Requests to the platform's list at the same time.
const CONCURRENT_REQUESTS: usize = 32;

/// Time that is measured at rest.
const REST: Duration = Duration::from_secs(3);

pub(super) async fn measure(run: &Run<'_>) -> Result<SlopeSet, FleetError> {
    let bed = Bed::start(capacity_plan(BACKENDS)?, run.program).await?;
    wait_for_backends(&bed, BACKENDS).await?;
    let mut hollow = bed.hollow(&[0])?;
    hollow.grow_to(AGENTS).await;
    bed.settle(&hollow).await?;
    let mut turn = Turn::new(&bed).await?;
    let mut slopes = SlopeSet::new(Part::Events, "back ends at once");
    for size in SIZES {
        run.progress.show(&format!("{size} back ends at once"));
        let rest = at_rest(&bed, &hollow, REST).await?;
        let changed: Vec<_> = (0..size).map(|_| turn.next()).collect();
        let (usage, time) = during(&bed, &hollow, change(&bed, &hollow, &changed)).await?;
        let rests = usage.length.as_secs_f64() / rest.length.as_secs_f64();
        let x = f64::from(size);
        slopes.add(figure::EVENT_TIME, x, time.as_secs_f64() * 1e3);
        let bytes = usage.link_bytes - rest.link_bytes * rests;
        slopes.add(figure::EVENT_BYTES, x, bytes / 1e3 / f64::from(AGENTS));
        let relay = usage.relay_ms - rest.relay_ms * rests;
        slopes.add(figure::EVENT_RELAY, x, relay);
        let leader = usage.leader_ms - rest.leader_ms * rests;
        slopes.add(figure::EVENT_LEADER, x, leader);
        slopes.add(figure::EVENT_RELAY_MEMORY, x, usage.memory.relay);
    }
    hollow.stop().await;
    Ok(slopes)
}

/// Changes the platform's list; gives the time from the first change until every agent knows all.
async fn change(
    bed: &Bed,
    hollow: &HollowAgents,
    records: &[BackendRecord],
) -> Result<Duration, FleetError> {
    let start = Instant::now();
    let admin = bed.deployment.admin();
    stream::iter(records)
        .map(|record| admin.platform_list(record))
        .buffer_unordered(CONCURRENT_REQUESTS)
        .try_collect::<()>()
        .await?;
    wait_for_control(bed, records).await?;
    hollow.wait_for_revision(bed.revision().await?).await?;
    Ok(start.elapsed())
}

async fn wait_for_control(bed: &Bed, records: &[BackendRecord]) -> Result<(), FleetError> {
    let operator = bed.deployment.operator()?;
    until("control knows every change", || async {
        let known = operator
            .get::<Vec<BackendRecord>>("/operator/v1/backends")
            .await;
        let known = known.map_err(|error| error.to_string())?;
        let known: HashMap<&BackendId, &BackendRecord> =
            known.iter().map(|record| (&record.id, record)).collect();
        let is_missing = |record: &&BackendRecord| {
            known
                .get(&record.id)
                .is_none_or(|known| known.state != record.state)
        };
        match records.iter().filter(is_missing).count() {
            0 => Ok(()),
            missing => Err(format!("{missing} missing")),
        }
    })
    .await?;
    Ok(())
}
