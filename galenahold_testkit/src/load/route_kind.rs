//! The way that requests took.

use serde::{Deserialize, Serialize};

/// The way that requests took.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Through an instance.
    Through,
    /// To a stand-in directly.
    Straight,
}
