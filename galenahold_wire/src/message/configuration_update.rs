//! What is new of the configuration.

use galenahold_domain::control;
use serde::{Deserialize, Serialize};

/// What is new of the configuration to one who waits for it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationUpdate {
    /// Nothing.
    Nothing,
    /// The changes since the known revision, in order.
    Changes(Vec<control::ConfigurationChange>),
    /// The whole configuration, since the changes are no longer at hand.
    Snapshot(control::ConfigurationView),
}
