//! Set of draining replicas and departing backend servers.

use std::collections;

use galenahold_domain::fleet;
use galenahold_domain::name;
use galenahold_domain::placement;
use galenahold_routing::replica;
use galenahold_wire::message;

/// The replicas that receive no new requests because the control group is about to unload them, and the
/// starts of backend servers that receive none because they leave.
#[derive(Debug, Default)]
pub(crate) struct DrainSet {
    replicas: collections::HashSet<message::DrainingReplica>,
    departures: collections::HashMap<name::ServerName, fleet::ServerDeparture>,
}

impl DrainSet {
    /// Creates the set from a drain list.
    pub(crate) fn new(list: &message::DrainList) -> Self {
        Self {
            replicas: list.replicas.iter().cloned().collect(),
            departures: list
                .departures
                .iter()
                .map(|departure| (departure.name.clone(), departure.clone()))
                .collect(),
        }
    }

    /// Returns whether the replica of `target` at a backend server is draining, or the server leaves.
    pub(crate) fn contains(
        &self,
        server: &replica::ServerEntry,
        target: &replica::ReplicaTarget,
    ) -> bool {
        let departure = self.departures.get(server.name());
        if departure.is_some_and(|departure| departure.covers(server.incarnation().0)) {
            return true;
        }
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

    /// Returns whether the base model of an adapter is draining, since the adapter is unloaded with
    /// it.
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
