//! The demand at one moment.

use std::collections;

use galenahold_domain::name;
use galenahold_domain::placement;
use galenahold_placement::demand;
use galenahold_routing::replica;

/// The demand for models and adapters at one moment; what is not named has none.
#[derive(Debug, Default)]
pub(crate) struct DemandSnapshot {
    /// Waiting and new requests.
    pub(crate) demands: collections::HashMap<placement::ReplicaArtifact, demand::ArtifactDemand>,
    /// Requests under way.
    pub(crate) work: collections::HashMap<WorkKey, u32>,
}

/// Names a replica by its backend server and what it holds.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct WorkKey {
    /// The backend server.
    pub(crate) server: name::ServerName,
    /// What it holds.
    pub(crate) artifact: placement::ReplicaArtifact,
}

impl WorkKey {
    /// Returns the key of a target at a backend server; `None` for a plain service.
    pub(crate) fn of(server: &name::ServerName, target: &replica::ReplicaTarget) -> Option<Self> {
        match target {
            replica::ReplicaTarget::Artifact(artifact) => Some(Self {
                server: server.clone(),
                artifact: artifact.clone(),
            }),
            replica::ReplicaTarget::Service(_) => None,
        }
    }

    /// Returns the work to report for the replica.
    pub(crate) fn work(&self, in_flight: u32) -> demand::ReplicaWork {
        demand::ReplicaWork {
            server: self.server.clone(),
            artifact: self.artifact.clone(),
            in_flight,
        }
    }
}
