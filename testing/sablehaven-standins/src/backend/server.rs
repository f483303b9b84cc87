//! One back end's server: bind, lose, restore.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
    time::Duration,
};

use sablehaven_schema::DeploymentSchema;
use sablehaven_types::{BackendId, BackendRecord};
use salvo::{Router, Server, server::ServerHandle};
use tokio::{sync::Semaphore, task::JoinHandle};

use super::{
    handler::AttemptHandler,
    load::LoadReporter,
    network::Network,
    record::ExecutionLog,
    settings::{BackendSettings, Behaviour, HeldSnapshot},
    state::{BackendStatus, State},
};
use crate::listener::{ConnectionCounts, LimitedAcceptor};

/// Errors of a back end's server.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum BackendError {
    /// bind back end {backend} to {address}: {source}
    Bind {
        /// The back end.
        backend: BackendId,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

/// What the connections of one back end share.
pub(crate) struct Shared {
    pub settings: BackendSettings,
    pub schema: Arc<DeploymentSchema>,
    pub state: Arc<State>,
    pub slots: Semaphore,
    pub load: LoadReporter,
    pub log: ExecutionLog,
    pub network: Network,
}

/// What the back ends of one process have in common; cheap to clone.
#[derive(Clone)]
pub(crate) struct Surroundings {
    pub schema: Arc<DeploymentSchema>,
    pub log: ExecutionLog,
    pub network: Network,
}

/// One running back end.
pub struct Backend {
    shared: Arc<Shared>,
    counts: Arc<ConnectionCounts>,
    address: SocketAddr,
    serving: Mutex<Option<Serving>>,
}

struct Serving {
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl Backend {
    /// Binds and serves.
    pub(crate) async fn start(
        settings: BackendSettings,
        surroundings: Surroundings,
        seed: u64,
    ) -> Result<Self, BackendError> {
        let shared = Arc::new(Shared {
            state: Arc::new(State::new(&settings, seed)),
            slots: Semaphore::new(settings.slots as usize),
            load: LoadReporter::default(),
            schema: surroundings.schema,
            log: surroundings.log,
            network: surroundings.network,
            settings,
        });
        let counts = Arc::new(ConnectionCounts::default());
        let listen = shared.settings.listen;
        let (serving, address) = serve(&shared, &counts, listen).await?;
        Ok(Self {
            shared,
            counts,
            address,
            serving: Mutex::new(Some(serving)),
        })
    }

    /// Its identifier.
    pub fn id(&self) -> &BackendId {
        &self.shared.settings.id
    }

    /// Its record, as a platform would list it.
    pub fn record(&self) -> BackendRecord {
        let Shared {
            settings, state, ..
        } = &*self.shared;
        BackendRecord {
            id: settings.id.clone(),
            service: settings.service.clone(),
            address: self.address,
            placement: settings.placement.clone(),
            state: state.backend_state(),
            incarnation: state.incarnation.load(Ordering::Relaxed),
        }
    }

    /// Everything it shows of itself.
    pub fn status(&self) -> BackendStatus {
        let state = &self.shared.state;
        BackendStatus {
            record: self.record(),
            running: state.running.load(Ordering::Relaxed),
            waiting: state.waiting.load(Ordering::Relaxed),
            connections: self.counts.open.load(Ordering::Relaxed),
            connections_opened: self.counts.opened.load(Ordering::Relaxed),
            connections_refused: self.counts.refused.load(Ordering::Relaxed),
            received: state.received.load(Ordering::Relaxed),
            lost: state.lost.load(Ordering::Relaxed),
            held: state.held(),
            behaviour: state.behaviour(),
        }
    }

    /// Changes how it behaves.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.shared.state.set_behaviour(behaviour);
    }

    /// Holds a snapshot besides those it holds already (an index was rebuilt or repartitioned).
    pub fn hold(&self, held: HeldSnapshot) {
        self.shared.state.hold(held);
    }

    /// Lets go of a snapshot.
    pub fn drop_snapshot(&self, snapshot: sablehaven_types::SnapshotId) {
        self.shared.state.drop_snapshot(snapshot);
    }

    /// Says that it drains; refuses new work once its grace time has passed.
    pub fn drain(&self) {
        self.shared.state.drain();
    }

    /// Loses the server at once: every connection breaks, nothing more is answered.
    pub async fn lose(&self) {
        self.shared.state.lost.store(true, Ordering::Relaxed);
        let serving = self.lock_serving().take();
        if let Some(serving) = serving {
            serving.handle.stop_forceful();
            // An error would be a panic of the server's task; it is gone either way.
            let _ = serving.task.await;
        }
    }

    /// Starts the server again after [`Backend::lose`] or [`Backend::drain`]: cold, at its address.
    pub async fn restore(&self) -> Result<(), BackendError> {
        self.lose().await;
        self.shared.state.restart();
        self.shared.state.lost.store(false, Ordering::Relaxed);
        let (serving, _) = serve(&self.shared, &self.counts, self.address).await?;
        *self.lock_serving() = Some(serving);
        Ok(())
    }

    fn lock_serving(&self) -> MutexGuard<'_, Option<Serving>> {
        self.serving.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn serve(
    shared: &Arc<Shared>,
    counts: &Arc<ConnectionCounts>,
    address: SocketAddr,
) -> Result<(Serving, SocketAddr), BackendError> {
    let settings = &shared.settings;
    let bind_error = |source| BackendError::Bind {
        backend: settings.id.clone(),
        address,
        source,
    };
    let cost = Duration::from_micros(settings.connection_cost_us);
    let counts = Arc::clone(counts);
    let acceptor = LimitedAcceptor::bind(address, settings.connection_limit, cost, counts).await;
    let acceptor = acceptor.map_err(bind_error)?;
    let bound = acceptor.local_address().map_err(bind_error)?;
    let handler = AttemptHandler {
        shared: Arc::clone(shared),
    };
    let router = Router::with_path("{service}/{method}").post(handler);
    let server = Server::new(acceptor);
    let handle = server.handle();
    let task = tokio::spawn(server.serve(router));
    Ok((Serving { handle, task }, bound))
}
