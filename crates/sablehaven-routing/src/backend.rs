//! One agent's state for each back end of a service, and the table that holds it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sablehaven_types::{BackendId, BackendRecord, Placement};

use crate::balance::{AverageLoad, ReportedLoad, ResponseTime};
use crate::health::Health;
use crate::pressure::Pressure;
use crate::slow_start::SlowStart;
use sablehaven_types::Distance;

/// One agent's state for one back end.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The record from the shared state.
    pub record: Arc<BackendRecord>,
    /// Distance from the agent to the back end.
    pub distance: Distance,
    /// This agent's attempts in flight.
    pub in_flight: u32,
    /// Load from other agents, as reported by the back end.
    pub reported_load: ReportedLoad,
    /// Response time of this agent's attempts.
    pub response_time: ResponseTime,
    /// Reduced share while the back end is cold.
    pub slow_start: SlowStart,
    /// Draining, ejection and backoff state.
    pub health: Health,
    /// Pressure and shed rate.
    pub pressure: Pressure,
    /// Indexes of the shards that it holds a replica of.
    pub shards: Vec<usize>,
}

impl Backend {
    fn new(
        record: &Arc<BackendRecord>,
        agent_placement: &Placement,
        slow_start: SlowStart,
    ) -> Self {
        Self {
            record: Arc::clone(record),
            distance: Distance::between(agent_placement, &record.placement),
            in_flight: 0,
            reported_load: ReportedLoad::default(),
            response_time: ResponseTime::default(),
            slow_start,
            health: Health::new(record.state, record.incarnation),
            pressure: Pressure::default(),
            shards: Vec::new(),
        }
    }

    /// Estimates the number of requests at the back end: this agent's own and those reported for
    /// other agents.
    pub fn load(&self, now: Duration, average_load: &AverageLoad) -> f64 {
        f64::from(self.in_flight) + self.reported_load.estimate(now, average_load)
    }

    /// Applies a new record of the same back end.
    fn update(&mut self, now: Duration, record: &Arc<BackendRecord>, agent_placement: &Placement) {
        self.distance = Distance::between(agent_placement, &record.placement);
        self.update_incarnation(now, record.incarnation);
        self.health.update(record.state, record.incarnation);
        self.record = Arc::clone(record);
        self.shards.clear();
    }

    /// Applies the server's incarnation number. A higher number than the known one means that the
    /// server has restarted: the measurements of the earlier incarnation are discarded, and `true`
    /// is returned.
    pub fn update_incarnation(&mut self, now: Duration, incarnation: u64) -> bool {
        if incarnation <= self.health.incarnation() {
            return false;
        }
        self.health.update(self.record.state, incarnation);
        self.slow_start = SlowStart::cold(now);
        self.reported_load = ReportedLoad::default();
        self.response_time = ResponseTime::default();
        self.pressure = Pressure::default();
        true
    }

    /// Starts a new slow-start period after an outage.
    pub fn begin_slow_start(&mut self, now: Duration) {
        self.slow_start = SlowStart::cold(now);
    }
}

/// All back ends of one service.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    entries: Vec<Backend>,
    positions: HashMap<BackendId, usize>,
    is_initialized: bool,
}

impl BackendTable {
    /// Replaces the records by those of the shared state. Back ends that remain keep their
    /// measurements.
    pub fn update(
        &mut self,
        now: Duration,
        agent_placement: &Placement,
        records: &[Arc<BackendRecord>],
    ) {
        let mut known = std::mem::take(&mut self.entries)
            .into_iter()
            .map(|backend| (backend.record.id.clone(), backend))
            .collect::<HashMap<_, _>>();
        let initial_slow_start = if self.is_initialized {
            SlowStart::cold(now)
        } else {
            SlowStart::warm()
        };
        for record in records {
            let backend = match known.remove(&record.id) {
                Some(mut backend) => {
                    backend.update(now, record, agent_placement);
                    backend
                }
                None => Backend::new(record, agent_placement, initial_slow_start),
            };
            self.entries.push(backend);
        }
        self.positions = self
            .entries
            .iter()
            .enumerate()
            .map(|(position, backend)| (backend.record.id.clone(), position))
            .collect();
        self.is_initialized = self.is_initialized || !records.is_empty();
    }

    /// Returns the position of a back end in the table.
    pub fn position(&self, id: &BackendId) -> Option<usize> {
        self.positions.get(id).copied()
    }

    /// Returns the back end at a position that [`Self::position`] returned since the last update.
    pub fn at(&self, position: usize) -> &Backend {
        &self.entries[position]
    }

    /// Returns a mutable reference to the back end at a position that [`Self::position`] returned
    /// since the last update.
    pub fn at_mut(&mut self, position: usize) -> &mut Backend {
        &mut self.entries[position]
    }

    /// Iterates over the back ends in the order of the records.
    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.entries.iter()
    }
}
