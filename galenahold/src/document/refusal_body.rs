//! The kind, message and verdict of an error.

use galenahold_domain::verdict;
use serde::Deserialize;

use crate::document;

/// The kind, message and verdict of an error.
#[derive(Debug, Deserialize)]
pub(crate) struct RefusalBody {
    /// The kind, such as `no_leader`.
    #[serde(alias = "type")]
    pub(crate) kind: String,
    /// What was wrong.
    #[serde(default)]
    pub(crate) message: String,
    /// Whether the request may have run.
    #[serde(default)]
    pub(crate) verdict: Option<verdict::RequestVerdict>,
    /// What belongs to the kind: the conflict, or the reasons.
    #[serde(default)]
    pub(crate) details: Option<document::RefusalDetails>,
}
