//! Operators' calls that start and end the evacuation of a zone.

use std::sync::Arc;

use sablehaven_types::ZoneName;

use super::EvacuationCommand;
use crate::{
    quorum_call::{QuorumCallError, propose_as_leader},
    server::Context,
    shared::SharedCommand,
};

/// Why a call to start or end an evacuation failed.
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

/// Starts and ends evacuations of zones for operators. Cheap to clone.
#[derive(Clone)]
pub struct EvacuationService {
    context: Arc<Context>,
}

impl EvacuationService {
    pub(crate) fn new(context: Arc<Context>) -> Self {
        Self { context }
    }

    /// Starts the evacuation of a zone: its servers get no new requests.
    ///
    /// # Errors
    /// See [`EvacuationError`]. After [`QuorumCallError::Unavailable`] the command may or may not take effect; the caller
    /// should send it again, to any replica.
    pub async fn start(&self, zone: ZoneName) -> Result<(), EvacuationError> {
        self.propose(zone, true).await
    }

    /// Ends the evacuation of a zone.
    ///
    /// # Errors
    /// As for [`Self::start`].
    pub async fn end(&self, zone: ZoneName) -> Result<(), EvacuationError> {
        self.propose(zone, false).await
    }

    /// Proposes every command, even one that describes the state that this replica has applied: the replica may be behind
    /// and not know of a later command that reversed it.
    async fn propose(&self, zone: ZoneName, is_evacuated: bool) -> Result<(), EvacuationError> {
        let zones = &self.context.config.zones;
        if !zones.is_empty() && !zones.contains(&zone) {
            return Err(EvacuationError::UnknownZone { zone });
        }
        log::info!(event = "evacuation", zone:% = zone, starts = is_evacuated; "zone evacuation command received");
        let command = EvacuationCommand { zone, is_evacuated };
        propose_as_leader(&self.context, SharedCommand::Evacuation(command)).await?;
        Ok(())
    }
}
