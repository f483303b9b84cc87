//! What the processes of a deployment use over a time.

use std::time::Duration;

use sablehaven_harness::{Deployment, Node};

use crate::{
    measure::process::{self, ProcessUse},
    world::FleetError,
};

/// What every process has used so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    /// The relay.
    pub relay: ProcessUse,
    /// The control replica that has used most; the leader of the configuration's group does.
    pub control: ProcessUse,
    /// This process, with all hollow agents.
    pub own: ProcessUse,
}

/// Processor time between two samples, in milliseconds.
pub(super) fn milliseconds(before: ProcessUse, after: ProcessUse) -> f64 {
    let used = after.processor.saturating_sub(before.processor);
    used.as_secs_f64() * 1_000.0
}

/// Processor time between two samples as a share of one core, in thousandths.
pub(super) fn core_per_mille(before: ProcessUse, after: ProcessUse, window: Duration) -> f64 {
    milliseconds(before, after) / window.as_secs_f64()
}

impl Sample {
    pub(super) fn take(deployment: &Deployment) -> Result<Self, FleetError> {
        let mut control = ProcessUse::default();
        for node in &deployment.control {
            let used = read(node)?;
            control.processor = control.processor.max(used.processor);
            control.resident_bytes = control.resident_bytes.max(used.resident_bytes);
        }
        Ok(Self {
            relay: read(&deployment.relays[0])?,
            control,
            own: process::read(std::process::id())?,
        })
    }
}

fn read(node: &Node) -> Result<ProcessUse, FleetError> {
    let id = node.process().and_then(|process| process.id());
    let id = id.ok_or_else(|| FleetError::step("measure", format!("{} is gone", node.name())))?;
    Ok(process::read(id)?)
}

pub(super) fn megabytes(used: ProcessUse) -> f64 {
    used.resident_bytes as f64 / 1e6
}
