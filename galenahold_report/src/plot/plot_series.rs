//! A line of a plot.

use crate::plot;

/// A line of a plot, with its name in the legend.
#[derive(Debug, Clone, PartialEq)]
pub struct PlotSeries {
    /// The name.
    pub name: String,
    /// The points, in the order in which the line joins them.
    pub points: Vec<plot::PlotPoint>,
}
