//! Playing a trace.

use std::sync;
use std::sync::atomic;
use std::time;

use super::run_state::{RunState, run_request};
use super::target_pool::TargetPool;
use super::{LoadResult, LoadSettings, LoadTrace};
use crate::host;
use crate::state_lock;
use crate::testkit_error::TestkitError;

/// Threads of a run.
const LOAD_THREADS: usize = 4;

/// Plays a trace with open-loop arrivals: a slow answer delays no other request.
#[derive(Debug)]
pub struct LoadRun {
    host: host::StandInHost,
    state: sync::Arc<RunState>,
}

impl LoadRun {
    /// Prepares a run.
    ///
    /// # Errors
    ///
    /// Fails when the runtime cannot be had.
    pub fn new(settings: LoadSettings) -> Result<Self, TestkitError> {
        let host = host::StandInHost::start("load", LOAD_THREADS)?;
        let pool = TargetPool::new(
            host.scope(),
            &settings.targets,
            &settings.straight_engines,
            &settings.straight_services,
        );
        let state = RunState {
            pool,
            settings,
            straight_turns: atomic::AtomicUsize::new(0),
            results: state_lock::StateLock::default(),
            worst_send_lag_us: atomic::AtomicU64::new(0),
        };
        Ok(Self {
            host,
            state: sync::Arc::new(state),
        })
    }

    /// Plays the trace to its end and waits for all answers.
    #[must_use]
    pub fn play(self, trace: &LoadTrace) -> LoadResult {
        let start = time::Instant::now();
        let state = sync::Arc::clone(&self.state);
        let tasks = self.host.block_on(send_all(state, start, trace));
        for task in tasks {
            // A panicked task is counted as missing from the sent requests.
            let _ = self.host.block_on(task);
        }
        self.finish(start.elapsed())
    }

    fn finish(self, duration: time::Duration) -> LoadResult {
        let duration_us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        let results = std::mem::take(&mut *self.state.results.lock());
        let routes = results.routes();
        let all = routes.iter().filter(|result| result.team.is_empty());
        let (sent, tokens) = all.fold((0, 0), |(sent, tokens), result| {
            (sent + result.sent, tokens + result.tokens)
        });
        LoadResult {
            label: self.state.settings.label.clone(),
            duration_us,
            requests_per_second: per_second(sent, duration_us),
            tokens_per_second: per_second(tokens, duration_us),
            worst_send_lag_us: self.state.worst_send_lag_us.load(atomic::Ordering::Relaxed),
            seconds: results.seconds(),
            routes,
        }
    }
}

/// Starts each request at its time.
async fn send_all(
    state: sync::Arc<RunState>,
    start: time::Instant,
    trace: &LoadTrace,
) -> Vec<tokio::task::JoinHandle<()>> {
    let mut tasks = Vec::with_capacity(trace.requests().len());
    for request in trace.requests() {
        let offset = time::Duration::from_micros(request.at_us).div_f64(state.settings.speed);
        let due = start + offset;
        tokio::time::sleep_until(due.into()).await;
        let lag = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
        state
            .worst_send_lag_us
            .fetch_max(lag, atomic::Ordering::Relaxed);
        let task = run_request(sync::Arc::clone(&state), request.clone(), due);
        tasks.push(tokio::spawn(task));
    }
    tasks
}

/// Returns the whole count a second.
fn per_second(count: u64, duration_us: u64) -> u64 {
    count.saturating_mul(1_000_000) / duration_us.max(1)
}
