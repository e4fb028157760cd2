//! Why a report could not be made.

use snafu::Snafu;

/// Why a report could not be made.
#[derive(Debug, Snafu)]
pub enum ReportError {
    /// A plot could not be drawn.
    #[snafu(display("cannot draw the plot \"{title}\": {reason}"))]
    Plot {
        /// The plot's title.
        title: String,
        /// What the plotting library answered.
        reason: String,
    },
}
