//! Tasks of one owner.

use std::future;

use tokio::runtime;
use tokio_util::sync;
use tokio_util::task;

/// Tasks of one owner, which are asked to end and then joined together.
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

    /// Spawns a task that ends by itself once its work is done.
    pub(crate) fn spawn<Work>(&self, work: Work)
    where
        Work: future::Future<Output = ()> + Send + 'static,
    {
        self.tracker.spawn_on(work, &self.runtime);
    }

    /// Spawns a task that is dropped at its next wait once the group stops.
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

    /// Returns the token that tells tasks of the stop.
    pub(crate) fn token(&self) -> &sync::CancellationToken {
        &self.token
    }

    /// Returns how many tasks have not ended.
    pub(crate) fn running(&self) -> usize {
        self.tracker.len()
    }

    /// Asks the tasks to end, without waiting for them.
    pub(crate) fn cancel(&self) {
        self.token.cancel();
        self.tracker.close();
    }

    /// Asks the tasks to end and waits until each has.
    pub(crate) async fn stop(&self) {
        self.cancel();
        self.tracker.wait().await;
    }
}
