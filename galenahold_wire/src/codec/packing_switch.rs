//! Whether a connection's messages are packed.

use std::sync;
use std::sync::atomic;

/// Says whether a connection's messages are packed; off until the other side has said that it unpacks them.
#[derive(Debug, Clone, Default)]
pub struct PackingSwitch {
    on: sync::Arc<atomic::AtomicBool>,
}

impl PackingSwitch {
    /// Lets all further messages be packed.
    pub fn allow(&self) {
        self.on.store(true, atomic::Ordering::Release);
    }

    /// Returns whether messages are packed.
    #[must_use]
    pub(crate) fn is_on(&self) -> bool {
        self.on.load(atomic::Ordering::Acquire)
    }
}
