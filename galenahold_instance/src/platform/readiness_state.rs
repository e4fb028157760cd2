//! Whether this instance is ready for callers.

use std::sync;
use std::sync::atomic;

/// Whether this instance is ready for callers.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadinessState {
    stopping: sync::Arc<atomic::AtomicBool>,
}

/// Why an instance is not ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UnreadyReason {
    /// A planned stop is under way.
    Stopping,
    /// No quorum has confirmed the configuration lately.
    StaleConfiguration,
}

impl UnreadyReason {
    /// Returns the reason's name in answers and logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Stopping => "stopping",
            Self::StaleConfiguration => "stale_configuration",
        }
    }
}

impl ReadinessState {
    /// Says that a planned stop began.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, atomic::Ordering::SeqCst);
    }

    /// Returns whether a planned stop began.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::SeqCst)
    }

    /// Returns why the instance is not ready, given whether its configuration is fresh.
    pub(crate) fn check(&self, fresh: bool) -> Result<(), UnreadyReason> {
        if self.is_stopping() {
            return Err(UnreadyReason::Stopping);
        }
        if !fresh {
            return Err(UnreadyReason::StaleConfiguration);
        }
        Ok(())
    }
}
