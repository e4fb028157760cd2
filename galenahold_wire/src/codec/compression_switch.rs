//! Negotiated compression of a connection.

use std::sync;
use std::sync::atomic;

/// Controls whether outgoing messages of a connection are compressed; off until the peer reports that it supports
/// compression.
#[derive(Debug, Clone, Default)]
pub struct CompressionSwitch {
    on: sync::Arc<atomic::AtomicBool>,
}

impl CompressionSwitch {
    /// Enables compression for all further messages.
    pub fn enable(&self) {
        self.on.store(true, atomic::Ordering::Release);
    }

    /// Returns whether compression is enabled.
    #[must_use]
    pub(crate) fn is_on(&self) -> bool {
        self.on.load(atomic::Ordering::Acquire)
    }
}
