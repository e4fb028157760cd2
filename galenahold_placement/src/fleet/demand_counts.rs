//! Request counts of one entry instance for one model.

use crate::fleet;

/// Requests for one model at one entry instance.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DemandCounts {
    /// Requests that arrived since the last report.
    pub arrivals: u32,
    /// Requests that are waiting.
    pub waiting: u32,
    /// Requests that are running.
    pub running: u32,
    /// The waiting requests whose remaining times are known, the earliest due first.
    pub waiting_calls: Vec<fleet::WaitingCall>,
}
