//! [`StopNotice`].

use std::sync;

use crate::driver;

/// Tells the end of the log's thread when it is dropped, also by a panic of the state machine.
pub(super) struct StopNotice {
    view: sync::Arc<driver::SharedView>,
}

impl StopNotice {
    pub(super) fn new(view: sync::Arc<driver::SharedView>) -> Self {
        Self { view }
    }
}

impl Drop for StopNotice {
    fn drop(&mut self) {
        self.view.set_lease(None);
        self.view.announce(&driver::RoleEvent::Stopped);
    }
}
