//! The result of a run and its file.

use std::fs;
use std::path;

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::{AddedLatency, RouteKind, RouteResult, SecondCount};
use crate::testkit_error::{FileSnafu, JsonSnafu, TestkitError};

/// What became of all requests of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadResult {
    /// The run's name.
    pub label: String,
    /// Microseconds from the start to the last answer.
    pub duration_us: u64,
    /// Requests a second.
    pub requests_per_second: u64,
    /// Output tokens a second.
    pub tokens_per_second: u64,
    /// By how much sending fell behind the trace at worst.
    pub worst_send_lag_us: u64,
    /// Results of all requests by second.
    pub seconds: Vec<SecondCount>,
    /// Results by route and team.
    pub routes: Vec<RouteResult>,
}

impl LoadResult {
    /// Returns the result of a team on a route; the empty team stands for all.
    #[must_use]
    pub fn route(&self, route: RouteKind, team: &str) -> Option<&RouteResult> {
        self.routes
            .iter()
            .find(|result| result.route == Some(route) && result.team == team)
    }

    /// Returns what the way through instances adds to first tokens; `None` without both routes.
    #[must_use]
    pub fn added_latency(&self) -> Option<AddedLatency> {
        let through = self.route(RouteKind::Through, "")?.first_token;
        let straight = self.route(RouteKind::Straight, "")?.first_token;
        Some(AddedLatency::between(&through, &straight))
    }

    /// Reads a result file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or has another form.
    pub fn read(path: &path::Path) -> Result<Self, TestkitError> {
        let text = fs::read_to_string(path).context(FileSnafu { path })?;
        serde_json::from_str(&text).context(JsonSnafu {
            what: path.display().to_string(),
        })
    }

    /// Writes a result file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write(&self, path: &path::Path) -> Result<(), TestkitError> {
        let text = format!("{:#}\n", serde_json::json!(self));
        fs::write(path, text).context(FileSnafu { path })
    }
}
