//! Tasks that end together.

use std::future;

use tokio::runtime;
use tokio_util::{sync, task};

/// Spawns tasks that are all dropped at its cancellation and can be waited for.
#[derive(Debug, Clone)]
pub(crate) struct TaskScope {
    handle: runtime::Handle,
    token: sync::CancellationToken,
    tracker: task::TaskTracker,
}

impl TaskScope {
    /// Makes a scope on a runtime.
    pub(crate) fn new(handle: runtime::Handle) -> Self {
        Self {
            handle,
            token: sync::CancellationToken::new(),
            tracker: task::TaskTracker::new(),
        }
    }

    /// Makes a fresh scope on the same runtime.
    pub(crate) fn renewed(&self) -> Self {
        Self::new(self.handle.clone())
    }

    /// Spawns a task that is dropped when the scope is cancelled.
    pub(crate) fn spawn<F>(&self, future: F)
    where
        F: future::Future<Output = ()> + Send + 'static,
    {
        let token = self.token.clone();
        let task = async move {
            let _ = token.run_until_cancelled_owned(future).await;
        };
        self.tracker.spawn_on(task, &self.handle);
    }

    /// Runs `work` inside the runtime's context.
    pub(crate) fn enter<T>(&self, work: impl FnOnce() -> T) -> T {
        let _guard = self.handle.enter();
        work()
    }

    /// Drops all tasks at their next await.
    pub(crate) fn cancel(&self) {
        self.token.cancel();
    }

    /// Tells whether the scope was cancelled.
    pub(crate) fn is_cancelled(&self) -> bool {
        self.token.is_cancelled()
    }

    /// Waits until the scope is cancelled.
    pub(crate) async fn cancelled(&self) {
        self.token.cancelled().await;
    }

    /// Waits until all tasks are gone.
    pub(crate) async fn wait(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }
}
