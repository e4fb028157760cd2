//! Model order in progress.

use std::time;

use crate::fleet;

/// Model order whose completion has not been observed.
#[derive(Debug)]
pub(super) struct OpenOrder {
    pub(super) number: u64,
    pub(super) action: fleet::OrderAction,
    /// Whether the load fetches weights from the store.
    pub(super) from_store: bool,
    /// When the order was decided.
    pub(super) started_at: time::Instant,
    /// Expected end of the order.
    pub(super) ends_at: time::Instant,
    /// When the order is treated as unanswered.
    pub(super) timeout_at: time::Instant,
}
