//! A point of a plot.

/// A point of a plot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlotPoint {
    /// The place along the horizontal axis.
    pub x: f64,
    /// The place along the vertical axis.
    pub y: f64,
}
