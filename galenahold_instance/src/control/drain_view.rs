//! Derives the drain list from the reservations.

use galenahold_domain::control;
use galenahold_domain::placement;
use galenahold_wire::message;
use sha2::{Digest, Sha256};

/// Returns the replicas that accept no new requests, with a version derived from the content.
pub(crate) fn drain_list(state: &control::ControlState) -> message::DrainList {
    let replicas: Vec<message::DrainingReplica> = state
        .reservations()
        .iter()
        .filter(|reservation| takes_no_requests(reservation.state))
        .map(|reservation| message::DrainingReplica {
            server: reservation.server.clone(),
            incarnation: reservation.incarnation,
            artifact: reservation.artifact.clone(),
        })
        .collect();
    message::DrainList {
        version: content_version(&replicas),
        replicas,
    }
}

fn takes_no_requests(state: placement::ReservationState) -> bool {
    matches!(
        state,
        placement::ReservationState::Draining | placement::ReservationState::Unloading
    )
}

/// Hashes the list. An empty list has version zero, as has an instance that never received a list.
fn content_version(replicas: &[message::DrainingReplica]) -> u64 {
    if replicas.is_empty() {
        return 0;
    }
    let mut hasher = Sha256::new();
    for replica in replicas {
        let adapter = replica.artifact.adapter.as_deref().unwrap_or_default();
        let parts = [
            &*replica.server,
            &*replica.artifact.model,
            &*replica.artifact.version,
            adapter,
        ];
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(replica.incarnation.0.to_be_bytes());
    }
    let digest = hasher.finalize();
    u64::from_be_bytes(std::array::from_fn(|index| digest[index]))
}
