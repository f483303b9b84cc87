//! Seeded schedules of faults, some of which come together or twice.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::fault::Direction;

/// A fault of a process or of the link to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum FaultKind {
    /// The process is killed and started again when the fault ends.
    Kill,
    /// The process is stopped (`SIGSTOP`) and continues when the fault ends.
    Pause,
    /// The process is killed, its data folder is lost, and it starts again when the fault ends.
    LoseDisk,
    /// Nothing passes in one direction, silently.
    Cut {
        /// The direction.
        direction: Direction,
    },
    /// Nothing passes in either direction, silently.
    Freeze,
    /// Every connection is reset once.
    DropConnections,
    /// Every byte is late.
    Delay {
        /// By how much, in milliseconds.
        delay_ms: u64,
    },
    /// Connections are reset after requests were delivered.
    ResetAfterDelivery,
}

/// A target of faults with the kinds that may befall it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The process, by its name in the run.
    pub name: String,
    /// The kinds of fault.
    pub kinds: Vec<FaultKind>,
}

/// One fault of a schedule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedFault {
    /// When it begins, from the start of the run.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// The process.
    pub target: String,
    /// What happens.
    pub kind: FaultKind,
}

/// The shape of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScheduleShape {
    /// The faults begin within this time.
    pub span: Duration,
    /// How many moments at which something happens.
    pub moments: u32,
    /// A fault lasts at least this long.
    pub shortest: Duration,
    /// A fault lasts at most this long.
    pub longest: Duration,
    /// The share of moments at which a second target is hit together with the first, in thousandths.
    pub together_per_mille: u32,
    /// The share of faults that hit the same target again soon after they end, in thousandths.
    pub twice_per_mille: u32,
}

impl Default for ScheduleShape {
    fn default() -> Self {
        Self {
            span: Duration::from_secs(30),
            moments: 6,
            shortest: Duration::from_millis(200),
            longest: Duration::from_secs(4),
            together_per_mille: 400,
            twice_per_mille: 400,
        }
    }
}

/// Draws a schedule; the same arguments give the same one. Ascending by beginning.
///
/// No target is hit by two faults at the same time; a fault that would overlap is left out.
pub fn draw(seed: u64, targets: &[Target], shape: &ScheduleShape) -> Vec<PlannedFault> {
    let mut drawing = Drawing {
        random: Pcg64Mcg::seed_from_u64(seed),
        targets,
        shape,
        planned: Vec::new(),
    };
    drawing.run();
    drawing.planned.sort_by_key(|fault| fault.at);
    drawing.planned
}

struct Drawing<'a> {
    random: Pcg64Mcg,
    targets: &'a [Target],
    shape: &'a ScheduleShape,
    planned: Vec<PlannedFault>,
}

impl Drawing<'_> {
    fn run(&mut self) {
        if self.targets.iter().all(|target| target.kinds.is_empty()) {
            return;
        }
        for _ in 0..self.shape.moments {
            let at = self.between(Duration::ZERO, self.shape.span);
            self.hit(at);
            if self.happens(self.shape.together_per_mille) {
                self.hit(at);
            }
        }
    }

    fn hit(&mut self, at: Duration) {
        let target = &self.targets[self.random.random_range(0..self.targets.len())];
        if target.kinds.is_empty() {
            return;
        }
        let kind = target.kinds[self.random.random_range(0..target.kinds.len())];
        let lasts = self.between(self.shape.shortest, self.shape.longest);
        self.plan(at, lasts, target, kind);
        if self.happens(self.shape.twice_per_mille) {
            let pause = self.between(Duration::ZERO, self.shape.shortest);
            self.plan(at + lasts + pause, lasts, target, kind);
        }
    }

    fn plan(&mut self, at: Duration, lasts: Duration, target: &Target, kind: FaultKind) {
        let overlaps = self.planned.iter().any(|other| {
            other.target == target.name && at < other.at + other.lasts && other.at < at + lasts
        });
        if !overlaps {
            self.planned.push(PlannedFault {
                at,
                lasts,
                target: target.name.clone(),
                kind,
            });
        }
    }

    fn between(&mut self, low: Duration, high: Duration) -> Duration {
        if low >= high {
            return low;
        }
        let millis = low.as_millis() as u64..=high.as_millis() as u64;
        Duration::from_millis(self.random.random_range(millis))
    }

    fn happens(&mut self, per_mille: u32) -> bool {
        self.random.random_range(0..1_000) < per_mille
    }
}
