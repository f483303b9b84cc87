//! The thread that writes to the storage and syncs it, one job at a time and in order.

use std::{sync::mpsc as std_mpsc, thread::JoinHandle};

use sablehaven_consensus::SnapshotMetadata;
use sablehaven_storage::{GroupWrite, PreparedSnapshot, Storage, StorageCounters, StorageError};
use tokio::sync::mpsc;

/// A job for the storage thread.
pub(crate) enum StorageJob {
    /// Writes and syncs one batch.
    Write(Vec<GroupWrite>),
    /// Puts a prepared snapshot into force and deletes the log entries that it covers.
    Compact {
        group: u32,
        metadata: SnapshotMetadata,
        prepared: PreparedSnapshot,
    },
}

/// A finished job.
pub(crate) struct StorageCompletion {
    pub(crate) result: Result<CompletedJob, StorageError>,
    pub(crate) counters: StorageCounters,
    /// Groups whose entries prevent the deletion of old log segments.
    pub(crate) groups_to_compact: Vec<u32>,
}

/// What a finished job has done.
pub(crate) enum CompletedJob {
    Written,
    Compacted {
        group: u32,
        metadata: SnapshotMetadata,
    },
}

/// The handle of the storage thread.
pub(crate) struct StorageThread {
    jobs: std_mpsc::Sender<StorageJob>,
    thread: JoinHandle<()>,
}

impl StorageThread {
    /// Starts the thread; finished jobs go to the returned receiver.
    pub(crate) fn start(
        storage: Storage,
    ) -> std::io::Result<(Self, mpsc::UnboundedReceiver<StorageCompletion>)> {
        let (jobs, queue) = std_mpsc::channel();
        let (completions, receiver) = mpsc::unbounded_channel();
        let thread = std::thread::Builder::new()
            .name("storage".to_owned())
            .spawn(move || run(storage, &queue, &completions))?;
        Ok((Self { jobs, thread }, receiver))
    }

    /// Queues a job. If the thread has ended, the job is dropped and no completion is sent.
    pub(crate) fn submit(&self, job: StorageJob) {
        let _ = self.jobs.send(job);
    }

    /// Waits until the queued jobs are finished and the data folder is closed.
    pub(crate) async fn stop(self) {
        drop(self.jobs);
        let thread = self.thread;
        let joined = tokio::task::spawn_blocking(move || thread.join()).await;
        if !matches!(joined, Ok(Ok(()))) {
            log::error!("stop storage: the storage thread panicked");
        }
    }
}

/// Runs the jobs until the queue is closed or nobody receives the completions.
fn run(
    mut storage: Storage,
    queue: &std_mpsc::Receiver<StorageJob>,
    completions: &mpsc::UnboundedSender<StorageCompletion>,
) {
    while let Ok(job) = queue.recv() {
        let result = run_job(&mut storage, job);
        let completion = StorageCompletion {
            result,
            counters: storage.counters(),
            groups_to_compact: storage.groups_to_compact(),
        };
        if completions.send(completion).is_err() {
            return;
        }
    }
}

fn run_job(storage: &mut Storage, job: StorageJob) -> Result<CompletedJob, StorageError> {
    match job {
        StorageJob::Write(batch) => storage.write(&batch).map(|()| CompletedJob::Written),
        StorageJob::Compact {
            group,
            metadata,
            prepared,
        } => {
            storage.compact_to(prepared)?;
            Ok(CompletedJob::Compacted { group, metadata })
        }
    }
}
