//! What the integration tests share.

use std::path::{Path, PathBuf};

use sablehaven_harness::{Deployment, DeploymentPlan, PlanSize, Program};

/// Trinacria's service of stock searches and pallet reservations.
pub const ORDERING_PORTAL: &str = "trinacria.OrderingPortal";

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
