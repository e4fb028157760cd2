//! The error returned when a report cannot be rendered.

use snafu::Snafu;

/// The error returned when a report cannot be rendered.
#[derive(Debug, Snafu)]
pub enum ReportError {
    /// A plot could not be drawn.
    #[snafu(display("cannot draw the plot \"{title}\": {reason}"))]
    Plot {
        /// The title of the plot.
        title: String,
        /// The error message of the plotting library.
        reason: String,
    },
}
