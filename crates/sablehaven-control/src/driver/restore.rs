//! Restores the consensus groups of this replica from its data folder.

use std::{collections::BTreeMap, sync::Arc};

use sablehaven_consensus::{Replica, ReplicaId};
use sablehaven_storage::RestoredGroup;

use super::{
    group::Group,
    machine::{SharedStateHandle, StateMachine},
};
use crate::{Config, StartError, ledger::LedgerState};

/// Restores every group from its stored log and snapshot. A group without stored data starts empty.
pub(super) fn restore_groups(
    config: &Config,
    id: ReplicaId,
    state: &SharedStateHandle,
    mut stored: BTreeMap<u32, RestoredGroup>,
) -> Result<Vec<Group>, StartError> {
    check_group_count(config, &stored)?;
    let mut groups = Vec::new();
    for number in 0..=config.ledger_groups {
        let stored = stored.remove(&number).unwrap_or_default();
        let machine = match number {
            0 => StateMachine::Shared(Arc::clone(state)),
            _ => StateMachine::Ledger(Box::<LedgerState>::default()),
        };
        let replica = Replica::new(config.consensus(), id, stored.restored.clone());
        let group = Group::new(number, replica, machine, &stored);
        let group = group.map_err(|source| StartError::Restore {
            group: number,
            source,
        })?;
        groups.push(group);
    }
    Ok(groups)
}

/// Checks that the number of ledger groups is the stored one. The hash that assigns a key to a group depends on this
/// number: with a different one, a key would be looked up in a group that does not hold it, and could be claimed a
/// second time.
fn check_group_count(
    config: &Config,
    stored: &BTreeMap<u32, RestoredGroup>,
) -> Result<(), StartError> {
    let Some((highest, _)) = stored.last_key_value() else {
        return Ok(());
    };
    if *highest == config.ledger_groups {
        return Ok(());
    }
    Err(StartError::LedgerGroups {
        stored: *highest,
        configured: config.ledger_groups,
    })
}
