//! What the processes of a deployment use over a time.

use std::{
    future::Future,
    time::{Duration, Instant},
};

use sablehaven_harness::Node;

use super::{bed::Bed, hollow::HollowAgents, metrics};
use crate::{
    measure::process::{self, ProcessUse},
    world::FleetError,
};

/// What was used over a time. Processor times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Usage {
    pub length: Duration,
    /// The first relay.
    pub relay_ms: f64,
    /// The control replica that used most: the leader.
    pub leader_ms: f64,
    /// All control replicas together.
    pub replicas_ms: f64,
    /// The first whole agent.
    pub agent_ms: f64,
    /// This process, with all hollow agents and the proxies.
    pub own_ms: f64,
    /// Bytes on the hollow agents' links, both ways.
    pub link_bytes: f64,
    /// Bytes on the relays' links to control, both ways.
    pub control_link_bytes: f64,
    /// Memory at the end.
    pub memory: Memory,
}

/// Resident memory, in MB.
#[derive(Clone, Copy, Debug)]
pub(super) struct Memory {
    pub relay: f64,
    /// The largest control replica.
    pub control: f64,
    pub agent: f64,
    pub own: f64,
}

impl Usage {
    /// Processor time as a share of one core, in thousandths.
    pub(super) fn core_per_mille(&self, milliseconds: f64) -> f64 {
        milliseconds / self.length.as_secs_f64()
    }

    /// Bytes as a rate, in KB a second.
    pub(super) fn kilobytes_per_second(&self, bytes: f64) -> f64 {
        bytes / 1e3 / self.length.as_secs_f64()
    }
}

/// What was used while something was done, and its result.
pub(super) async fn during<Value>(
    bed: &Bed,
    hollow: &HollowAgents,
    work: impl Future<Output = Result<Value, FleetError>>,
) -> Result<(Usage, Value), FleetError> {
    let before = Sample::take(bed, hollow).await?;
    let value = work.await?;
    let after = Sample::take(bed, hollow).await?;
    Ok((after.since(&before), value))
}

/// What was used at rest over a time.
pub(super) async fn at_rest(
    bed: &Bed,
    hollow: &HollowAgents,
    length: Duration,
) -> Result<Usage, FleetError> {
    let rest = async {
        tokio::time::sleep(length).await;
        Ok(())
    };
    let (usage, ()) = during(bed, hollow, rest).await?;
    Ok(usage)
}

struct Sample {
    at: Instant,
    relay: ProcessUse,
    control: Vec<ProcessUse>,
    agent: ProcessUse,
    own: ProcessUse,
    link_bytes: u64,
    control_link_bytes: f64,
}

impl Sample {
    async fn take(bed: &Bed, hollow: &HollowAgents) -> Result<Self, FleetError> {
        let mut control_link_bytes = 0.0;
        for relay in &bed.deployment.relays {
            let page = metrics::read(relay).await?;
            for name in ["control_sent_bytes", "control_received_bytes"] {
                let name = format!("sablehaven_relay_{name}_total");
                control_link_bytes += page.value(&name).unwrap_or(0.0);
            }
        }
        let control = bed.deployment.control.iter().map(read_process);
        Ok(Self {
            control_link_bytes,
            link_bytes: hollow.bytes(),
            control: control.collect::<Result<_, _>>()?,
            relay: read_process(&bed.deployment.relays[0])?,
            agent: match bed.deployment.agents.first() {
                Some(agent) => read_process(agent)?,
                None => ProcessUse::default(),
            },
            own: process::read(std::process::id())?,
            at: Instant::now(),
        })
    }

    fn since(&self, before: &Self) -> Usage {
        let control = before.control.iter().zip(&self.control);
        let control: Vec<f64> = control
            .map(|(before, after)| milliseconds(*before, *after))
            .collect();
        let control_memory = self.control.iter().copied().map(megabytes);
        Usage {
            length: self.at.duration_since(before.at),
            relay_ms: milliseconds(before.relay, self.relay),
            leader_ms: control.iter().copied().fold(0.0, f64::max),
            replicas_ms: control.iter().sum(),
            agent_ms: milliseconds(before.agent, self.agent),
            own_ms: milliseconds(before.own, self.own),
            link_bytes: self.link_bytes.saturating_sub(before.link_bytes) as f64,
            control_link_bytes: self.control_link_bytes - before.control_link_bytes,
            memory: Memory {
                relay: megabytes(self.relay),
                control: control_memory.fold(0.0, f64::max),
                agent: megabytes(self.agent),
                own: megabytes(self.own),
            },
        }
    }
}

/// What a node's process has used so far.
pub(super) fn read_process(node: &Node) -> Result<ProcessUse, FleetError> {
    let id = node.process().and_then(|process| process.id());
    let id = id.ok_or_else(|| FleetError::step("measure", format!("{} is gone", node.name())))?;
    Ok(process::read(id)?)
}

/// Processor time between two readings, in milliseconds.
pub(super) fn milliseconds(before: ProcessUse, after: ProcessUse) -> f64 {
    let used = after.processor.saturating_sub(before.processor);
    used.as_secs_f64() * 1_000.0
}

fn megabytes(used: ProcessUse) -> f64 {
    used.resident_bytes as f64 / 1e6
}
