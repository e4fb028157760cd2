//! What a replica holds.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::name;

/// What a replica holds: a version of a model or an adapter beside it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaArtifact {
    /// The model, or the adapter's base model.
    pub model: name::ModelName,
    /// The model's version.
    pub version: name::VersionName,
    /// The adapter, for an adapter.
    pub adapter: Option<name::AdapterName>,
}

impl fmt::Display for ReplicaArtifact {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.model, self.version)?;
        match &self.adapter {
            Some(adapter) => write!(formatter, " {adapter}"),
            None => Ok(()),
        }
    }
}
