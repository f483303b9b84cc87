//! Brings about a schedule of faults on a running deployment.

use std::time::Duration;

use sablehaven_faults::{
    Direction, Faults,
    schedule::{FaultKind, PlannedFault, Target},
};
use sablehaven_harness::{Deployment, Node};
use sablehaven_history::{Event, FaultRecord, Recorder};
use sablehaven_standins::clock;
use tokio::time::Instant;

use super::{FleetError, World};

/// The share of request chunks after which a connection is reset, in thousandths.
const RESET_AFTER_DELIVERY_PER_MILLE: u32 = 300;

/// What may befall each process of a deployment.
pub fn targets(deployment: &Deployment) -> Vec<Target> {
    let freeze_and_cut = [
        FaultKind::Pause,
        FaultKind::Freeze,
        FaultKind::Cut {
            direction: Direction::Forward,
        },
        FaultKind::Cut {
            direction: Direction::Backward,
        },
        FaultKind::DropConnections,
        FaultKind::Delay { delay_ms: 50 },
        FaultKind::Kill,
    ];
    let target = |node: &Node, more: &[FaultKind]| Target {
        name: node.name().to_owned(),
        kinds: [&freeze_and_cut, more].concat(),
    };
    let control = deployment.control.iter().map(|node| target(node, &[]));
    let relays = deployment.relays.iter().map(|node| target(node, &[]));
    let agents = deployment
        .agents
        .iter()
        .map(|node| target(node, &[FaultKind::ResetAfterDelivery]));
    control.chain(relays).chain(agents).collect()
}

/// A moment of a schedule: a fault begins or ends.
#[derive(Clone, Debug)]
struct Moment {
    at: Duration,
    begins: bool,
    fault: PlannedFault,
}

/// Brings faults about, one moment after the other.
pub struct FaultRunner {
    moments: Vec<Moment>,
}

impl FaultRunner {
    /// Runs this schedule.
    pub fn new(schedule: &[PlannedFault]) -> Self {
        let moments = schedule.iter().flat_map(|fault| {
            [(fault.at, true), (fault.at + fault.lasts, false)].map(|(at, begins)| Moment {
                at,
                begins,
                fault: fault.clone(),
            })
        });
        let mut moments: Vec<_> = moments.collect();
        moments.sort_by_key(|moment| moment.at);
        Self { moments }
    }

    /// Brings every fault about and ends it; times count from the call. `show` is told of each moment.
    pub async fn run(
        self,
        world: &mut World,
        mut show: impl FnMut(&str),
    ) -> Result<(), FleetError> {
        let start = Instant::now();
        let recorder = world.recorder.clone();
        let agents: Vec<_> = world.deployment.agents.iter().map(node_name).collect();
        let mut open = Vec::new();
        for moment in self.moments {
            tokio::time::sleep_until(start + moment.at).await;
            let PlannedFault { target, kind, .. } = &moment.fault;
            let verb = if moment.begins { "begins" } else { "ends" };
            show(&format!("{kind:?} {verb} at {target}"));
            let Some(node) = find(&mut world.deployment, target) else {
                continue;
            };
            if moment.begins {
                open.push((target.clone(), *kind, clock::now()));
                begin(node, *kind).await?;
                continue;
            }
            end(node, *kind).await?;
            record(&recorder, &mut open, target, *kind, &agents);
        }
        Ok(())
    }
}

fn find<'a>(deployment: &'a mut Deployment, name: &str) -> Option<&'a mut Node> {
    let control = deployment.control.iter_mut();
    let others = deployment
        .relays
        .iter_mut()
        .chain(deployment.agents.iter_mut());
    control.chain(others).find(|node| node.name() == name)
}

async fn begin(node: &mut Node, kind: FaultKind) -> Result<(), FleetError> {
    match kind {
        FaultKind::Kill => node.kill().await?,
        FaultKind::LoseDisk => {
            node.kill().await?;
            node.lose_disk()?;
        }
        FaultKind::Pause => node.freeze()?,
        FaultKind::Cut { direction } => set(node, Faults::cut(direction)),
        FaultKind::Freeze => set(node, Faults::freeze()),
        FaultKind::Delay { delay_ms } => {
            set(node, Faults::latency(Duration::from_millis(delay_ms)));
        }
        FaultKind::DropConnections => {
            node.http_proxy().drop_connections();
            node.internal_proxy().drop_connections();
        }
        FaultKind::ResetAfterDelivery => set(
            node,
            Faults {
                reset_after_delivery_per_mille: RESET_AFTER_DELIVERY_PER_MILLE,
                ..Faults::default()
            },
        ),
    }
    Ok(())
}

async fn end(node: &mut Node, kind: FaultKind) -> Result<(), FleetError> {
    match kind {
        FaultKind::Kill | FaultKind::LoseDisk => node.start().await?,
        FaultKind::Pause => node.thaw()?,
        _ => {
            node.http_proxy().heal();
            node.internal_proxy().heal();
        }
    }
    Ok(())
}

fn set(node: &Node, faults: Faults) {
    node.http_proxy().set_faults(faults);
    node.internal_proxy().set_faults(faults);
}

/// Records an ended fault. One of a control replica or relay may keep a configuration from every
/// agent, so it touches all of them.
fn record(
    recorder: &Recorder,
    open: &mut Vec<(String, FaultKind, u64)>,
    target: &str,
    kind: FaultKind,
    agents: &[String],
) {
    let place = open
        .iter()
        .position(|(name, other, _)| name == target && *other == kind);
    let Some(place) = place else {
        return;
    };
    let (name, kind, from) = open.remove(place);
    let mut processes = vec![name];
    if !agents.contains(&processes[0]) {
        processes.extend_from_slice(agents);
    }
    recorder.record(Event::Fault(FaultRecord {
        what: format!("{kind:?}"),
        processes,
        from,
        until: Some(clock::now()),
    }));
}

fn node_name(node: &Node) -> String {
    node.name().to_owned()
}
