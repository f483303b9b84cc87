//! The administration interface of a stand-in host process.

use std::net::SocketAddr;

use sablehaven_history::ExecutionRecord;
use sablehaven_standins::{
    backend::{Behaviour, HeldSnapshot},
    host::{ExecutionPage, HostReport, SnapshotDrop},
};
use sablehaven_types::{BackendId, BackendRecord, SnapshotId};
use serde::{Serialize, de::DeserializeOwned};

use crate::HarnessError;

/// Drives the back ends of one stand-in host.
#[derive(Clone, Debug)]
pub struct StandInAdmin {
    client: reqwest::Client,
    address: SocketAddr,
}

impl StandInAdmin {
    /// The host whose administration interface listens there.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: reqwest::Client::new(),
            address,
        }
    }

    /// The host's addresses.
    pub async fn report(&self) -> Result<HostReport, HarnessError> {
        self.get("host").await
    }

    /// Every request that reached the back ends.
    pub async fn executions(&self) -> Result<Vec<ExecutionRecord>, HarnessError> {
        let mut all = Vec::new();
        loop {
            let page: ExecutionPage = self.get(&format!("executions?from={}", all.len())).await?;
            if page.records.is_empty() {
                return Ok(all);
            }
            all.extend(page.records);
        }
    }

    /// Replaces a back end's behaviour.
    pub async fn set_behaviour(
        &self,
        backend: &BackendId,
        behaviour: &Behaviour,
    ) -> Result<(), HarnessError> {
        self.post(&format!("backends/{backend}/behaviour"), behaviour)
            .await
    }

    /// Lets a back end hold a snapshot besides the others.
    pub async fn hold(
        &self,
        backend: &BackendId,
        snapshot: &HeldSnapshot,
    ) -> Result<(), HarnessError> {
        self.post(&format!("backends/{backend}/hold"), snapshot)
            .await
    }

    /// Lets a back end let go of a snapshot.
    pub async fn drop_snapshot(
        &self,
        backend: &BackendId,
        snapshot: SnapshotId,
    ) -> Result<(), HarnessError> {
        self.post(
            &format!("backends/{backend}/drop"),
            &SnapshotDrop { snapshot },
        )
        .await
    }

    /// Lets a back end drain.
    pub async fn drain(&self, backend: &BackendId) -> Result<(), HarnessError> {
        self.post(&format!("backends/{backend}/drain"), &()).await
    }

    /// Loses a back end at once.
    pub async fn lose(&self, backend: &BackendId) -> Result<(), HarnessError> {
        self.post(&format!("backends/{backend}/lose"), &()).await
    }

    /// Starts a lost back end again.
    pub async fn restore(&self, backend: &BackendId) -> Result<(), HarnessError> {
        self.post(&format!("backends/{backend}/restore"), &()).await
    }

    /// Puts a record on the platform's list, or replaces it.
    pub async fn list(&self, record: &BackendRecord) -> Result<(), HarnessError> {
        self.post("platform/list", record).await
    }

    /// Takes a back end off the platform's list.
    pub async fn remove(&self, backend: &BackendId) -> Result<(), HarnessError> {
        self.post("platform/remove", backend).await
    }

    async fn get<Body: DeserializeOwned>(&self, path: &str) -> Result<Body, HarnessError> {
        let url = self.url(path);
        let error = |reason: reqwest::Error| self.error(path, reason.to_string());
        let response = self.client.get(url).send().await.map_err(error)?;
        let response = response.error_for_status().map_err(error)?;
        response.json().await.map_err(error)
    }

    async fn post(&self, path: &str, body: &impl Serialize) -> Result<(), HarnessError> {
        let error = |reason: reqwest::Error| self.error(path, reason.to_string());
        let request = self.client.post(self.url(path)).json(body);
        let response = request.send().await.map_err(error)?;
        if response.status().is_success() {
            return Ok(());
        }
        let reason = response.text().await.map_err(error)?;
        Err(self.error(path, reason))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/admin/{path}", self.address)
    }

    fn error(&self, step: &str, reason: String) -> HarnessError {
        HarnessError::Peer {
            step: step.to_owned(),
            peer: format!("stand-ins {}", self.address),
            reason,
        }
    }
}
