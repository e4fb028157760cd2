//! Counts of the calls for a model.

/// The calls for a model at one instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ModelUsage {
    /// Calls that arrived since the usage was last taken.
    pub arrivals: u32,
    /// Calls that wait at present.
    pub waiting: u32,
    /// Calls that run at present.
    pub running: u32,
}

impl ModelUsage {
    /// Returns whether there is nothing to report.
    #[must_use]
    pub fn is_idle(self) -> bool {
        self == Self::default()
    }
}
