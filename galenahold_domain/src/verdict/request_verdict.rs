//! Tells callers whether a failed request may safely be repeated.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request may have run on a backend server.
///
/// Each error on the request path has a verdict, which is sent in the header `x-verdict` and in the
/// body of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestVerdict {
    /// No byte reached a backend server that might act on it, or that server refused the request.
    NotRun,
    /// The request was sent and its outcome is unknown.
    MayHaveRun,
    /// The request ran.
    Ran,
}

impl RequestVerdict {
    /// Returns the value of the header `x-verdict`.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for RequestVerdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
