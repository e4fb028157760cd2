//! Memory that many messages share.

use std::sync;
use std::sync::atomic;

use crate::buffer;

/// The number of bytes that all messages of one kind may hold together, beyond a small allowance
/// for each.
///
/// Without it, the limits of the single messages add up to more than the memory of the process.
#[derive(Debug, Clone)]
pub(crate) struct BufferBudget {
    free_bytes: sync::Arc<atomic::AtomicUsize>,
}

impl BufferBudget {
    /// Creates a budget of `total_bytes`.
    pub(crate) fn new(total_bytes: usize) -> Self {
        Self {
            free_bytes: sync::Arc::new(atomic::AtomicUsize::new(total_bytes)),
        }
    }

    /// Returns the share of a message that holds nothing yet.
    pub(crate) fn share(&self) -> buffer::BufferShare {
        buffer::BufferShare::new(self.clone())
    }

    /// Takes bytes from the budget; returns `false` if fewer are left.
    pub(super) fn take(&self, bytes: usize) -> bool {
        let order = atomic::Ordering::Relaxed;
        let taken = self
            .free_bytes
            .fetch_update(order, order, |free| free.checked_sub(bytes));
        taken.is_ok()
    }

    /// Gives bytes back.
    pub(super) fn give_back(&self, bytes: usize) {
        self.free_bytes.fetch_add(bytes, atomic::Ordering::Relaxed);
    }
}
