//! Derives the drain list from the reservations and the departures.

use galenahold_domain::control;
use galenahold_domain::placement;
use galenahold_wire::message;
use sha2::{Digest, Sha256};

/// Returns the drain list if its version, which is derived from the content, is not `known`.
pub(crate) fn drain_list(
    state: &control::ControlState,
    known: u64,
) -> Option<Box<message::DrainList>> {
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
    let version = content_version(&replicas, state.departures().version());
    (version != known).then(|| {
        Box::new(message::DrainList {
            version,
            replicas,
            departures: state.departures().departures().cloned().collect(),
        })
    })
}

fn takes_no_requests(state: placement::ReservationState) -> bool {
    matches!(
        state,
        placement::ReservationState::Draining | placement::ReservationState::Unloading
    )
}

/// Hashes the list. An empty list has version zero, as has an instance that never received a list.
fn content_version(replicas: &[message::DrainingReplica], departure_version: u64) -> u64 {
    if replicas.is_empty() && departure_version == 0 {
        return 0;
    }
    let mut hasher = Sha256::new();
    hasher.update(departure_version.to_be_bytes());
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
