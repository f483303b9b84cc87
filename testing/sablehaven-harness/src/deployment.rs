//! A deployment of real processes: control replicas, relays, agents and stand-in back ends.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    time::Duration,
};

use sablehaven_cli::{OperatorClient, RoleName, Settings};
use sablehaven_standins::{caller::AgentTarget, host::AdminClient, platform::LIST_PATH};
use sablehaven_types::{ApplyCommand, ApplyOutcome, ConfigurationChange, Placement};
use tempfile::TempDir;

use crate::{
    DeploymentPlan, HarnessError, HttpCaller, Node, NodeKind, Program, node::NodeSpec, until,
};

/// Time that an operator's request of the harness may take. Generous, since it only guards against
/// a hang.
const OPERATOR_LIMIT: Duration = Duration::from_secs(30);

/// Time between two readings of the platform's list, in milliseconds, unless the plan's settings name
/// another one.
const POLL_INTERVAL_MS: u64 = 200;

/// The line of an agent's metrics while it holds a lease.
const LEASE_HELD: &str = "sablehaven_agent_lease_current 1";

/// Placement of the stand-in host, which stands for machines everywhere.
const NOWHERE: &str = "stand-ins";

/// A running deployment; its processes end when it is dropped.
pub struct Deployment {
    plan: DeploymentPlan,
    program: Program,
    folder: TempDir,
    platform: SocketAddr,
    admin: AdminClient,
    /// The stand-in back ends with the platform's list.
    pub stand_ins: Node,
    /// The control replicas.
    pub control: Vec<Node>,
    /// The relays.
    pub relays: Vec<Node>,
    /// The agents.
    pub agents: Vec<Node>,
}

impl Deployment {
    /// Starts everything in four steps: stand-ins, control replicas (which form their groups),
    /// the first configuration, relays and agents. Returns once every agent is ready and holds a
    /// lease.
    pub async fn start(plan: DeploymentPlan, program: &Program) -> Result<Self, HarnessError> {
        let mut deployment = Self::start_stand_ins(plan, program).await?;
        deployment.start_control().await?;
        deployment.apply_first_configuration().await?;
        deployment.start_relays().await?;
        deployment.start_agents().await?;
        Ok(deployment)
    }

    /// The plan that the deployment was started from.
    pub fn plan(&self) -> &DeploymentPlan {
        &self.plan
    }

    /// Drives the stand-in back ends.
    pub fn admin(&self) -> &AdminClient {
        &self.admin
    }

    /// Sends operators' requests through every control replica.
    pub fn operator(&self) -> Result<OperatorClient, HarnessError> {
        let addresses = self.control.iter().map(Node::http).collect();
        Ok(OperatorClient::new(addresses, OPERATOR_LIMIT)?)
    }

    /// A caller beside an agent.
    pub fn caller(&self, agent: usize) -> HttpCaller {
        HttpCaller::new(self.agents[agent].http())
    }

    /// The agents as stand-in callers know them.
    pub fn agent_targets(&self) -> Vec<AgentTarget> {
        self.agents
            .iter()
            .map(|agent| AgentTarget {
                process: agent.name().to_owned(),
                address: agent.http(),
                placement: agent.placement().clone(),
            })
            .collect()
    }

    /// Sends a change against the version in force.
    pub async fn apply(
        &self,
        command_id: &str,
        expected_version: u64,
        change: ConfigurationChange,
    ) -> Result<ApplyOutcome, HarnessError> {
        let command = ApplyCommand {
            command_id: command_id.into(),
            operator: "harness".into(),
            reason: String::new(),
            expected_version,
            change,
        };
        let outcome = self.operator()?.apply(&command).await?;
        Ok(outcome)
    }

    /// Prepares one more control replica, which is to join; it is not started.
    pub async fn prepare_joining_control(&mut self) -> Result<usize, HarnessError> {
        let index = self.control.len();
        let placement =
            self.plan.fleet.placements()[index % self.plan.fleet.placements().len()].clone();
        let node = self
            .prepare(
                NodeKind::Role(RoleName::Control),
                "control",
                index,
                placement,
            )
            .await?;
        self.control.push(node);
        self.write_control_settings(index, false)?;
        Ok(index)
    }

    /// Waits until the node reports ready over HTTP.
    pub async fn wait_ready(&self, node: &Node) -> Result<(), HarnessError> {
        let url = format!("http://{}/health/ready", node.http());
        let client = reqwest::Client::new();
        until(&format!("{} is ready", node.name()), || async {
            let response = client.get(&url).send().await;
            let response = response.map_err(|error| error.to_string())?;
            match response.status().is_success() {
                true => Ok(()),
                false => Err(format!("status {}", response.status())),
            }
        })
        .await
    }

    /// Waits until the agent holds a lease: before it, requests that may not be repeated are refused.
    pub async fn wait_for_lease(&self, agent: &Node) -> Result<(), HarnessError> {
        let url = format!("http://{}/metrics", agent.http());
        let client = reqwest::Client::new();
        until(&format!("{} holds a lease", agent.name()), || async {
            let response = client.get(&url).send().await;
            let response = response.map_err(|error| error.to_string())?;
            let metrics = response.text().await.map_err(|error| error.to_string())?;
            match metrics.lines().any(|line| line == LEASE_HELD) {
                true => Ok(()),
                false => Err("no lease".to_owned()),
            }
        })
        .await
    }

    async fn start_stand_ins(
        plan: DeploymentPlan,
        program: &Program,
    ) -> Result<Self, HarnessError> {
        let folder = tempfile::tempdir().map_err(|error| HarnessError::File {
            step: "create",
            path: std::env::temp_dir(),
            reason: error.to_string(),
        })?;
        let stand_ins = start_stand_in_host(&plan, program, folder.path()).await?;
        let admin_error = |reason: String| HarnessError::Peer {
            step: "ask for addresses".to_owned(),
            peer: NOWHERE.to_owned(),
            reason,
        };
        let admin =
            AdminClient::new(stand_ins.http()).map_err(|error| admin_error(error.to_string()))?;
        let report = admin
            .host()
            .await
            .map_err(|error| admin_error(error.to_string()))?;
        let platform = report
            .platform
            .ok_or_else(|| admin_error("it serves no platform list".to_owned()))?;
        Ok(Self {
            program: program.clone(),
            plan,
            folder,
            platform,
            admin,
            stand_ins,
            control: Vec::new(),
            relays: Vec::new(),
            agents: Vec::new(),
        })
    }

    async fn start_control(&mut self) -> Result<(), HarnessError> {
        let placements = self.plan.fleet.control_placements(&self.plan.size);
        for (index, placement) in placements.into_iter().enumerate() {
            let kind = NodeKind::Role(RoleName::Control);
            let node = self.prepare(kind, "control", index, placement).await?;
            self.control.push(node);
        }
        for index in 0..self.control.len() {
            self.write_control_settings(index, true)?;
        }
        for node in &mut self.control {
            node.start().await?;
        }
        Ok(())
    }

    async fn apply_first_configuration(&self) -> Result<(), HarnessError> {
        let change = ConfigurationChange::ReplaceAll {
            configuration: self.plan.configuration(),
        };
        match self.apply("first-configuration", 0, change).await? {
            ApplyOutcome::Accepted { .. } => Ok(()),
            other => Err(HarnessError::FirstConfiguration(format!("{other:?}"))),
        }
    }

    async fn start_relays(&mut self) -> Result<(), HarnessError> {
        let placements = self.plan.fleet.relay_placements(&self.plan.size);
        for (index, placement) in placements.into_iter().enumerate() {
            let kind = NodeKind::Role(RoleName::Relay);
            let mut node = self.prepare(kind, "relay", index, placement).await?;
            node.write_settings(&self.relay_settings(&node)?)?;
            node.start().await?;
            self.relays.push(node);
        }
        Ok(())
    }

    async fn start_agents(&mut self) -> Result<(), HarnessError> {
        let placements = self.plan.fleet.agent_placements(&self.plan.size);
        for (index, placement) in placements.into_iter().enumerate() {
            let kind = NodeKind::Role(RoleName::Agent);
            let mut node = self.prepare(kind, "agent", index, placement).await?;
            node.write_settings(&self.agent_settings(&node)?)?;
            node.start().await?;
            self.agents.push(node);
        }
        for agent in &self.agents {
            self.wait_ready(agent).await?;
            self.wait_for_lease(agent).await?;
        }
        Ok(())
    }

    async fn prepare(
        &self,
        kind: NodeKind,
        role: &str,
        index: usize,
        placement: Placement,
    ) -> Result<Node, HarnessError> {
        Node::prepare(NodeSpec {
            name: format!("{role}-{}", index + 1),
            kind,
            placement,
            source: source_address(kind, index),
            folder: self.folder.path(),
            program: &self.program,
            seed: self.plan.seed.wrapping_add(index as u64),
        })
        .await
    }

    fn write_control_settings(&self, index: usize, bootstrap: bool) -> Result<(), HarnessError> {
        let node = &self.control[index];
        let mut settings = self.plan.settings.control.clone();
        settings.deployment = self.plan.fleet.deployment.clone();
        settings.http_listen = SocketAddr::new(node.source(), 0);
        settings.internal_listen = SocketAddr::new(node.source(), 0);
        settings.http_advertise = Some(node.http());
        settings.internal_advertise = Some(node.internal());
        settings.connect_from = Some(node.source());
        settings.placement = node.placement().clone();
        settings.data_folder = node.data_folder();
        settings.bootstrap = bootstrap;
        settings.peers = self
            .control
            .iter()
            .filter(|other| other.name() != node.name())
            .map(Node::internal)
            .collect();
        let poll_interval_ms = settings
            .platform
            .map_or(POLL_INTERVAL_MS, |platform| platform.poll_interval_ms);
        settings.platform = Some(sablehaven_control::PlatformConfig {
            url: format!("http://{}/{LIST_PATH}", self.platform),
            poll_interval_ms,
        });
        let settings = Settings {
            control: settings,
            ..Settings::default()
        };
        node.write_settings(&section(RoleName::Control, &settings)?)
    }

    fn relay_settings(&self, node: &Node) -> Result<String, HarnessError> {
        let mut settings = self.plan.settings.relay.clone();
        settings.deployment = self.plan.fleet.deployment.clone();
        settings.http_listen = SocketAddr::new(node.source(), 0);
        settings.internal_listen = SocketAddr::new(node.source(), 0);
        settings.connect_from = Some(node.source());
        settings.placement = node.placement().clone();
        settings.control = near_first(&self.control, node.placement());
        let settings = Settings {
            relay: settings,
            ..Settings::default()
        };
        section(RoleName::Relay, &settings)
    }

    fn agent_settings(&self, node: &Node) -> Result<String, HarnessError> {
        let mut settings = self.plan.settings.agent.clone();
        settings.deployment = self.plan.fleet.deployment.clone();
        settings.http_listen = SocketAddr::new(node.source(), 0);
        settings.connect_from = Some(node.source());
        settings.placement = node.placement().clone();
        settings.subscription.relays = near_first(&self.relays, node.placement());
        let settings = Settings {
            agent: settings,
            ..Settings::default()
        };
        section(RoleName::Agent, &settings)
    }
}

/// Starts the stand-in host of a plan.
async fn start_stand_in_host(
    plan: &DeploymentPlan,
    program: &Program,
    folder: &Path,
) -> Result<Node, HarnessError> {
    let mut stand_ins = Node::prepare(NodeSpec {
        name: NOWHERE.to_owned(),
        kind: NodeKind::StandIns,
        placement: Placement {
            region: NOWHERE.into(),
            zone: NOWHERE.into(),
        },
        source: IpAddr::V4(Ipv4Addr::LOCALHOST),
        folder,
        program,
        seed: plan.seed,
    })
    .await?;
    let host_file = serde_json::to_string(&plan.host_file());
    let host_file = host_file.map_err(|error| HarnessError::File {
        step: "encode",
        path: stand_ins.folder().to_owned(),
        reason: error.to_string(),
    })?;
    stand_ins.write_settings(&host_file)?;
    stand_ins.start().await?;
    Ok(stand_ins)
}

/// The internal addresses of nodes, those of the same zone first, then of the same region.
fn near_first(nodes: &[Node], placement: &Placement) -> Vec<SocketAddr> {
    let mut nodes: Vec<&Node> = nodes.iter().collect();
    nodes.sort_by_key(|node| {
        let other = node.placement();
        (
            other.region != placement.region,
            other.zone != placement.zone,
        )
    });
    nodes.into_iter().map(Node::internal).collect()
}

/// The settings file of one role: only its own section.
fn section(role: RoleName, settings: &Settings) -> Result<String, HarnessError> {
    let failed = |reason: String| HarnessError::File {
        step: "encode",
        path: format!("settings of {role}").into(),
        reason,
    };
    let mut table = toml::Table::try_from(settings).map_err(|error| failed(error.to_string()))?;
    table.retain(|name, _| name == role.as_str());
    toml::to_string(&table).map_err(|error| failed(error.to_string()))
}

/// A loopback address for each process.
fn source_address(kind: NodeKind, index: usize) -> IpAddr {
    let network = match kind {
        NodeKind::StandIns => 1,
        NodeKind::Role(RoleName::Control) => 2,
        NodeKind::Role(RoleName::Relay) => 3,
        NodeKind::Role(RoleName::Agent) => 4,
        NodeKind::Role(RoleName::Gateway) => 5,
    };
    let [high, low] = u16::try_from(index + 1).unwrap_or(u16::MAX).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, network, high, low))
}
