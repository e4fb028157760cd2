//! Says whether a request may have run on a backend server.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Says whether a request may have run on a backend server.
///
/// Each error on the request path carries one. It travels in the header `x-verdict` and in the body
/// of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestVerdict {
    /// No byte reached a backend server that might act on it, or that server refused.
    NotRun,
    /// The request was sent and its outcome is unknown.
    MayHaveRun,
    /// The request ran.
    Ran,
}

impl RequestVerdict {
    /// Returns the verdict's text, as the header `x-verdict` carries it.
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
