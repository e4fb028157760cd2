//! Finds out which calls may have crashed a backend server.

use std::collections;
use std::sync;
use std::time;

use galenahold_domain::crash as domain;
use galenahold_routing::crash;
use log::{info, warn};
use tokio::sync as tokio_sync;

use crate::backend;
use crate::crash::broken_call;
use crate::task;

/// How long broken calls of one server are collected before the server is probed: a crash breaks all
/// connections at about the same time.
const COLLECTION_TIME: time::Duration = time::Duration::from_millis(10);

/// When a server that still accepted connections is probed again: one that ends slowly closes its listening
/// socket after its connections.
const LATER_PROBES: [time::Duration; 3] = [
    time::Duration::from_millis(40),
    time::Duration::from_millis(200),
    time::Duration::from_millis(750),
];

/// The maximum number of broken calls of one server that are collected.
const MAX_BROKEN: usize = 256;

/// How long a suspect waits before it is sent, so that its latest crash is known here: longer than a crash
/// needs to be reported and listed.
const SUSPECT_DELAY: time::Duration = time::Duration::from_millis(500);

/// The maximum number of reports that wait to be sent.
const MAX_REPORTS: usize = 64;

/// Refuses blocked calls, and collects the calls whose server broke off before it had answered them.
#[derive(Debug, Clone)]
pub(crate) struct CrashMonitor {
    guard: sync::Arc<sync::Mutex<crash::PromptGuard>>,
    /// The latest list of suspects that came with the configuration.
    lists: tokio_sync::watch::Receiver<sync::Arc<domain::SuspectList>>,
    breaks: sync::Arc<sync::Mutex<collections::HashMap<backend::BackendAddress, BrokenCalls>>>,
    backend: backend::BackendClient,
    tasks: task::TaskGroup,
    reports: tokio_sync::mpsc::Sender<domain::CrashReport>,
    /// Notified of each new list of suspects.
    list_changes: sync::Arc<tokio_sync::watch::Sender<()>>,
    /// Notified when there may be harmless suspects to report.
    harmless_notify: sync::Arc<tokio_sync::Notify>,
}

/// The calls whose connections to one server broke, until it is known whether the server crashed.
#[derive(Debug, Default)]
struct BrokenCalls {
    calls: Vec<domain::SuspectCall>,
    /// `None` until the server was probed for the first time.
    has_crashed: tokio_sync::watch::Sender<Option<bool>>,
}

/// How much of the answer to a call had arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerProgress {
    /// Nothing.
    None,
    /// The head, or a part of an answer that is not streamed.
    Head,
    /// Events of a stream.
    Begun,
}

impl CrashMonitor {
    /// Creates a monitor that follows `lists` and probes servers through `backend`, and the receiver of
    /// its reports.
    pub(crate) fn new(
        lists: tokio_sync::watch::Receiver<sync::Arc<domain::SuspectList>>,
        backend: backend::BackendClient,
        tasks: task::TaskGroup,
    ) -> (Self, tokio_sync::mpsc::Receiver<domain::CrashReport>) {
        let (reports, receiver) = tokio_sync::mpsc::channel(MAX_REPORTS);
        let monitor = Self {
            guard: sync::Arc::default(),
            lists,
            breaks: sync::Arc::default(),
            backend,
            tasks,
            reports,
            list_changes: sync::Arc::default(),
            harmless_notify: sync::Arc::default(),
        };
        (monitor, receiver)
    }

    /// Returns the refusal of a call, or `None` if it may be sent.
    pub(crate) fn check(&self, call: &crash::CallKeys) -> Option<crash::PromptRefusal> {
        self.lock().check(call.all(), time::Instant::now())
    }

    /// Returns the place of a call among the suspects that are kept apart, or `None` if it is none.
    pub(crate) fn suspect_place(&self, call: &crash::CallKeys) -> Option<usize> {
        self.lock().suspect_place(call.request())
    }

    /// Waits until it is known here whether a suspect was at yet another crash; returns at once for any
    /// other call.
    pub(crate) async fn delay_suspect(&self, call: &crash::CallKeys) {
        if self.suspect_place(call).is_some() {
            // A block ends the wait early.
            let _ = tokio::time::timeout(SUSPECT_DELAY, self.wait_until_blocked(call)).await;
        }
    }

    /// Waits until a call is blocked.
    pub(crate) async fn wait_until_blocked(&self, call: &crash::CallKeys) -> crash::PromptRefusal {
        let mut changes = self.list_changes.subscribe();
        loop {
            if let Some(refusal) = self.check(call) {
                return refusal;
            }
            if changes.changed().await.is_err() {
                // The sender lives as long as this monitor.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Records that the answer to a call began.
    pub(crate) fn record_start(&self, call: &crash::CallKeys) {
        if self.lock().record_start(call.parts(), time::Instant::now()) {
            self.harmless_notify.notify_one();
        }
    }

    /// Records that the answer to a call was completed.
    pub(crate) fn record_end(&self, call: &crash::CallKeys) {
        if self.lock().record_end(call.request()) {
            self.harmless_notify.notify_one();
        }
    }

    /// Records that the connection of a call that was sent at `sent_at` broke before its answer was
    /// complete.
    pub(crate) fn record_break(
        &self,
        address: &backend::BackendAddress,
        call: &crash::CallKeys,
        progress: AnswerProgress,
        sent_at: time::Instant,
    ) -> broken_call::BrokenCall {
        let keys = match progress {
            AnswerProgress::Begun => &call.all()[call.parts().len()..],
            AnswerProgress::Head | AnswerProgress::None => call.all(),
        };
        let (keys, was_suspect) = {
            let guard = self.lock();
            let was_suspect = guard.is_suspect(keys);
            (guard.suspects_of(keys, time::Instant::now()), was_suspect)
        };
        let age = u64::try_from(sent_at.elapsed().as_millis());
        let has_crashed = self.add_broken(
            address,
            domain::SuspectCall {
                keys,
                answering: progress == AnswerProgress::Head,
                age_ms: age.ok(),
            },
        );
        broken_call::BrokenCall::new(was_suspect, has_crashed)
    }

    /// Applies each new list of suspects.
    pub(super) async fn follow_lists(&self) {
        let mut lists = self.lists.clone();
        while lists.changed().await.is_ok() {
            // Locking applies the latest list.
            drop(self.lock());
            self.list_changes.send_replace(());
            self.harmless_notify.notify_one();
        }
    }

    /// Waits until there may be harmless suspects to report.
    pub(super) async fn wait_for_harmless(&self) {
        self.harmless_notify.notified().await;
    }

    /// Returns the suspects that proved harmless at this instance.
    pub(super) fn harmless(&self) -> Vec<domain::PromptKey> {
        self.lock().harmless()
    }

    /// Returns whether anything that this instance can vouch for is blocked.
    pub(super) fn blocks_harmless(&self) -> bool {
        self.lock().blocks_harmless()
    }

    fn add_broken(
        &self,
        address: &backend::BackendAddress,
        call: domain::SuspectCall,
    ) -> tokio_sync::watch::Receiver<Option<bool>> {
        let mut breaks = self.lock_breaks();
        let is_first = !breaks.contains_key(address);
        let broken = breaks.entry(address.clone()).or_default();
        if broken.calls.len() < MAX_BROKEN {
            broken.calls.push(call);
        }
        let receiver = broken.has_crashed.subscribe();
        drop(breaks);
        if is_first {
            let monitor = self.clone();
            let address = address.clone();
            self.tasks
                .spawn_until_stop(async move { monitor.probe(&address).await });
        }
        receiver
    }

    /// Finds out whether a server crashed, and reports it with the calls that broke there.
    async fn probe(&self, address: &backend::BackendAddress) {
        tokio::time::sleep(COLLECTION_TIME).await;
        let mut has_crashed = !self.backend.accepts_connections(address).await;
        for delay in LATER_PROBES {
            if has_crashed {
                break;
            }
            if let Some(broken) = self.lock_breaks().get(address) {
                broken.has_crashed.send_replace(Some(false));
            }
            tokio::time::sleep(delay).await;
            has_crashed = !self.backend.accepts_connections(address).await;
        }
        let Some(broken) = self.lock_breaks().remove(address) else {
            return;
        };
        broken.has_crashed.send_replace(Some(has_crashed));
        if !has_crashed {
            return;
        }
        info!(
            server:% = address.server,
            started_ms = address.incarnation.0,
            calls = broken.calls.len();
            "backend server crashed while it answered requests"
        );
        let report = domain::CrashReport {
            server: address.server.clone(),
            started_ms: address.incarnation.0,
            calls: broken.calls,
        };
        if self.reports.try_send(report).is_err() {
            warn!(server:% = address.server; "crash of a backend server is not reported: too many reports wait");
        }
    }

    /// Locks the guard and applies the latest list to it.
    fn lock(&self) -> sync::MutexGuard<'_, crash::PromptGuard> {
        let mut guard = self
            .guard
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let list = sync::Arc::clone(&self.lists.borrow());
        if guard.version() != list.version {
            let added = guard.apply_list(domain::SuspectList::clone(&list), time::Instant::now());
            for prompt in added {
                if prompt.is_request() {
                    info!(request_key:% = prompt, version = list.version; "this request is refused");
                } else {
                    info!(parts:% = prompt, version = list.version; "requests with this prompt are refused");
                }
            }
        }
        guard
    }

    fn lock_breaks(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<backend::BackendAddress, BrokenCalls>> {
        self.breaks
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
