//! Errors of the reports.

mod report_error;

pub use report_error::ReportError;
