//! A level that a plot shows for comparison.

/// A level that a plot shows for comparison, as a thin horizontal line.
#[derive(Debug, Clone, PartialEq)]
pub struct ReferenceLine {
    pub(super) name: String,
    pub(super) level: f64,
}

impl ReferenceLine {
    /// Describes a level; it is drawn where it lies inside the plot.
    #[must_use]
    pub fn new(name: impl Into<String>, level: f64) -> Self {
        Self {
            name: name.into(),
            level,
        }
    }
}
