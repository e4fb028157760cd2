//! Notification of the end of the log thread.

use std::sync;

use crate::driver;

/// A guard that clears the lease and publishes [`driver::RoleEvent::Stopped`] on drop.
///
/// It covers every end of the log thread, including a panic of the state machine.
pub(super) struct StopGuard {
    view: sync::Arc<driver::SharedView>,
}

impl StopGuard {
    pub(super) fn new(view: sync::Arc<driver::SharedView>) -> Self {
        Self { view }
    }
}

impl Drop for StopGuard {
    fn drop(&mut self) {
        self.view.set_lease(None);
        self.view.publish_role(&driver::RoleEvent::Stopped);
    }
}
