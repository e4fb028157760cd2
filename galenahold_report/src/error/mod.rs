//! Errors of rendering reports.

mod report_error;

pub use report_error::ReportError;
