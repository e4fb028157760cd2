//! An order whose end has not been seen.

use std::time;

use crate::fleet;

/// An order about a model whose end has not been seen.
#[derive(Debug)]
pub(super) struct OpenOrder {
    pub(super) number: u64,
    pub(super) action: fleet::OrderAction,
    /// Whether it fetches weights from the store.
    pub(super) from_store: bool,
    /// When it was decided on.
    pub(super) started_at: time::Instant,
    /// Loads from the store that were under way then, with this one.
    pub(super) concurrent_loads: usize,
    /// When it is expected to end.
    pub(super) ends_at: time::Instant,
    /// When its end should have been seen.
    pub(super) timeout_at: time::Instant,
}
