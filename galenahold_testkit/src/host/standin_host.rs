//! The runtime of one stand-in.

use std::time;

use snafu::ResultExt;
use tokio::runtime;

use super::TaskScope;
use crate::testkit_error::{RuntimeSnafu, TestkitError};

/// Time that blocked tasks get when a host is dropped.
const SHUTDOWN_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Owns a runtime and the scope of its tasks, and ends both on drop.
#[derive(Debug)]
pub(crate) struct StandInHost {
    runtime: Option<runtime::Runtime>,
    scope: TaskScope,
}

impl StandInHost {
    /// Starts a runtime with `threads` workers.
    pub(crate) fn start(name: &str, threads: usize) -> Result<Self, TestkitError> {
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(threads)
            .thread_name(name)
            .enable_all()
            .build()
            .context(RuntimeSnafu)?;
        let scope = TaskScope::new(runtime.handle().clone());
        Ok(Self {
            runtime: Some(runtime),
            scope,
        })
    }

    /// Returns the scope of the host's tasks.
    pub(crate) fn scope(&self) -> &TaskScope {
        &self.scope
    }

    /// Runs a future to its end.
    ///
    /// # Panics
    ///
    /// Panics after the host was dropped, which its owner cannot see.
    pub(crate) fn block_on<F: std::future::Future>(&self, future: F) -> F::Output {
        let runtime = self
            .runtime
            .as_ref()
            .expect("the runtime lives until the drop");
        runtime.block_on(future)
    }

    /// Blocks until the scope is cancelled.
    pub(crate) fn wait_cancelled(&self) {
        self.block_on(self.scope.cancelled());
    }

    /// Replaces a cancelled scope by a new one, once its tasks are gone.
    pub(crate) fn renew(&mut self) {
        self.scope.cancel();
        self.block_on(self.scope.wait());
        self.scope = self.scope.renewed();
    }
}

impl Drop for StandInHost {
    fn drop(&mut self) {
        self.scope.cancel();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(SHUTDOWN_LIMIT);
        }
    }
}
