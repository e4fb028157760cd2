//! How a model is asked for.

/// How a model is asked for at one instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ModelUsage {
    /// Calls that came since the tally was last taken.
    pub arrivals: u32,
    /// Calls that wait now.
    pub waiting: u32,
    /// Calls that run now.
    pub running: u32,
}

impl ModelUsage {
    /// Returns whether there is nothing to report.
    #[must_use]
    pub fn is_idle(self) -> bool {
        self == Self::default()
    }
}
