//! The administration interface: JSON over HTTP, one for all back ends of a process.
//!
//! | request | does |
//! |---|---|
//! | `GET /admin/host` | the addresses of everything that the process serves |
//! | `GET /admin/backends` | the status of every back end |
//! | `GET /admin/executions?from=N` | a page of execution records from position N |
//! | `POST /admin/backends/{id}/behaviour` | replaces the behaviour |
//! | `POST /admin/backends/{id}/hold` | holds a snapshot besides the others |
//! | `POST /admin/backends/{id}/drop` | lets go of a snapshot |
//! | `POST /admin/backends/{id}/drain` | says that it drains |
//! | `POST /admin/backends/{id}/lose` | loses the server at once |
//! | `POST /admin/backends/{id}/restore` | starts the server again, cold, as its next incarnation |
//! | `POST /admin/network` | replaces the map of latencies |
//! | `GET /admin/platform` | the platform's true list, without lag |
//! | `POST /admin/platform/list` | puts a record on the list, or replaces it |
//! | `POST /admin/platform/remove` | takes the named back end off the list |

use std::sync::Arc;

use sablehaven_history::ExecutionRecord;
use sablehaven_types::{BackendId, BackendRecord, SnapshotId};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, async_trait, http::StatusCode,
    writing::Json,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::running::Hosted;
use crate::backend::{Backend, Behaviour, HeldSnapshot, NetworkMap};

/// Records in one page of executions.
const PAGE_RECORDS: usize = 20_000;

/// A page of execution records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionPage {
    /// The position after the last record of this page; ask from here next.
    pub next: usize,
    /// The records; none means that there are no more yet.
    pub records: Vec<ExecutionRecord>,
}

/// Names a snapshot to let go of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotDrop {
    /// The snapshot.
    pub snapshot: SnapshotId,
}

#[derive(Clone, Copy)]
enum Action {
    Host,
    Backends,
    Executions,
    Behaviour,
    Hold,
    Drop,
    Drain,
    Lose,
    Restore,
    Network,
    Platform,
    PlatformList,
    PlatformRemove,
}

struct AdminHandler {
    hosted: Arc<Hosted>,
    action: Action,
}

struct Refusal {
    status: StatusCode,
    reason: String,
}

pub(crate) fn router(hosted: &Arc<Hosted>) -> Router {
    let get = |path: &str, action| Router::with_path(path).get(handler(hosted, action));
    let post = |path: &str, action| Router::with_path(path).post(handler(hosted, action));
    Router::with_path("admin")
        .push(get("host", Action::Host))
        .push(get("backends", Action::Backends))
        .push(get("executions", Action::Executions))
        .push(post("backends/{id}/behaviour", Action::Behaviour))
        .push(post("backends/{id}/hold", Action::Hold))
        .push(post("backends/{id}/drop", Action::Drop))
        .push(post("backends/{id}/drain", Action::Drain))
        .push(post("backends/{id}/lose", Action::Lose))
        .push(post("backends/{id}/restore", Action::Restore))
        .push(post("network", Action::Network))
        .push(get("platform", Action::Platform))
        .push(post("platform/list", Action::PlatformList))
        .push(post("platform/remove", Action::PlatformRemove))
}

fn handler(hosted: &Arc<Hosted>, action: Action) -> AdminHandler {
    let hosted = Arc::clone(hosted);
    AdminHandler { hosted, action }
}

#[async_trait]
impl Handler for AdminHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        if let Err(refusal) = self.act(request, response).await {
            response.status_code(refusal.status);
            response.render(refusal.reason);
        }
    }
}

impl AdminHandler {
    async fn act(&self, request: &mut Request, response: &mut Response) -> Result<(), Refusal> {
        match self.action {
            Action::Host | Action::Backends | Action::Executions | Action::Platform => {
                self.show(request, response)
            }
            Action::Network => {
                let map: NetworkMap = body(request).await?;
                self.hosted.network.replace(map);
            }
            Action::PlatformList => {
                let record: BackendRecord = body(request).await?;
                self.hosted.platform.list(record);
            }
            Action::PlatformRemove => {
                let id: BackendId = body(request).await?;
                self.hosted.platform.remove(&id);
            }
            _ => self.act_on_backend(request).await?,
        }
        Ok(())
    }

    fn show(&self, request: &mut Request, response: &mut Response) {
        match self.action {
            Action::Host => {
                let admin = request.local_addr().clone().into_std();
                response.render(Json(admin.map(|admin| self.hosted.report(admin))));
            }
            Action::Backends => {
                let backends = self.hosted.backends.values();
                let statuses: Vec<_> = backends.map(Backend::status).collect();
                response.render(Json(statuses));
            }
            Action::Executions => {
                let from: usize = request.query("from").unwrap_or(0);
                let records = self.hosted.log.page(from, PAGE_RECORDS);
                let next = from + records.len();
                response.render(Json(ExecutionPage { next, records }));
            }
            _ => response.render(Json(self.hosted.platform.true_list())),
        }
    }

    async fn act_on_backend(&self, request: &mut Request) -> Result<(), Refusal> {
        let id = BackendId(request.param("id").unwrap_or_default());
        let backend = self.hosted.backends.get(&id).ok_or_else(|| Refusal {
            status: StatusCode::NOT_FOUND,
            reason: format!("no back end {id}"),
        })?;
        match self.action {
            Action::Behaviour => backend.set_behaviour(body::<Behaviour>(request).await?),
            Action::Hold => backend.hold(body::<HeldSnapshot>(request).await?),
            Action::Drop => {
                let SnapshotDrop { snapshot } = body(request).await?;
                backend.drop_snapshot(snapshot);
            }
            Action::Drain => backend.drain(),
            Action::Lose => backend.lose().await,
            _ => backend.restore().await.map_err(|error| Refusal {
                status: StatusCode::INTERNAL_SERVER_ERROR,
                reason: error.to_string(),
            })?,
        }
        Ok(())
    }
}

async fn body<T: DeserializeOwned>(request: &mut Request) -> Result<T, Refusal> {
    let refusal = |reason: String| Refusal {
        status: StatusCode::BAD_REQUEST,
        reason,
    };
    let bytes = request.payload().await;
    let bytes = bytes.map_err(|error| refusal(format!("read body: {error}")))?;
    serde_json::from_slice(bytes).map_err(|error| refusal(format!("decode body: {error}")))
}
