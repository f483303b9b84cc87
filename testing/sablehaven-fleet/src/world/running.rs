//! A running deployment and what can be done with it while it is loaded.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use sablehaven_harness::{Deployment, DeploymentPlan, Node, Program};
use sablehaven_history::{
    BackendNotice, BackendNoticeKind, Event, ProcessStop, PublishedSnapshot, Recorder,
};
use sablehaven_standins::{
    backend::{HeldSnapshot, NetworkMap},
    caller::{AgentTarget, Driver, DriverSettings},
    clock,
};
use sablehaven_types::{
    BackendId, BackendRecord, BackendState, Configuration, IndexSnapshot, ServiceName, SnapshotId,
};

use super::{FleetError, Operations};

/// Time that a version may take to be in force everywhere before a rebuild is given up.
const IN_FORCE_LIMIT_MS: u64 = 30_000;

/// Time for which back ends keep a snapshot that is no longer pinned by new queries; longer than
/// any method's deadline.
const SNAPSHOT_GRACE: Duration = Duration::from_millis(2_500);

/// A running deployment with its recorder.
pub struct World {
    /// The processes.
    pub deployment: Deployment,
    /// What was recorded so far.
    pub recorder: Recorder,
    /// The operator of the run.
    pub operations: Operations,
}

impl World {
    /// Starts every process and records the first snapshots.
    pub async fn start(plan: DeploymentPlan, program: &Program) -> Result<Self, FleetError> {
        let recorder = Recorder::new();
        record_snapshots(&recorder, &plan.configuration());
        let deployment = Deployment::start(plan, program).await?;
        let client = deployment.operator()?;
        let operations = Operations::new(client, recorder.clone(), "fleet");
        Ok(Self {
            deployment,
            recorder,
            operations,
        })
    }

    /// Callers of all agents behind their proxies, which can bring faults about.
    pub fn driver(&self, settings: DriverSettings) -> Result<Driver, FleetError> {
        self.driver_of(settings, &self.deployment.agent_targets())
    }

    /// Callers beside their agents, with nothing in between: an agent that has stopped refuses
    /// connections, where a proxy would accept and then break them.
    pub fn direct_driver(&self, settings: DriverSettings) -> Result<Driver, FleetError> {
        let mut targets = self.deployment.agent_targets();
        for (target, node) in targets.iter_mut().zip(&self.deployment.agents) {
            target.address = own_address(node).unwrap_or(target.address);
        }
        self.driver_of(settings, &targets)
    }

    fn driver_of(
        &self,
        settings: DriverSettings,
        targets: &[AgentTarget],
    ) -> Result<Driver, FleetError> {
        let schema = &self.deployment.plan().schema;
        Driver::new(settings, schema, targets, self.recorder.clone())
            .map_err(|reason| FleetError::step("set up callers", reason))
    }

    /// Puts the fleet file's latencies between zones and regions on every link: between the roles by
    /// their proxies, to the back ends by the back ends themselves.
    pub async fn add_latencies(&self) -> Result<(), FleetError> {
        let network = &self.deployment.plan().fleet.network;
        let nodes: Vec<&Node> = self
            .deployment
            .control
            .iter()
            .chain(&self.deployment.relays)
            .chain(&self.deployment.agents)
            .collect();
        let sources = nodes
            .iter()
            .map(|node| (node.source(), node.placement().clone()));
        let map = NetworkMap {
            between_zones_ms: network.between_zones_ms,
            between_regions_ms: network.between_regions_ms,
            sources: sources.collect(),
        };
        for node in &nodes {
            for (source, placement) in &map.sources {
                let one_way = map.between(placement, node.placement());
                node.internal_proxy().set_latency_from(*source, one_way);
                node.http_proxy().set_latency_from(*source, one_way);
            }
        }
        self.deployment.admin().set_network(&map).await?;
        Ok(())
    }

    /// Rebuilds the index of a service: the next generation with the same partition map. Back ends
    /// hold both until no query can be pinned to the old one.
    pub async fn rebuild(&self, service: &ServiceName) -> Result<SnapshotId, FleetError> {
        let current = self.snapshot(service).await?;
        let next = SnapshotId {
            generation: current.id.generation + 1,
            ..current.id
        };
        let shards = current.shards.clone();
        self.roll_over(service, &current, IndexSnapshot { id: next, shards })
            .await
    }

    /// Divides the index of a service into another number of shards.
    pub async fn repartition(
        &self,
        service: &ServiceName,
        shards: u32,
    ) -> Result<SnapshotId, FleetError> {
        let current = self.snapshot(service).await?;
        let plan = self.deployment.plan();
        let fleet_service = plan
            .fleet
            .services
            .iter()
            .find(|other| other.name == *service);
        let fleet_service = fleet_service
            .ok_or_else(|| FleetError::step("repartition", format!("no service {service}")))?;
        let next = IndexSnapshot {
            id: SnapshotId {
                generation: current.id.generation + 1,
                partition_map: current.id.partition_map + 1,
            },
            shards: fleet_service.partition_map(shards, &plan.size),
        };
        self.roll_over(service, &current, next).await
    }

    async fn roll_over(
        &self,
        service: &ServiceName,
        current: &IndexSnapshot,
        next: IndexSnapshot,
    ) -> Result<SnapshotId, FleetError> {
        let admin = self.deployment.admin();
        for (backend, held) in held_by_backend(&next) {
            admin.hold(&backend, &held).await?;
        }
        // Recorded before it is published: an answer may name it before the operator's reply is read.
        self.recorder.record(published(service, &next));
        let version = self.operations.publish(service, &next, "rebuild").await?;
        if !self
            .operations
            .wait_in_force(version, IN_FORCE_LIMIT_MS)
            .await?
        {
            let reason = format!("version {version} is not in force everywhere");
            return Err(FleetError::step("roll over", reason));
        }
        tokio::time::sleep(SNAPSHOT_GRACE).await;
        for (backend, _) in held_by_backend(current) {
            admin.drop_snapshot(&backend, current.id).await?;
        }
        Ok(next.id)
    }

    async fn snapshot(&self, service: &ServiceName) -> Result<IndexSnapshot, FleetError> {
        let mut configuration = self.operations.configuration().await?;
        let found = configuration.services.remove(service);
        let found = found.ok_or_else(|| FleetError::step("read", format!("no service {service}")));
        Ok(found?.snapshot)
    }

    /// The back ends of a service.
    pub async fn backends(&self, service: &ServiceName) -> Result<Vec<BackendRecord>, FleetError> {
        let report = self.deployment.admin().host().await?;
        let all = report.backends.into_iter();
        Ok(all.filter(|record| record.service == *service).collect())
    }

    /// Loses a back end at once; the platform notices after its lag.
    pub async fn lose(&self, backend: &BackendId) -> Result<(), FleetError> {
        let admin = self.deployment.admin();
        admin.lose(backend).await?;
        admin.platform_remove(backend).await?;
        Ok(())
    }

    /// Lets a back end leave: it says so itself, and the platform lists it as leaving after its lag.
    pub async fn leave(&self, backend: &BackendRecord) -> Result<(), FleetError> {
        let admin = self.deployment.admin();
        admin.drain(&backend.id).await?;
        self.notice(&backend.id, BackendNoticeKind::Leaving);
        let leaving = BackendRecord {
            state: BackendState::Leaving,
            ..backend.clone()
        };
        admin.platform_list(&leaving).await?;
        Ok(())
    }

    /// Starts a lost or drained back end again, cold, as its next incarnation.
    pub async fn restore(&self, backend: &BackendRecord) -> Result<(), FleetError> {
        let admin = self.deployment.admin();
        // Recorded before it takes work: nobody may send to it after the notice by mistake.
        self.notice(&backend.id, BackendNoticeKind::Returned);
        admin.restore(&backend.id).await?;
        let report = admin.host().await?;
        let mut all = report.backends.into_iter();
        if let Some(record) = all.find(|record| record.id == backend.id) {
            admin.platform_list(&record).await?;
        }
        Ok(())
    }

    /// Stops an agent as planned and records how it ended.
    pub async fn stop_agent(&mut self, index: usize) -> Result<(), FleetError> {
        let node = &mut self.deployment.agents[index];
        let asked_at = clock::now();
        let process = node.name().to_owned();
        let status = node.stop().await?;
        self.record_stop(process, asked_at, status.code());
        Ok(())
    }

    /// Stops a relay as planned and records how it ended.
    pub async fn stop_relay(&mut self, index: usize) -> Result<(), FleetError> {
        let node = &mut self.deployment.relays[index];
        let asked_at = clock::now();
        let process = node.name().to_owned();
        let status = node.stop().await?;
        self.record_stop(process, asked_at, status.code());
        Ok(())
    }

    /// Starts a stopped agent again, waits until it is ready and tells its callers its address.
    pub async fn start_agent(&mut self, index: usize, driver: &Driver) -> Result<(), FleetError> {
        self.deployment.agents[index].start().await?;
        let node = &self.deployment.agents[index];
        self.deployment.wait_ready(node).await?;
        if let Some(address) = own_address(node) {
            driver.set_address(node.name(), address);
        }
        Ok(())
    }

    /// Records the command history and everything that back ends ran; callers must be done.
    pub async fn read_back_ends(&self) -> Result<(), FleetError> {
        self.operations.read_history().await?;
        let executions = self.deployment.admin().executions(0).await?;
        self.recorder
            .extend(executions.into_iter().map(Event::Execution));
        Ok(())
    }

    /// Stops every process as planned and records how each ended; callers must be done.
    pub async fn stop(&mut self) -> Result<(), FleetError> {
        for index in 0..self.deployment.agents.len() {
            self.stop_agent(index).await?;
        }
        for index in 0..self.deployment.relays.len() {
            self.stop_relay(index).await?;
        }
        for index in 0..self.deployment.control.len() {
            let node = &mut self.deployment.control[index];
            let asked_at = clock::now();
            let process = node.name().to_owned();
            let status = node.stop().await?;
            self.record_stop(process, asked_at, status.code());
        }
        Ok(())
    }

    fn record_stop(&self, process: String, asked_at: u64, exit_code: Option<i32>) {
        self.recorder.record(Event::Stop(ProcessStop {
            process,
            asked_at,
            exited_at: clock::now(),
            exit_code,
        }));
    }

    fn notice(&self, backend: &BackendId, kind: BackendNoticeKind) {
        self.recorder.record(Event::Backend(BackendNotice {
            backend: backend.clone(),
            at: clock::now(),
            kind,
        }));
    }
}

/// The process's own HTTP address, past its proxy.
fn own_address(node: &Node) -> Option<SocketAddr> {
    node.process()?.addresses().http
}

fn record_snapshots(recorder: &Recorder, configuration: &Configuration) {
    for (service, settings) in &configuration.services {
        recorder.record(published(service, &settings.snapshot));
    }
}

fn published(service: &ServiceName, snapshot: &IndexSnapshot) -> Event {
    Event::Snapshot(PublishedSnapshot {
        service: service.clone(),
        snapshot: snapshot.id,
        shards: snapshot
            .shards
            .iter()
            .map(|assignment| assignment.shard)
            .collect(),
    })
}

/// What each back end holds of a snapshot.
fn held_by_backend(snapshot: &IndexSnapshot) -> Vec<(BackendId, HeldSnapshot)> {
    let mut by_backend = std::collections::BTreeMap::<BackendId, BTreeSet<_>>::new();
    for assignment in &snapshot.shards {
        for replica in &assignment.replicas {
            let shards = by_backend.entry(replica.clone()).or_default();
            shards.insert(assignment.shard);
        }
    }
    let held = by_backend.into_iter().map(|(backend, shards)| {
        let snapshot = snapshot.id;
        (backend, HeldSnapshot { snapshot, shards })
    });
    held.collect()
}
