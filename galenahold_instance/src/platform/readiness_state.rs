//! Decides the readiness of an instance.

use std::sync;
use std::sync::atomic;

/// The readiness of this instance for callers.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadinessState {
    stopping: sync::Arc<atomic::AtomicBool>,
}

/// The reason why an instance is not ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UnreadyReason {
    /// A planned stop is in progress.
    Stopping,
    /// The last confirmation of the configuration by a quorum is too old.
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
    /// Records that a planned stop has begun.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, atomic::Ordering::SeqCst);
    }

    /// Returns whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::SeqCst)
    }

    /// Checks readiness, given whether the configuration is fresh; the error is the reason for not being ready.
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
