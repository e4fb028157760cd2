//! Line plots in SVG.

mod plot_point;
mod plot_series;
mod reference_line;
mod result_plot;

pub use plot_point::PlotPoint;
pub use plot_series::PlotSeries;
pub use reference_line::ReferenceLine;
pub use result_plot::ResultPlot;
