//! Reference lines of plots.

/// A thin horizontal line that marks a value for comparison.
#[derive(Debug, Clone, PartialEq)]
pub struct ReferenceLine {
    pub(super) name: String,
    pub(super) level: f64,
}

impl ReferenceLine {
    /// Creates a reference line at `level`; it is drawn only if the level lies within the plot.
    #[must_use]
    pub fn new(name: impl Into<String>, level: f64) -> Self {
        Self {
            name: name.into(),
            level,
        }
    }
}
