//! Member state that other threads can read without a request to the log thread.

use std::sync;
use std::sync::atomic;
use std::time;

use crate::core;
use crate::driver;

/// The lease, status and role that the log thread publishes.
#[derive(Debug)]
pub(super) struct SharedView {
    clock: driver::DriverClock,
    lease_until_nanos: atomic::AtomicU64,
    status: sync::Mutex<sync::Arc<driver::LogStatus>>,
    subscribers: sync::Mutex<Subscribers>,
}

#[derive(Debug)]
struct Subscribers {
    last: driver::RoleEvent,
    senders: Vec<crossbeam_channel::Sender<driver::RoleEvent>>,
}

impl SharedView {
    pub(super) fn new(clock: driver::DriverClock, status: driver::LogStatus) -> Self {
        let last = driver::RoleEvent::Following {
            term: status.term,
            leader: None,
        };
        Self {
            clock,
            lease_until_nanos: atomic::AtomicU64::new(0),
            status: sync::Mutex::new(sync::Arc::new(status)),
            subscribers: sync::Mutex::new(Subscribers {
                last,
                senders: Vec::new(),
            }),
        }
    }

    pub(super) fn set_lease(&self, until: Option<core::MonotonicTime>) {
        let nanos = until.map_or(0, core::MonotonicTime::as_nanos);
        self.lease_until_nanos
            .store(nanos, atomic::Ordering::Release);
    }

    pub(super) fn lease_valid_for(&self) -> Option<time::Duration> {
        let nanos = self.lease_until_nanos.load(atomic::Ordering::Acquire);
        let until = core::MonotonicTime::from_nanos(nanos);
        let left = until.since(self.clock.now());
        (!left.is_zero()).then_some(left)
    }

    pub(super) fn set_status(&self, status: driver::LogStatus) {
        *lock(&self.status) = sync::Arc::new(status);
    }

    pub(super) fn status(&self) -> sync::Arc<driver::LogStatus> {
        sync::Arc::clone(&lock(&self.status))
    }

    pub(super) fn publish_role(&self, event: &driver::RoleEvent) {
        let mut subscribers = lock(&self.subscribers);
        if subscribers.last == *event {
            return;
        }
        ::log::info!("the role of this member has changed to {event:?}");
        subscribers.last = event.clone();
        subscribers
            .senders
            .retain(|sender| sender.send(event.clone()).is_ok());
    }

    pub(super) fn subscribe(&self) -> crossbeam_channel::Receiver<driver::RoleEvent> {
        let (sender, receiver) = crossbeam_channel::unbounded();
        let mut subscribers = lock(&self.subscribers);
        if sender.send(subscribers.last.clone()).is_ok() {
            subscribers.senders.push(sender);
        }
        receiver
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
