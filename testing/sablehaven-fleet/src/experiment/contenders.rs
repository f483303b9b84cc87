//! One deployment with both contenders before the same back ends.

use sablehaven_faults::Proxy;
use sablehaven_harness::{Deployment, DeploymentPlan, ManagedProcess, Program};
use sablehaven_standins::{
    baseline::BaselineSettings,
    caller::AgentTarget,
    host::{AdminClient, HostFile},
};

use super::{figures::Contender, topology::Disturbed};
use crate::{
    measure::process::{self, ProcessUse},
    world::FleetError,
};

/// The baseline's process, by its name in the run.
const BASELINE: &str = "baseline";

/// A deployment with one agent of the product and one baseline agent.
pub(super) struct Contenders {
    pub(super) deployment: Deployment,
    baseline: ManagedProcess,
    /// The product's agent is reached through a proxy, so the baseline is too.
    baseline_proxy: Proxy,
    _folder: tempfile::TempDir,
}

impl Contenders {
    pub(super) async fn start(plan: DeploymentPlan, program: &Program) -> Result<Self, FleetError> {
        let deployment = Deployment::start(plan, program).await?;
        let folder = tempfile::tempdir().map_err(|error| FleetError::step("make folder", error))?;
        let file = baseline_file(&deployment).await?;
        let path = folder.path().join("baseline.json");
        let text = serde_json::to_string(&file);
        let text = text.map_err(|error| FleetError::step("encode baseline", error))?;
        std::fs::write(&path, text).map_err(|source| FleetError::Write {
            path: path.clone(),
            source,
        })?;
        let arguments = ["stand-ins".to_owned(), path.display().to_string()];
        let baseline = ManagedProcess::start(program, BASELINE, &arguments, folder.path()).await?;
        let address = baseline_address(&baseline).await?;
        let baseline_proxy = Proxy::start(address, deployment.plan().seed)
            .await
            .map_err(|error| FleetError::step("start baseline's proxy", error))?;
        Ok(Self {
            deployment,
            baseline,
            baseline_proxy,
            _folder: folder,
        })
    }

    /// The agents of a contender, as callers know them: the product's stands in each region, the
    /// one of the baseline serves all regions.
    pub(super) fn targets(&self, contender: Contender) -> Vec<AgentTarget> {
        let mut targets = self.deployment.agent_targets();
        if contender == Contender::Baseline {
            for target in &mut targets {
                target.process = BASELINE.to_owned();
                target.address = self.baseline_proxy.address();
            }
        }
        targets
    }

    /// What a contender's process has used.
    pub(super) fn process_use(&self, contender: Contender) -> Result<ProcessUse, FleetError> {
        let id = match contender {
            Contender::Baseline => self.baseline.id(),
            Contender::Candidate => {
                let agent = self.deployment.agents.first();
                agent.and_then(|agent| agent.process()?.id())
            }
        };
        let id = id.ok_or_else(|| FleetError::step("find process", "it does not run"))?;
        Ok(process::read(id)?)
    }

    pub(super) async fn disturb(&self, disturbed: &[Disturbed]) -> Result<(), FleetError> {
        let admin = self.deployment.admin();
        for disturbed in disturbed {
            match disturbed {
                Disturbed::Behaves(id, behaviour) => admin.behave(id, behaviour).await?,
                Disturbed::Lost(id) => admin.lose(id).await?,
            }
        }
        Ok(())
    }

    /// Lets every back end behave as before a disturbance.
    pub(super) async fn calm(&self, disturbed: &[Disturbed]) -> Result<(), FleetError> {
        let admin = self.deployment.admin();
        for disturbed in disturbed {
            match disturbed {
                Disturbed::Behaves(id, _) => admin.behave(id, &Default::default()).await?,
                Disturbed::Lost(id) => admin.restore(id).await?,
            }
        }
        Ok(())
    }
}

async fn baseline_file(deployment: &Deployment) -> Result<HostFile, FleetError> {
    let plan = deployment.plan();
    let any_port = ([127, 0, 0, 1], 0).into();
    Ok(HostFile {
        schema: plan.schema.source().clone(),
        admin_listen: any_port,
        seed: plan.seed,
        platform: None,
        baseline: Some(BaselineSettings {
            listen: any_port,
            configuration: plan.configuration(),
            backends: deployment.admin().host().await?.backends,
            seed: plan.seed,
        }),
        backends: Vec::new(),
    })
}

async fn baseline_address(process: &ManagedProcess) -> Result<std::net::SocketAddr, FleetError> {
    let missing = || FleetError::step("find baseline", "it printed no address");
    let admin = process.addresses().http.ok_or_else(missing)?;
    let admin =
        AdminClient::new(admin).map_err(|error| FleetError::step("set up client", error))?;
    admin.host().await?.baseline.ok_or_else(missing)
}
