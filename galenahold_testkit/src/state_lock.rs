//! A mutex that outlives a panic of a holder.

use std::sync;

/// Guards state that stays readable after a test thread panicked.
#[derive(Debug, Default)]
pub(crate) struct StateLock<T>(sync::Mutex<T>);

impl<T> StateLock<T> {
    /// Wraps `state`.
    pub(crate) fn new(state: T) -> Self {
        Self(sync::Mutex::new(state))
    }

    /// Locks the state, also when an earlier holder panicked.
    pub(crate) fn lock(&self) -> sync::MutexGuard<'_, T> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
