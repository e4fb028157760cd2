//! Replicas that take no new requests.

use std::collections;

use galenahold_domain::placement;
use galenahold_routing::replica;
use galenahold_wire::message;

/// Replicas that take no new requests, since the control group is about to unload them.
#[derive(Debug, Default)]
pub(crate) struct DrainSet {
    replicas: collections::HashSet<message::DrainingReplica>,
}

impl DrainSet {
    /// Creates the set of a list.
    pub(crate) fn new(list: &message::DrainList) -> Self {
        Self {
            replicas: list.replicas.iter().cloned().collect(),
        }
    }

    /// Returns whether a backend server's replica of `target` takes no new requests.
    pub(crate) fn contains(
        &self,
        server: &replica::ServerEntry,
        target: &replica::ReplicaTarget,
    ) -> bool {
        let replica::ReplicaTarget::Artifact(artifact) = target else {
            return false;
        };
        if self.replicas.is_empty() {
            return false;
        }
        self.contains_artifact(server, artifact) || self.contains_base_model(server, artifact)
    }

    fn contains_artifact(
        &self,
        server: &replica::ServerEntry,
        artifact: &placement::ReplicaArtifact,
    ) -> bool {
        self.replicas.contains(&message::DrainingReplica {
            server: server.name().clone(),
            incarnation: server.incarnation(),
            artifact: artifact.clone(),
        })
    }

    /// An adapter goes with its base model.
    fn contains_base_model(
        &self,
        server: &replica::ServerEntry,
        artifact: &placement::ReplicaArtifact,
    ) -> bool {
        let base = placement::ReplicaArtifact {
            adapter: None,
            ..artifact.clone()
        };
        artifact.adapter.is_some() && self.contains_artifact(server, &base)
    }
}
