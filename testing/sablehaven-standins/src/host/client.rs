//! A client of a host's administration interface.

use std::net::SocketAddr;

use reqwest::Client;
use sablehaven_history::ExecutionRecord;
use sablehaven_types::{BackendId, BackendRecord, SnapshotId};
use serde::{Serialize, de::DeserializeOwned};

use super::{ExecutionPage, HostReport, SnapshotDrop};
use crate::{
    backend::{BackendStatus, Behaviour, HeldSnapshot, NetworkMap},
    platform::MachineList,
};

/// Errors of the administration client; each names the path.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum AdminError {
    /// ask host at {path}: {source}
    Request {
        /// The path.
        path: String,
        /// The cause.
        source: reqwest::Error,
    },
    /// ask host at {path}: status {status}, {reason}
    Refused {
        /// The path.
        path: String,
        /// HTTP status.
        status: u16,
        /// The host's words.
        reason: String,
    },
}

/// Speaks to one host; cheap to clone.
#[derive(Clone, Debug)]
pub struct AdminClient {
    address: SocketAddr,
    client: Client,
}

impl AdminClient {
    /// A client of the host whose administration interface is at this address.
    pub fn new(address: SocketAddr) -> Result<Self, reqwest::Error> {
        let client = Client::builder().no_proxy().build()?;
        Ok(Self { address, client })
    }

    /// The addresses of everything that the host serves.
    pub async fn host(&self) -> Result<HostReport, AdminError> {
        self.get("host").await
    }

    /// The status of every back end.
    pub async fn backends(&self) -> Result<Vec<BackendStatus>, AdminError> {
        self.get("backends").await
    }

    /// Every execution record from position `from`.
    pub async fn executions(&self, mut from: usize) -> Result<Vec<ExecutionRecord>, AdminError> {
        let mut all = Vec::new();
        loop {
            let page: ExecutionPage = self.get(&format!("executions?from={from}")).await?;
            if page.records.is_empty() {
                return Ok(all);
            }
            all.extend(page.records);
            from = page.next;
        }
    }

    /// Replaces a back end's behaviour.
    pub async fn behave(&self, id: &BackendId, new: &Behaviour) -> Result<(), AdminError> {
        self.post(&format!("backends/{id}/behaviour"), new).await
    }

    /// Lets a back end hold a snapshot besides the others.
    pub async fn hold(&self, id: &BackendId, held: &HeldSnapshot) -> Result<(), AdminError> {
        self.post(&format!("backends/{id}/hold"), held).await
    }

    /// Lets a back end let go of a snapshot.
    pub async fn drop_snapshot(
        &self,
        id: &BackendId,
        snapshot: SnapshotId,
    ) -> Result<(), AdminError> {
        let path = format!("backends/{id}/drop");
        self.post(&path, &SnapshotDrop { snapshot }).await
    }

    /// Lets a back end say that it drains.
    pub async fn drain(&self, id: &BackendId) -> Result<(), AdminError> {
        self.post(&format!("backends/{id}/drain"), &()).await
    }

    /// Loses a back end at once.
    pub async fn lose(&self, id: &BackendId) -> Result<(), AdminError> {
        self.post(&format!("backends/{id}/lose"), &()).await
    }

    /// Starts a lost or drained back end again, as its next incarnation.
    pub async fn restore(&self, id: &BackendId) -> Result<(), AdminError> {
        self.post(&format!("backends/{id}/restore"), &()).await
    }

    /// Replaces the map of latencies between callers and back ends.
    pub async fn set_network(&self, map: &NetworkMap) -> Result<(), AdminError> {
        self.post("network", map).await
    }

    /// The platform's list without its lag.
    pub async fn platform(&self) -> Result<MachineList, AdminError> {
        self.get("platform").await
    }

    /// Puts a record on the platform's list, or replaces it.
    pub async fn platform_list(&self, record: &BackendRecord) -> Result<(), AdminError> {
        self.post("platform/list", record).await
    }

    /// Takes a back end off the platform's list.
    pub async fn platform_remove(&self, id: &BackendId) -> Result<(), AdminError> {
        self.post("platform/remove", id).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, AdminError> {
        let response = self.client.get(self.url(path)).send().await;
        let response = checked(path, response).await?;
        let body = response.json().await;
        body.map_err(|source| request_error(path, source))
    }

    async fn post<T: Serialize>(&self, path: &str, body: &T) -> Result<(), AdminError> {
        let response = self.client.post(self.url(path)).json(body).send().await;
        checked(path, response).await?;
        Ok(())
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/admin/{path}", self.address)
    }
}

async fn checked(
    path: &str,
    response: Result<reqwest::Response, reqwest::Error>,
) -> Result<reqwest::Response, AdminError> {
    let response = response.map_err(|source| request_error(path, source))?;
    if response.status().is_success() {
        return Ok(response);
    }
    Err(AdminError::Refused {
        path: path.to_owned(),
        status: response.status().as_u16(),
        reason: response.text().await.unwrap_or_default(),
    })
}

fn request_error(path: &str, source: reqwest::Error) -> AdminError {
    AdminError::Request {
        path: path.to_owned(),
        source,
    }
}
