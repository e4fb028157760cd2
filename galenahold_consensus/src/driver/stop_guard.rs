//! [`StopGuard`].

use std::sync;

use crate::driver;

/// Tells the end of the log's thread when it is dropped, also by a panic of the state machine.
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
