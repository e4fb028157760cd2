//! The model version, adapter or service that a request is for.

use galenahold_domain::{name, placement};

/// What a request is for: a model version, possibly with an adapter, or a service without models.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReplicaTarget {
    /// A model version, possibly with an adapter.
    Artifact(placement::ReplicaArtifact),
    /// A service without models.
    Service(name::ServiceName),
}
