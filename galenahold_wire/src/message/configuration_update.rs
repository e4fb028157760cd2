//! Configuration updates for followers.

use galenahold_domain::control;
use serde::{Deserialize, Serialize};

/// The part of a watch reply that brings the follower's configuration up to date.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationUpdate {
    /// The follower's configuration is current.
    Nothing,
    /// The changes since the follower's revision, in order.
    Changes(Vec<control::ConfigurationChange>),
    /// The whole configuration, because the changes since the follower's revision are no longer retained.
    Snapshot(control::ConfigurationView),
}
