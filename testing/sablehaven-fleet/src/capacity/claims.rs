//! Slopes over the ledger calls a second.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use futures::future::join_all;
use sablehaven_harness::now_ms;
use sablehaven_subscription::Subscription;
use sablehaven_types::{
    ClaimAnswer, ClaimId, LedgerKey, LedgerReply, LedgerRequest, RecordedOutcome,
};
use tokio::time::{MissedTickBehavior, interval};

use super::{
    Part, Run, SlopeSet,
    bed::Bed,
    figure, metrics,
    rates::add_usage,
    usage::{Usage, during},
};
use crate::{experiment::capacity_plan, measure::statistics::quantile, world::FleetError};

/// Agents with callers.
const AGENTS: u32 = 40;

/// Requests a second that may not be repeated; each is one claim and one settlement.
const RATES: [f64; 6] = [0.0, 100.0, 200.0, 400.0, 800.0, 1_600.0];

/// Time that is measured at each rate.
const LENGTH: Duration = Duration::from_secs(5);

/// Time that a ledger call may take.
const LIMIT: Duration = Duration::from_secs(5);

/// Bytes of a recorded reply, as of a short confirmation.
const REPLY_BYTES: usize = 64;

pub(super) async fn measure(run: &Run<'_>) -> Result<SlopeSet, FleetError> {
    let bed = Bed::start(capacity_plan(0)?, run.program).await?;
    let mut hollow = bed.hollow(&[0])?;
    hollow.grow_to(AGENTS).await;
    bed.settle(&hollow).await?;
    let mut slopes = SlopeSet::new(Part::Claims, "requests a second");
    let numbers = Arc::new(AtomicU64::new(1));
    for rate in RATES {
        run.progress.show(&format!("{rate} requests a second"));
        let leader = bed.leader().await?;
        let before = metrics::read(leader).await?;
        let work = load(hollow.agents(), rate, &numbers);
        let (usage, times) = during(&bed, &hollow, work).await?;
        let after = metrics::read(leader).await?;
        let grown =
            |name: &str| after.value(name).unwrap_or(0.0) - before.value(name).unwrap_or(0.0);
        let log = Log {
            syncs: grown("sablehaven_control_log_syncs"),
            bytes: grown("sablehaven_control_log_bytes"),
        };
        let keys = numbers.load(Ordering::Relaxed) - 1;
        add(&mut slopes, &usage, log, times, keys);
    }
    hollow.stop().await;
    Ok(slopes)
}

/// Growth of the leader's log.
#[derive(Clone, Copy)]
struct Log {
    syncs: f64,
    bytes: f64,
}

fn add(slopes: &mut SlopeSet, usage: &Usage, log: Log, mut times: Vec<f64>, keys: u64) {
    let seconds = usage.length.as_secs_f64();
    let x = times.len() as f64 / seconds;
    add_usage(slopes, x, usage);
    slopes.add(figure::SYNCS, x, log.syncs / seconds);
    slopes.add(figure::LOG, x, log.bytes / 1e3 / seconds);
    slopes.add_over(
        "keys",
        figure::LEDGER_MEMORY,
        keys as f64,
        usage.memory.control,
    );
    times.sort_by(f64::total_cmp);
    if let (Some(median), Some(p99)) = (quantile(&times, 0.5), quantile(&times, 0.99)) {
        slopes.add(figure::CLAIM_MEDIAN, x, median);
        slopes.add(figure::CLAIM_P99, x, p99);
    }
}

/// Every agent's callers send at an even rate, whatever becomes of earlier requests; gives the time
/// of each claim in milliseconds.
async fn load(
    agents: &[Subscription],
    rate: f64,
    numbers: &Arc<AtomicU64>,
) -> Result<Vec<f64>, FleetError> {
    if rate == 0.0 {
        tokio::time::sleep(LENGTH).await;
        return Ok(Vec::new());
    }
    let spacing = Duration::from_secs_f64(agents.len() as f64 / rate);
    let callers = agents.iter().map(|agent| {
        let (agent, numbers) = (agent.clone(), Arc::clone(numbers));
        tokio::spawn(call_every(agent, spacing, numbers))
    });
    let mut times = Vec::new();
    for caller in join_all(callers).await {
        let done = caller.map_err(|error| FleetError::step("call the ledger", error))?;
        times.extend(done?);
    }
    Ok(times)
}

async fn call_every(
    agent: Subscription,
    spacing: Duration,
    numbers: Arc<AtomicU64>,
) -> Result<Vec<f64>, FleetError> {
    let start = Instant::now();
    let mut ticker = interval(spacing);
    ticker.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut open = Vec::new();
    while start.elapsed() < LENGTH {
        ticker.tick().await;
        let number = numbers.fetch_add(1, Ordering::Relaxed);
        open.push(tokio::spawn(claim_and_settle(agent.clone(), number)));
    }
    let mut times = Vec::new();
    for call in join_all(open).await {
        let time = call.map_err(|error| FleetError::step("call the ledger", error))?;
        times.push(time?);
    }
    Ok(times)
}

/// One request as an agent treats it, without its back end; gives the claim's time in milliseconds.
async fn claim_and_settle(agent: Subscription, number: u64) -> Result<f64, FleetError> {
    let key = LedgerKey {
        caller: "capacity".into(),
        request: format!("request-{number}").into(),
        issued_at_ms: now_ms(),
    };
    let claim = ClaimId(number);
    let request = LedgerRequest::Claim {
        key: key.clone(),
        claim,
        fingerprint: number,
    };
    let start = Instant::now();
    let reply = agent.ledger(request, LIMIT).await;
    let time = start.elapsed().as_secs_f64() * 1e3;
    if reply != LedgerReply::Claim(ClaimAnswer::Granted) {
        return Err(FleetError::step("claim", format!("{reply:?}")));
    }
    let body = vec![0; REPLY_BYTES];
    let request = LedgerRequest::Settle {
        key,
        claim,
        outcome: RecordedOutcome::Done { body },
    };
    match agent.ledger(request, LIMIT).await {
        LedgerReply::Recorded => Ok(time),
        other => Err(FleetError::step("settle", format!("{other:?}"))),
    }
}
