//! Why an engine's report cannot be had.

use http::StatusCode;
use snafu::Snafu;

use crate::backend;
use crate::gateway;

/// Why an engine's report cannot be had.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum ReportError {
    /// The engine was not reached, or did not answer whole and in time.
    #[snafu(display("the engine was not asked: {source}"))]
    Exchange {
        /// What failed.
        source: backend::AttemptError,
    },
    /// The engine answered with another status than success.
    #[snafu(display("the engine answered with status {status}"))]
    Status {
        /// The status.
        status: StatusCode,
    },
    /// The report cannot be read.
    #[snafu(display("the report cannot be read: {source}"))]
    Content {
        /// What was wrong with it.
        source: gateway::DialectError,
    },
}
