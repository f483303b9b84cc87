//! What the integration tests share. Each test binary uses a part of it.
#![allow(dead_code, reason = "every test binary compiles its own copy")]

use std::path::{Path, PathBuf};

use sablehaven_control::operator::{ControlStatus, paths};
use sablehaven_harness::{Deployment, DeploymentPlan, Node, PlanSize, Program, until};
use sablehaven_types::{ConfigurationChange, RoutingSettings};

/// Trinacria's service of stock searches and pallet reservations.
pub const ORDERING_PORTAL: &str = "trinacria.OrderingPortal";
/// A query of that service.
pub const SEARCH_STOCK: &str = "/trinacria.OrderingPortal/SearchStock";
/// A request of that service that may not be repeated.
pub const RESERVE_PALLET: &str = "/trinacria.OrderingPortal/ReservePallet";

/// The folder of a deployment of this repository.
pub fn deployment_folder(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    root.join("deployments").join(name)
}

/// The program that plays every child process.
pub fn program() -> Program {
    Program::new(env!("CARGO_BIN_EXE_integration-process"))
}

/// A small deployment of Trinacria with the ordering portal only.
pub fn small_plan() -> DeploymentPlan {
    DeploymentPlan::read(&deployment_folder("trinacria"), PlanSize::Demo)
        .expect("the deployment's files are valid")
        .with_services(&[ORDERING_PORTAL])
}

/// Starts a plan.
pub async fn start(plan: DeploymentPlan) -> Deployment {
    Deployment::start(plan, &program())
        .await
        .expect("the deployment starts")
}

/// A change of a routing setting that makes a new version.
pub fn set_slots(slots: u32) -> ConfigurationChange {
    ConfigurationChange::SetRouting {
        service: ORDERING_PORTAL.into(),
        routing: RoutingSettings {
            slots_per_server: slots,
            ..RoutingSettings::default()
        },
    }
}

/// What one control replica says of itself.
pub async fn status(node: &Node) -> Result<ControlStatus, String> {
    let url = format!("http://{}{}", node.http(), paths::STATUS);
    let response = reqwest::get(url).await.map_err(|error| error.to_string())?;
    response.json().await.map_err(|error| error.to_string())
}

/// Waits until every started control replica names the same leader, and gives its place in
/// `deployment.control`.
pub async fn leader(deployment: &Deployment) -> usize {
    until("all control replicas name one leader", || async {
        let mut named = Vec::new();
        for node in &deployment.control {
            if node.process().is_some() {
                let status = status(node).await?;
                let leader = status.leader.ok_or("a replica knows no leader")?;
                named.push((leader, status));
            }
        }
        let (leader, last) = named.last().ok_or("none is started")?;
        if named.iter().any(|(other, _)| other != leader) {
            return Err(format!("{named:?}"));
        }
        let state = last.replicas.iter().find(|state| state.replica == *leader);
        let http = state.ok_or("the leader is no replica")?.addresses.http;
        let place = deployment
            .control
            .iter()
            .position(|node| node.http() == http);
        place.ok_or_else(|| "the leader is elsewhere".to_owned())
    })
    .await
    .expect("a leader")
}
