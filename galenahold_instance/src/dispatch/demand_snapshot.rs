//! Demand for models and adapters, as reported to the control group.

use std::collections;

use galenahold_domain::name;
use galenahold_domain::placement;
use galenahold_placement::demand;
use galenahold_routing::replica;

/// The demand for models and adapters at one moment; an artifact without an entry has no demand.
#[derive(Debug, Default)]
pub(crate) struct DemandSnapshot {
    /// Waiting requests and new arrivals, by artifact.
    pub(crate) demands: collections::HashMap<placement::ReplicaArtifact, demand::ArtifactDemand>,
    /// Requests in progress, by replica.
    pub(crate) work: collections::HashMap<WorkKey, u32>,
}

/// Identifies a replica by its backend server and artifact.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct WorkKey {
    /// The backend server.
    pub(crate) server: name::ServerName,
    /// The model or adapter of the replica.
    pub(crate) artifact: placement::ReplicaArtifact,
}

impl WorkKey {
    /// Returns the key of the replica of `target` at a backend server; `None` for a plain service.
    pub(crate) fn of(server: &name::ServerName, target: &replica::ReplicaTarget) -> Option<Self> {
        match target {
            replica::ReplicaTarget::Artifact(artifact) => Some(Self {
                server: server.clone(),
                artifact: artifact.clone(),
            }),
            replica::ReplicaTarget::Service(_) => None,
        }
    }

    /// Returns the report entry for the replica's requests in progress.
    pub(crate) fn work(&self, in_flight: u32) -> demand::ReplicaWork {
        demand::ReplicaWork {
            server: self.server.clone(),
            artifact: self.artifact.clone(),
            in_flight,
        }
    }
}
