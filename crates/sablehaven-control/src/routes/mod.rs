//! The routes as a deterministic state machine, in which the highest version wins.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use sablehaven_types::RouteDocument;
use serde::{Deserialize, Serialize};

mod service;

pub use service::{RoutesCallError, RoutesService};

/// A complete set of routes from an operator.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct PutRoutes {
    /// The routes; already validated.
    pub document: Arc<RouteDocument>,
    /// The text that the operator sent, returned unchanged to readers.
    pub source: Bytes,
}

impl fmt::Debug for PutRoutes {
    /// Shows only the length of the operator's text, because the text contains the tenants' keys.
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
    #[serde(rename = "held")]
    current: Option<PutRoutes>,
}

impl RoutesState {
    /// The document of the routes in force; `None` before the first.
    pub fn document(&self) -> Option<Arc<RouteDocument>> {
        let current = self.current.as_ref()?;
        Some(Arc::clone(&current.document))
    }

    /// The routes in force; `None` before the first.
    pub fn current(&self) -> Option<&PutRoutes> {
        self.current.as_ref()
    }

    /// The version in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.current
            .as_ref()
            .map_or(0, |current| current.document.version)
    }

    /// Applies a committed command and returns whether the routes changed. They change only if the new version is higher
    /// than the current one: a resent or outdated command has no effect, nor does different content with the current
    /// version.
    pub fn apply(&mut self, put: PutRoutes) -> bool {
        let is_newer = self.current.is_none() || put.document.version > self.version();
        if is_newer {
            self.current = Some(put);
        }
        is_newer
    }
}

#[cfg(test)]
mod tests;
