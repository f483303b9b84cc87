//! A deployment under measurement.

use std::net::{IpAddr, SocketAddr};

use sablehaven_control::{
    PlatformConfig,
    operator::{ControlStatus, paths},
};
use sablehaven_harness::{Deployment, DeploymentPlan, Node, Program};
use sablehaven_history::Recorder;
use sablehaven_types::{ApplyOutcome, ConfigurationChange, RoutingSettings};

use super::hollow::HollowAgents;
use crate::world::{FleetError, Operations};

/// Time between two readings of the platform's list; control's default.
const POLL_INTERVAL_MS: u64 = 1_000;

/// A running deployment with an operator.
pub(super) struct Bed {
    pub deployment: Deployment,
    pub operations: Operations,
}

impl Bed {
    /// Starts a plan, with control reading the platform's list as often as by its default settings.
    pub(super) async fn start(
        mut plan: DeploymentPlan,
        program: &Program,
    ) -> Result<Self, FleetError> {
        plan.settings.control.platform = Some(PlatformConfig {
            url: String::new(), // the harness fills it in
            poll_interval_ms: POLL_INTERVAL_MS,
        });
        let deployment = Deployment::start(plan, program).await?;
        let operations = Operations::new(deployment.operator()?, Recorder::new(), "capacity");
        Ok(Self {
            deployment,
            operations,
        })
    }

    /// Where agents beside the relay reach it, past its proxy.
    pub(super) fn relay(&self, index: usize) -> Result<SocketAddr, FleetError> {
        let relay = self.deployment.relays.get(index);
        let process = relay.and_then(Node::process);
        let address = process.and_then(|process| process.addresses().internal);
        address.ok_or_else(|| FleetError::step("find relay", format!("{index} has no address")))
    }

    /// No hollow agents yet, which will use these relays, the first one first.
    pub(super) fn hollow(&self, relays: &[usize]) -> Result<HollowAgents, FleetError> {
        let addresses = relays.iter().map(|index| self.relay(*index));
        let addresses = addresses.collect::<Result<Vec<_>, _>>()?;
        Ok(self.hollow_at(addresses, None))
    }

    /// The same for any addresses, connecting from the given one.
    pub(super) fn hollow_at(
        &self,
        relays: Vec<SocketAddr>,
        connect_from: Option<IpAddr>,
    ) -> HollowAgents {
        let deployment = &self.deployment.plan().fleet.deployment;
        let placement = self.deployment.relays[0].placement();
        HollowAgents::new(relays, connect_from, deployment, placement)
    }

    /// Makes a change that differs from the one before; gives its version.
    pub(super) async fn change(&self, number: u32) -> Result<u64, FleetError> {
        let configuration = self.operations.configuration().await?;
        let service = configuration.services.keys().next();
        let service = service.ok_or_else(|| FleetError::step("change", "there is no service"))?;
        let routing = RoutingSettings {
            slow_start_ms: 10_000 + u64::from(number),
            ..RoutingSettings::default()
        };
        let change = ConfigurationChange::SetRouting {
            service: service.clone(),
            routing,
        };
        let applied = self
            .operations
            .apply(configuration.version, "capacity", change)
            .await?;
        match applied {
            ApplyOutcome::Accepted { version } => Ok(version),
            other => Err(FleetError::step("change", format!("{other:?}"))),
        }
    }

    /// Waits until every agent has the newest configuration and a lease.
    pub(super) async fn settle(&self, hollow: &HollowAgents) -> Result<(), FleetError> {
        let version = self.operations.configuration().await?.version;
        hollow.wait_for(version).await?;
        Ok(())
    }

    /// The control replica that leads group 0.
    pub(super) async fn leader(&self) -> Result<&Node, FleetError> {
        for node in &self.deployment.control {
            let status = status(node).await?;
            if status.leader == Some(status.replica) {
                return Ok(node);
            }
        }
        Err(FleetError::step("find leader", "no replica leads"))
    }

    /// The revision of the shared state that the leader has applied.
    pub(super) async fn revision(&self) -> Result<u64, FleetError> {
        Ok(status(self.leader().await?).await?.revision)
    }
}

/// One replica's own view.
async fn status(node: &Node) -> Result<ControlStatus, FleetError> {
    let failed = |error: reqwest::Error| FleetError::step("read status", error);
    let response = reqwest::get(format!("http://{}{}", node.http(), paths::STATUS)).await;
    response.map_err(failed)?.json().await.map_err(failed)
}
