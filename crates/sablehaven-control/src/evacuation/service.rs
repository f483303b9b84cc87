//! Operators' calls that evacuate a zone and end that.

use std::sync::Arc;

use sablehaven_types::ZoneName;

use super::EvacuationCommand;
use crate::{
    quorum_call::{QuorumCallError, propose_as_leader},
    server::Context,
    shared::SharedCommand,
};

/// Why an order about a zone was not taken.
#[derive(Clone, Debug, PartialEq, displaydoc::Display, thiserror::Error)]
pub enum EvacuationError {
    /// evacuate zone '{zone}': no zone has this name
    UnknownZone {
        /// The zone.
        zone: ZoneName,
    },
    /// evacuate zone: {0}
    Quorum(#[from] QuorumCallError),
}

/// Takes operators' orders about zones; cheap to clone.
#[derive(Clone)]
pub struct EvacuationService {
    context: Arc<Context>,
}

impl EvacuationService {
    pub(crate) fn new(context: Arc<Context>) -> Self {
        Self { context }
    }

    /// Orders that the servers of a zone get nothing new.
    ///
    /// # Errors
    /// See [`EvacuationError`]. After [`QuorumCallError::Unavailable`] the order may or may not take
    /// effect; send it again, to any replica.
    pub async fn start(&self, zone: ZoneName) -> Result<(), EvacuationError> {
        self.order(zone, true).await
    }

    /// Takes an evacuation back.
    ///
    /// # Errors
    /// As for [`Self::start`].
    pub async fn end(&self, zone: ZoneName) -> Result<(), EvacuationError> {
        self.order(zone, false).await
    }

    /// Each order goes through the log, also one that seems to hold already: a replica that is behind does
    /// not know of an order that came after it.
    async fn order(&self, zone: ZoneName, is_evacuated: bool) -> Result<(), EvacuationError> {
        let zones = &self.context.config.zones;
        if !zones.is_empty() && !zones.contains(&zone) {
            return Err(EvacuationError::UnknownZone { zone });
        }
        log::info!(event = "evacuation", zone:% = zone, starts = is_evacuated; "order about a zone");
        let order = EvacuationCommand { zone, is_evacuated };
        propose_as_leader(&self.context, SharedCommand::Evacuation(order)).await?;
        Ok(())
    }
}
