//! Counts requests against the services' objectives and reports how fast error budgets burn.
//!
//! Each instance keeps an [`ObjectiveRecorder`]; its [`BurnSnapshot`]s merge over all instances into a
//! [`BurnReport`] for people, as JSON or as one HTML page. Time is an argument everywhere.

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
