//! Measures requests against service-level objectives and reports the burn rates of their error budgets.
//!
//! Each instance has an [`ObjectiveRecorder`]. The [`BurnSnapshot`]s of all instances are merged into a
//! [`BurnReport`], which is rendered as a text table, as JSON or as one HTML page. The crate reads no clock:
//! callers pass the current time.

mod count;
mod error;
mod plot;
mod report;
mod snapshot;

pub use count::BurnWindow;
pub use count::ObjectiveCounts;
pub use count::ObjectiveRecorder;
pub use count::RequestMeasurement;
pub use count::RequestOutcome;
pub use count::TokenGapCounts;
pub use error::ReportError;
pub use plot::PlotPoint;
pub use plot::PlotSeries;
pub use plot::ReferenceLine;
pub use plot::ResultPlot;
pub use report::BurnReport;
pub use report::BurnRow;
pub use report::BurnStatus;
pub use report::HistoryBurn;
pub use report::ObjectiveBurn;
pub use report::ObjectiveKind;
pub use report::WindowBurn;
pub use snapshot::BurnEntry;
pub use snapshot::BurnSnapshot;
pub use snapshot::HistoryBucket;
pub use snapshot::ObjectiveTargets;
pub use snapshot::WindowCounts;
