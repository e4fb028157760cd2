//! How requests ask for a model.

/// How an entry instance's requests ask for a model.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DemandCounts {
    /// Requests that came since the last report.
    pub arrivals: u32,
    /// Requests that wait now.
    pub waiting: u32,
    /// Requests that run now.
    pub running: u32,
}
