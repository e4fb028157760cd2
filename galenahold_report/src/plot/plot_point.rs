//! Points of plots.

/// A point of a plot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlotPoint {
    /// The value on the horizontal axis.
    pub x: f64,
    /// The value on the vertical axis.
    pub y: f64,
}
