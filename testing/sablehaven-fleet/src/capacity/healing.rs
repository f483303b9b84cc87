//! Slopes over the changes that a cut-off relay and its agents missed, as in a region that is cut off.

use std::time::{Duration, Instant};

use super::{
    Part, Run, SlopeSet,
    bed::Bed,
    figure, metrics,
    usage::{milliseconds, read_process},
};
use crate::{experiment::capacity_plan, world::FleetError};

/// Changes that are missed; an hour of the target has 1,333 of the configuration.
const MISSED: [u32; 5] = [100, 200, 400, 800, 1_600];

/// Agents behind the relay that is cut off.
const AGENTS: u32 = 200;

pub(super) async fn measure(run: &Run<'_>) -> Result<SlopeSet, FleetError> {
    let mut plan = capacity_plan(0)?;
    plan.size.relays_per_region = 2;
    let bed = Bed::start(plan, run.program).await?;
    let mut hollow = bed.hollow(&[1])?;
    hollow.grow_to(AGENTS).await;
    bed.settle(&hollow).await?;
    let relay = &bed.deployment.relays[1];
    let mut slopes = SlopeSet::new(Part::Healing, "changes missed");
    for missed in MISSED {
        run.progress.show(&format!("{missed} changes missed"));
        bed.deployment.cut_off(relay);
        let mut version = 0;
        for number in 0..missed {
            version = bed.change(number).await?;
        }
        let bytes = hollow.bytes();
        let received = received(&bed).await?;
        let before = read_process(relay)?;
        let start = Instant::now();
        bed.deployment.heal();
        hollow.wait_for(version).await?;
        let time: Duration = start.elapsed();
        let after = read_process(relay)?;
        let x = f64::from(missed);
        slopes.add(figure::EVENT_TIME, x, time.as_secs_f64() * 1e3);
        let per_agent = (hollow.bytes() - bytes) as f64 / 1e3 / f64::from(AGENTS);
        slopes.add(figure::EVENT_BYTES, x, per_agent);
        slopes.add(figure::EVENT_RELAY, x, milliseconds(before, after));
        let from_control = (self::received(&bed).await? - received) / 1e3;
        slopes.add(figure::CONTROL_LINK_CHANGE, x, from_control);
    }
    hollow.stop().await;
    Ok(slopes)
}

/// Bytes that the relay received from control.
async fn received(bed: &Bed) -> Result<f64, FleetError> {
    let name = "sablehaven_relay_control_received_bytes_total";
    metrics::value(&bed.deployment.relays[1], name).await
}
