//! All that one agent knows of one back end, and the table of a service's back ends.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sablehaven_types::{BackendId, BackendRecord, Placement};

use crate::balance::{ReportedLoad, ResponseTime, ServiceAverage};
use crate::health::Health;
use crate::pressure::Pressure;
use crate::slow_start::SlowStart;
use sablehaven_types::Distance;

/// All that one agent knows of one back end.
#[derive(Clone, Debug)]
pub struct Backend {
    /// What the shared state records.
    pub record: Arc<BackendRecord>,
    /// How far it is.
    pub distance: Distance,
    /// Attempts of this agent without a result yet.
    pub in_flight: u32,
    /// Other agents' load, from reports.
    pub reported: ReportedLoad,
    /// The response time of its attempts.
    pub response: ResponseTime,
    /// Whether it is still cold.
    pub slow_start: SlowStart,
    /// Whether it may get work.
    pub health: Health,
    /// How pressed it is.
    pub pressure: Pressure,
    /// Positions of the shards that it holds.
    pub shards: Vec<usize>,
}

impl Backend {
    fn new(record: &Arc<BackendRecord>, site: &Placement, slow_start: SlowStart) -> Self {
        Self {
            record: Arc::clone(record),
            distance: Distance::between(site, &record.placement),
            in_flight: 0,
            reported: ReportedLoad::default(),
            response: ResponseTime::default(),
            slow_start,
            health: Health::new(record.state, record.incarnation),
            pressure: Pressure::default(),
            shards: Vec::new(),
        }
    }

    /// Requests at the back end: this agent's own, and what is known of others.
    pub fn load(&self, now: Duration, average: &ServiceAverage) -> f64 {
        f64::from(self.in_flight) + self.reported.estimate(now, average)
    }

    /// Takes in a new record of the same back end.
    fn update(&mut self, now: Duration, record: &Arc<BackendRecord>, site: &Placement) {
        self.distance = Distance::between(site, &record.placement);
        self.note_incarnation(now, record.incarnation);
        self.health.update(record.state, record.incarnation);
        self.record = Arc::clone(record);
        self.shards.clear();
    }

    /// Notes a start number of the server; what was seen of an earlier start is forgotten. Whether
    /// the start is newer than the known one.
    pub fn note_incarnation(&mut self, now: Duration, incarnation: u64) -> bool {
        if incarnation <= self.health.incarnation() {
            return false;
        }
        self.health.update(self.record.state, incarnation);
        self.slow_start = SlowStart::cold(now);
        self.reported = ReportedLoad::default();
        self.response = ResponseTime::default();
        self.pressure = Pressure::default();
        true
    }

    /// Starts the back end slowly, because it comes back after an outage.
    pub fn begin_slow_start(&mut self, now: Duration) {
        self.slow_start = SlowStart::cold(now);
    }
}

/// The back ends of one service.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    entries: Vec<Backend>,
    positions: HashMap<BackendId, usize>,
    filled: bool,
}

impl BackendTable {
    /// Takes in the shared state's records; what is known of back ends that stay is kept.
    pub fn update(&mut self, now: Duration, site: &Placement, records: &[Arc<BackendRecord>]) {
        let mut known = std::mem::take(&mut self.entries)
            .into_iter()
            .map(|backend| (backend.record.id.clone(), backend))
            .collect::<HashMap<_, _>>();
        let newcomer = if self.filled {
            SlowStart::cold(now)
        } else {
            SlowStart::warm()
        };
        for record in records {
            let backend = match known.remove(&record.id) {
                Some(mut backend) => {
                    backend.update(now, record, site);
                    backend
                }
                None => Backend::new(record, site, newcomer),
            };
            self.entries.push(backend);
        }
        self.positions = self
            .entries
            .iter()
            .enumerate()
            .map(|(position, backend)| (backend.record.id.clone(), position))
            .collect();
        self.filled = self.filled || !records.is_empty();
    }

    /// The position of a back end.
    pub fn position(&self, id: &BackendId) -> Option<usize> {
        self.positions.get(id).copied()
    }

    /// The back end at a position that the table gave.
    pub fn at(&self, position: usize) -> &Backend {
        &self.entries[position]
    }

    /// The back end at a position that the table gave, to change it.
    pub fn at_mut(&mut self, position: usize) -> &mut Backend {
        &mut self.entries[position]
    }

    /// Every back end, in the order of the records.
    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.entries.iter()
    }
}
