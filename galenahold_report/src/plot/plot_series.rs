//! Data series of plots.

use crate::plot;

/// A data series, drawn as a line and listed in the legend.
#[derive(Debug, Clone, PartialEq)]
pub struct PlotSeries {
    /// The name in the legend.
    pub name: String,
    /// The points, in the order in which the line connects them.
    pub points: Vec<plot::PlotPoint>,
}
