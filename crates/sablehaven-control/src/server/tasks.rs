//! A group of tasks that are cancelled and awaited together.

use std::time::Duration;

use tokio::time::timeout;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// A group of tasks that are cancelled and awaited together; cheap to clone.
#[derive(Clone, Debug, Default)]
pub(super) struct TaskGroup {
    tracker: TaskTracker,
    stop: CancellationToken,
}

impl TaskGroup {
    /// Runs a task until it ends or the group is cancelled.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        self.tracker.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = task => {}
            }
        });
    }

    /// Waits until all tasks have ended. Those that are still running after `limit` are cancelled.
    pub(super) async fn drain(&self, limit: Duration) {
        self.tracker.close();
        if timeout(limit, self.tracker.wait()).await.is_err() {
            log::warn!(
                "stop: cancelling {} connections that did not end in time",
                self.tracker.len()
            );
        }
        self.cancel().await;
    }

    /// Cancels all tasks and waits until they have ended.
    pub(super) async fn cancel(&self) {
        self.tracker.close();
        self.stop.cancel();
        self.tracker.wait().await;
    }
}
