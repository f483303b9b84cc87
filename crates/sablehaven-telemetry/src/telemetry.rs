//! The log ring, metrics and readiness of a role.

use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use logforth::record::{Level, LevelFilter};
use prometheus_client::{encoding::text::encode, registry::Registry};
use salvo::Router;

use crate::{
    handlers,
    ring::{LogRing, RingAppend},
};

/// Why a logger could not be installed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum TelemetryError {
    /// install the logger: another logger is already installed in this process
    LoggerInstalled,
    /// start the log writer thread: {source}
    WriterThread {
        /// The error of starting the thread.
        source: std::io::Error,
    },
}

/// The log ring, the metrics and the readiness of one role. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Telemetry {
    ring: LogRing,
    registry: Arc<Mutex<Registry>>,
    is_ready: Arc<AtomicBool>,
}

impl Telemetry {
    /// Creates the telemetry of one role. One process may have several.
    pub fn new(role: &str) -> Self {
        Self {
            ring: LogRing::new(role),
            registry: Arc::new(Mutex::new(Registry::with_prefix("sablehaven"))),
            is_ready: Arc::new(AtomicBool::new(false)),
        }
    }

    /// Installs a logger that appends this process's log records to the ring, and a panic hook that dumps the ring.
    ///
    /// # Errors
    /// Returns [`TelemetryError::LoggerInstalled`] if another logger is already installed.
    pub fn install_logger(&self) -> Result<(), TelemetryError> {
        let append = RingAppend::new(self.ring.clone());
        logforth::starter_log::builder()
            .dispatch(|dispatch| {
                dispatch
                    .filter(LevelFilter::MoreSevereEqual(Level::Info))
                    .append(append)
            })
            .try_apply()
            .map_err(|_| TelemetryError::LoggerInstalled)?;
        let ring = self.ring.clone();
        let previous = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            ring.dump("a thread panicked");
            previous(panic);
        }));
        Ok(())
    }

    /// Returns the log ring.
    pub fn ring(&self) -> &LogRing {
        &self.ring
    }

    /// Registers metrics. The prefix `sablehaven_` is added to their names.
    pub fn register(&self, add: impl FnOnce(&mut Registry)) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        add(&mut registry);
    }

    /// Encodes the metrics in the Prometheus text format.
    pub fn encode_metrics(&self) -> String {
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        // Encoding into a `String` cannot fail. If it did, the response would be empty.
        let _ = encode(&mut text, &registry);
        text
    }

    /// Sets whether the process accepts new requests, as the readiness check reports.
    pub fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Release);
    }

    /// Returns whether the process accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Acquire)
    }

    /// Returns a router that serves `/metrics`, `/health/live`, `/health/ready` and `/debug/log`.
    pub fn router(&self) -> Router {
        handlers::router(self.clone())
    }
}
