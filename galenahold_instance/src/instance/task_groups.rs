//! The task groups of an instance and the order in which they stop.

use std::time;

use log::{info, warn};
use tokio::runtime;

use crate::rate;
use crate::task;

/// The task groups of an instance, in the order in which they stop.
#[derive(Debug)]
pub(crate) struct TaskGroups {
    /// Connections of callers.
    pub(crate) callers: task::TaskGroup,
    /// Response streams and orders in progress.
    pub(crate) work: task::TaskGroup,
    /// Connections to backend servers.
    pub(crate) backend: task::TaskGroup,
    /// All other tasks.
    pub(crate) system: task::TaskGroup,
}

impl TaskGroups {
    /// Creates groups whose tasks run on `runtime`.
    pub(crate) fn new(runtime: &runtime::Handle) -> Self {
        Self {
            callers: task::TaskGroup::new(runtime.clone()),
            work: task::TaskGroup::new(runtime.clone()),
            backend: task::TaskGroup::new(runtime.clone()),
            system: task::TaskGroup::new(runtime.clone()),
        }
    }

    /// Stops all tasks: requests may run for up to `drain`, and unspent tokens are returned to the leader.
    pub(crate) async fn stop(&self, drain: time::Duration, limiter: Option<rate::RateLimiter>) {
        let draining = async {
            self.callers.stop().await;
            self.work.stop().await;
        };
        self.log_running("requests are waited for");
        if tokio::time::timeout(drain, draining).await.is_err() {
            warn!(
                connections = self.callers.running(),
                streams = self.work.running(),
                drain_ms = u64::try_from(drain.as_millis()).unwrap_or(u64::MAX);
                "requests were still running at the end of the drain time"
            );
        }
        if let Some(limiter) = limiter {
            self.log_running("tokens are given back");
            limiter.retire().await;
        }
        self.log_running("other tasks are ended");
        self.backend.stop().await;
        self.system.stop().await;
    }

    /// Logs a step of the stop with the number of tasks still running.
    fn log_running(&self, step: &str) {
        info!(
            step = step,
            connections = self.callers.running(),
            streams = self.work.running(),
            server_connections = self.backend.running(),
            others = self.system.running();
            "instance is being stopped"
        );
    }
}
