//! The routes as a deterministic state machine: the highest version wins.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use sablehaven_types::RouteDocument;
use serde::{Deserialize, Serialize};

mod service;

pub use service::{RoutesCallError, RoutesService};

/// An operator's whole set of routes.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct PutRoutes {
    /// The routes; valid by themselves.
    pub document: Arc<RouteDocument>,
    /// The operator's own text, given back unchanged when it is read.
    pub source: Bytes,
}

impl fmt::Debug for PutRoutes {
    /// The operator's text holds the tenants' keys, so only its length is shown.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut fields = formatter.debug_struct("PutRoutes");
        fields.field("document", &self.document);
        fields.field("source_bytes", &self.source.len());
        fields.finish()
    }
}

/// The routes in force.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RoutesState {
    held: Option<PutRoutes>,
}

impl RoutesState {
    /// The document of the routes in force; `None` before the first.
    pub fn document(&self) -> Option<Arc<RouteDocument>> {
        let held = self.held.as_ref()?;
        Some(Arc::clone(&held.document))
    }

    /// The routes in force; `None` before the first.
    pub fn current(&self) -> Option<&PutRoutes> {
        self.held.as_ref()
    }

    /// The version in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.held.as_ref().map_or(0, |held| held.document.version)
    }

    /// Applies a committed command. A version that is not above the held one changes nothing, other
    /// content under the held version neither: a resend and an older change are no news.
    pub fn apply(&mut self, put: PutRoutes) -> bool {
        let is_newer = self.held.is_none() || put.document.version > self.version();
        if is_newer {
            self.held = Some(put);
        }
        is_newer
    }
}

#[cfg(test)]
mod tests;
