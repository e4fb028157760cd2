//! Request counts of one entry instance for one model.

/// Requests for one model at one entry instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DemandCounts {
    /// Requests that arrived since the last report.
    pub arrivals: u32,
    /// Requests that are waiting.
    pub waiting: u32,
    /// Requests that are running.
    pub running: u32,
}
