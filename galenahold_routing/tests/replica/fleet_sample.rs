//! Announcements and candidates of a small fleet.

use galenahold_domain::{amount, name, placement, server};
use galenahold_routing::replica;

pub(crate) const MODEL: &str = "alama-llm";

pub(crate) fn announcement(
    server: &str,
    incarnation: u64,
    sequence: u64,
) -> server::ServerAnnouncement {
    server::ServerAnnouncement {
        name: name::ServerName::from(server),
        incarnation: amount::IncarnationNumber(incarnation),
        sequence,
        address: "127.0.0.1:9".parse().expect("the address is valid"),
        data_centre: name::DataCentreName::from("pwani-a"),
        kind: server::ServerKind::Engine,
        checks_fencing: true,
        memory_bytes: amount::ByteCount(100),
        loaded: vec![server::LoadedReplica {
            model: name::ModelName::from(MODEL),
            version: name::VersionName::from("1"),
            adapter: None,
            bytes: amount::ByteCount(10),
            order: 1,
            state: server::ReplicaState::Ready,
        }],
        cached: Vec::new(),
        load: server::ServerLoad::default(),
        leaving: false,
        service: None,
    }
}

pub(crate) fn target() -> replica::ReplicaTarget {
    replica::ReplicaTarget::Artifact(placement::ReplicaArtifact {
        model: name::ModelName::from(MODEL),
        version: name::VersionName::from("1"),
        adapter: None,
    })
}

pub(crate) fn candidates(
    table: &replica::ReplicaTable,
    now: std::time::Instant,
) -> Vec<replica::ReplicaCandidate> {
    let mut candidates = Vec::new();
    table.candidates(&target(), now, &mut candidates);
    candidates
}
