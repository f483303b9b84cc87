//! A set of tasks that are ended and waited for together.

use std::time::Duration;

use tokio::time::timeout;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// A set of tasks that are ended and waited for together; cheap to clone.
#[derive(Clone, Debug, Default)]
pub(super) struct TaskGroup {
    tracker: TaskTracker,
    stop: CancellationToken,
}

impl TaskGroup {
    /// Runs a task until it ends or the set is ended.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        self.tracker.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = task => {}
            }
        });
    }

    /// Waits until all tasks have ended by themselves; those that have not within the limit are
    /// ended.
    pub(super) async fn drain(&self, limit: Duration) {
        self.tracker.close();
        if timeout(limit, self.tracker.wait()).await.is_err() {
            log::warn!(
                "stop: {} connections had not ended in time",
                self.tracker.len()
            );
        }
        self.cancel().await;
    }

    /// Ends all tasks and waits for them.
    pub(super) async fn cancel(&self) {
        self.tracker.close();
        self.stop.cancel();
        self.tracker.wait().await;
    }
}
