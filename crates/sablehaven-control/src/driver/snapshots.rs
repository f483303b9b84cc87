//! Schedules snapshots of the state machines and writes them to the disk.

use std::time::{Duration, Instant};

use sablehaven_consensus::SnapshotMetadata;
use sablehaven_storage::{PreparedSnapshot, StorageError};

use super::{
    group::Group,
    input::Input,
    run::{Driver, Failure},
    storage_thread::StorageJob,
};

/// The delay before the next snapshot after one could not be written. A full disk rarely has space again at once, and
/// each attempt costs the encoding of the whole state.
const SNAPSHOT_RETRY_DELAY: Duration = Duration::from_secs(10);

impl Driver {
    /// Starts the snapshots that are due. The state is encoded on this task, but written by another thread, so that the
    /// driver continues to process log entries during the write.
    pub(super) fn start_due_snapshots(&mut self) -> Result<(), Failure> {
        for index in 0..self.groups.len() {
            if self.is_snapshot_due(&self.groups[index]) {
                self.start_snapshot(index)?;
            }
        }
        Ok(())
    }

    /// Whether a snapshot of a group is due, unless one is being written or the last one failed too recently.
    fn is_snapshot_due(&self, group: &Group) -> bool {
        let schedule = &group.snapshots;
        let entries = group.applied.saturating_sub(schedule.index);
        let is_due = entries >= self.config.snapshot_entries
            || schedule.command_bytes >= self.config.snapshot_bytes
            || schedule.is_requested;
        let failed_at = schedule.failed_at;
        let is_retry_delayed = failed_at.is_some_and(|at| at.elapsed() < SNAPSHOT_RETRY_DELAY);
        is_due && entries > 0 && !schedule.is_running && !is_retry_delayed
    }

    /// Takes a snapshot of a group and starts writing it.
    fn start_snapshot(&mut self, index: usize) -> Result<(), Failure> {
        let group = &mut self.groups[index];
        let snapshot = group.take_snapshot();
        let snapshot = snapshot.map_err(|error| format!("take snapshot: {error}"))?;
        let Some(snapshot) = snapshot else {
            return Ok(());
        };
        group.snapshots.is_running = true;
        group.snapshots.command_bytes = 0;
        let number = group.number;
        let writer = self.snapshot_writer.clone();
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let metadata = snapshot.metadata.clone();
            let written =
                tokio::task::spawn_blocking(move || writer.write(number, &snapshot)).await;
            let Ok(result) = written else {
                log::error!("write snapshot of group {number}: the task panicked");
                return;
            };
            let input = Input::SnapshotPrepared {
                group: number,
                metadata,
                result,
            };
            // Fails only if the driver has ended, which then needs no snapshot.
            handle.send(input).await;
        });
        Ok(())
    }

    /// Submits a written snapshot to the storage thread, which puts it into force and compacts the log. After a failed
    /// write, the log stays as it is and a later tick takes another snapshot.
    pub(super) fn handle_prepared_snapshot(
        &mut self,
        group: u32,
        metadata: SnapshotMetadata,
        result: Result<PreparedSnapshot, StorageError>,
    ) {
        match result {
            Ok(prepared) => self.submit(StorageJob::Compact {
                group,
                metadata,
                prepared,
            }),
            Err(error) => {
                log::error!("write snapshot of group {group}: {error}");
                let schedule = &mut self.groups[group as usize].snapshots;
                schedule.is_running = false;
                schedule.failed_at = Some(Instant::now());
            }
        }
    }
}
