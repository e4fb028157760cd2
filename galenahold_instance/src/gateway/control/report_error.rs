//! Errors of fetching an engine's report.

use http::StatusCode;
use snafu::Snafu;

use crate::backend;
use crate::gateway;

/// An error of fetching an engine's report.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum ReportError {
    /// The engine could not be reached, or did not answer completely in time.
    #[snafu(display("the exchange with the engine failed: {source}"))]
    Exchange {
        /// The error of the exchange.
        source: backend::AttemptError,
    },
    /// The engine answered with a status other than success.
    #[snafu(display("the engine answered with status {status}"))]
    Status {
        /// The status of the answer.
        status: StatusCode,
    },
    /// The content of the report is invalid.
    #[snafu(display("the report is invalid: {source}"))]
    Content {
        /// Describes the invalid field.
        source: gateway::DialectError,
    },
}
