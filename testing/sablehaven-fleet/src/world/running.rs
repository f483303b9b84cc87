//! A running deployment and what can be done with it while it is loaded.

use std::{net::SocketAddr, sync::Arc};

use sablehaven_harness::{Deployment, DeploymentPlan, Node, Program};
use sablehaven_history::{Event, ProcessStop, Recorder};
use sablehaven_standins::{
    backend::NetworkMap,
    caller::{AgentTarget, Driver, DriverSettings},
    clock,
};
use sablehaven_types::Configuration;

use super::{
    FleetError, Operations,
    back_ends::{BackEnds, published},
};

/// A running deployment with its recorder.
pub struct World {
    /// The processes.
    pub deployment: Deployment,
    /// What was recorded so far.
    pub recorder: Recorder,
    /// The operator of the run.
    pub operations: Arc<Operations>,
    /// The back ends.
    pub back_ends: BackEnds,
}

impl World {
    /// Starts every process and records the first snapshots.
    pub async fn start(plan: DeploymentPlan, program: &Program) -> Result<Self, FleetError> {
        let recorder = Recorder::new();
        record_snapshots(&recorder, &plan.configuration());
        let deployment = Deployment::start(plan, program).await?;
        let client = deployment.operator()?;
        let operations = Arc::new(Operations::new(client, recorder.clone(), "fleet"));
        Ok(Self {
            back_ends: BackEnds::new(&deployment, &operations, &recorder),
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
