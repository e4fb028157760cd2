//! What a request needs.

use galenahold_domain::{name, placement};

/// What a request needs: a version of a model, an adapter beside it, or a plain service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReplicaTarget {
    /// A model or an adapter of it.
    Artifact(placement::ReplicaArtifact),
    /// A plain service.
    Service(name::ServiceName),
}
