//! The task groups of an instance and the order in which they stop.

use std::time;

use log::{info, warn};
use tokio::runtime;
use tokio_util::sync;

use crate::rate;
use crate::task;

/// The end of the drain time, in which requests that are still in progress get their last answer.
const LAST_ANSWER_TIME: time::Duration = time::Duration::from_millis(250);

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
    /// Cancelled when requests in progress have to be answered as they are.
    pub(crate) last_answers: sync::CancellationToken,
}

impl TaskGroups {
    /// Creates groups whose tasks run on `runtime`.
    pub(crate) fn new(runtime: &runtime::Handle) -> Self {
        Self {
            callers: task::TaskGroup::new(runtime.clone()),
            work: task::TaskGroup::new(runtime.clone()),
            backend: task::TaskGroup::new(runtime.clone()),
            system: task::TaskGroup::new(runtime.clone()),
            last_answers: sync::CancellationToken::new(),
        }
    }

    /// Stops all tasks: requests may run for up to `drain`, and unspent tokens are returned to the leader.
    ///
    /// Requests that have no answer shortly before the end of `drain` get one that says so.
    pub(crate) async fn stop(&self, drain: time::Duration, limiter: Option<rate::RateLimiter>) {
        let draining = async {
            self.callers.stop().await;
            self.work.stop().await;
        };
        self.log_running("requests are waited for");
        let mut draining = std::pin::pin!(draining);
        let undisturbed = drain.saturating_sub(LAST_ANSWER_TIME);
        let mut drained = tokio::time::timeout(undisturbed, draining.as_mut()).await;
        if drained.is_err() {
            self.log_running("requests without an answer are ended");
            self.last_answers.cancel();
            drained = tokio::time::timeout(LAST_ANSWER_TIME, draining).await;
        }
        if drained.is_err() {
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
