//! The platform's list of live and leaving machines, which lags behind the truth.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use sablehaven_types::{BackendId, BackendRecord};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait, writing::Json};
use serde::{Deserialize, Serialize};

/// The path of the list.
pub const LIST_PATH: &str = "machines";

/// Settings of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// IP number and port; port 0 takes one from the system.
    pub listen: SocketAddr,
    /// How far the list lags behind the truth, in milliseconds.
    #[serde(default)]
    pub lag_ms: u64,
    /// Machines that are listed besides the back ends and have no server, in the first back end's
    /// service and place.
    #[serde(default)]
    pub hollow_machines: u32,
}

/// Records of machines without a server, like `pattern` but for their identifiers and addresses.
pub fn hollow_machines(pattern: &BackendRecord, count: u32) -> impl Iterator<Item = BackendRecord> {
    // TEST-NET-2 (RFC 5737) holds no machines, so nothing can be reached by mistake.
    const NOWHERE: [u8; 3] = [198, 51, 100];
    let [first, second, third] = NOWHERE;
    (0..count).map(move |number| {
        let last = (number % 250) as u8 + 1;
        let port = (number / 250 % 60_000) as u16 + 1;
        BackendRecord {
            id: BackendId(format!("hollow-{number}")),
            address: ([first, second, third, last], port).into(),
            ..pattern.clone()
        }
    })
}

/// The list as it is served.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines, ascending by identifier.
    pub machines: Vec<BackendRecord>,
}

/// The list with its lag; cheap to clone.
#[derive(Clone, Debug)]
pub struct Platform {
    lag: Duration,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    /// The list as callers may see it by now.
    shown: BTreeMap<BackendId, BackendRecord>,
    /// Changes that callers cannot see yet, oldest first.
    pending: VecDeque<(Instant, Change)>,
}

#[derive(Clone, Debug)]
enum Change {
    List(BackendRecord),
    Remove(BackendId),
}

impl Platform {
    /// A list that shows these records at once, and later changes after the lag.
    pub fn new(lag_ms: u64, records: impl IntoIterator<Item = BackendRecord>) -> Self {
        let shown = records
            .into_iter()
            .map(|record| (record.id.clone(), record));
        Self {
            lag: Duration::from_millis(lag_ms),
            inner: Arc::new(Mutex::new(Inner {
                shown: shown.collect(),
                pending: VecDeque::new(),
            })),
        }
    }

    /// Puts a record on the list, or replaces it.
    pub fn list(&self, record: BackendRecord) {
        self.change(Change::List(record));
    }

    /// Takes a machine off the list.
    pub fn remove(&self, id: &BackendId) {
        self.change(Change::Remove(id.clone()));
    }

    /// The list as callers see it now.
    pub fn shown_list(&self) -> MachineList {
        let mut inner = self.lock();
        inner.show_until(Instant::now(), self.lag);
        list_of(&inner.shown)
    }

    /// The list without lag.
    pub fn true_list(&self) -> MachineList {
        let inner = self.lock();
        let mut machines = inner.shown.clone();
        for (_, change) in &inner.pending {
            apply(&mut machines, change.clone());
        }
        list_of(&machines)
    }

    /// Routes `GET /machines`.
    pub fn router(&self) -> Router {
        Router::with_path(LIST_PATH).get(ListHandler(self.clone()))
    }

    fn change(&self, change: Change) {
        self.lock().pending.push_back((Instant::now(), change));
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn show_until(&mut self, now: Instant, lag: Duration) {
        while let Some((at, _)) = self.pending.front()
            && now.saturating_duration_since(*at) >= lag
        {
            if let Some((_, change)) = self.pending.pop_front() {
                apply(&mut self.shown, change);
            }
        }
    }
}

fn apply(machines: &mut BTreeMap<BackendId, BackendRecord>, change: Change) {
    match change {
        Change::List(record) => {
            machines.insert(record.id.clone(), record);
        }
        Change::Remove(id) => {
            machines.remove(&id);
        }
    }
}

fn list_of(machines: &BTreeMap<BackendId, BackendRecord>) -> MachineList {
    MachineList {
        machines: machines.values().cloned().collect(),
    }
}

struct ListHandler(Platform);

#[async_trait]
impl Handler for ListHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        response.render(Json(self.0.shown_list()));
    }
}
