//! The model version or adapter that a load order names.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::name;

/// The content of a replica: a version of a model, or an adapter of it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaArtifact {
    /// The model, or the adapter's base model.
    pub model: name::ModelName,
    /// The model's version.
    pub version: name::VersionName,
    /// The adapter, if the replica is one.
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
