//! What a process shows of itself.

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

/// Errors of setting up telemetry.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum TelemetryError {
    /// install the log ring: another logger is installed in this process
    LoggerInstalled,
    /// start log writer: {source}
    WriterThread {
        /// The cause.
        source: std::io::Error,
    },
}

/// The log ring, the metrics and the readiness of one role; cheap to clone.
#[derive(Clone, Debug)]
pub struct Telemetry {
    ring: LogRing,
    registry: Arc<Mutex<Registry>>,
    ready: Arc<AtomicBool>,
}

impl Telemetry {
    /// Telemetry of one role; several may stand in one process.
    pub fn new(role: &str) -> Self {
        Self {
            ring: LogRing::new(role),
            registry: Arc::new(Mutex::new(Registry::with_prefix("sablehaven"))),
            ready: Arc::new(AtomicBool::new(false)),
        }
    }

    /// Sends this process's log records to the ring, and writes the ring out on a panic.
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

    /// The log ring.
    pub fn ring(&self) -> &LogRing {
        &self.ring
    }

    /// Registers metrics; names get the prefix `sablehaven_`.
    pub fn register(&self, add: impl FnOnce(&mut Registry)) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        add(&mut registry);
    }

    /// The metrics in Prometheus text.
    pub fn encode_metrics(&self) -> String {
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        // Encoding into a `String` cannot fail; an empty page would show if it did.
        let _ = encode(&mut text, &registry);
        text
    }

    /// Says whether the process takes new work.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Whether the process takes new work.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Routes `/metrics`, `/health/live`, `/health/ready` and `/debug/log`.
    pub fn router(&self) -> Router {
        handlers::router(self.clone())
    }
}
