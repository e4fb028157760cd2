//! Spawns tasks that are stopped and joined together.

use std::future;

use tokio::runtime;
use tokio_util::sync;
use tokio_util::task;

/// A group of tasks with one owner, which are cancelled and joined together.
#[derive(Debug, Clone)]
pub(crate) struct TaskGroup {
    runtime: runtime::Handle,
    tracker: task::TaskTracker,
    token: sync::CancellationToken,
}

impl TaskGroup {
    /// Creates a group whose tasks run on `runtime`.
    pub(crate) fn new(runtime: runtime::Handle) -> Self {
        Self {
            runtime,
            tracker: task::TaskTracker::new(),
            token: sync::CancellationToken::new(),
        }
    }

    /// Spawns a task that runs to completion; cancelling the group does not interrupt it.
    pub(crate) fn spawn<Work>(&self, work: Work)
    where
        Work: future::Future<Output = ()> + Send + 'static,
    {
        self.tracker.spawn_on(work, &self.runtime);
    }

    /// Spawns a task that is dropped at its next await point once the group is cancelled.
    pub(crate) fn spawn_until_stop<Work>(&self, work: Work)
    where
        Work: future::Future<Output = ()> + Send + 'static,
    {
        let token = self.token.clone();
        let bounded = async move {
            token.run_until_cancelled(work).await;
        };
        self.tracker.spawn_on(bounded, &self.runtime);
    }

    /// Returns the cancellation token of the group.
    pub(crate) fn token(&self) -> &sync::CancellationToken {
        &self.token
    }

    /// Returns the number of running tasks.
    pub(crate) fn running(&self) -> usize {
        self.tracker.len()
    }

    /// Cancels the group without waiting for its tasks.
    pub(crate) fn cancel(&self) {
        self.token.cancel();
        self.tracker.close();
    }

    /// Cancels the group and waits until all its tasks have ended.
    pub(crate) async fn stop(&self) {
        self.cancel();
        self.tracker.wait().await;
    }
}
