//! An intent, requests for replicas, and a reservation table with consecutive log indexes.

use galenahold_domain::amount;
use galenahold_domain::intent;
use galenahold_domain::name;
use galenahold_domain::placement;

/// The memory of each server.
pub(crate) const CAPACITY: amount::ByteCount = amount::ByteCount(100);

/// Returns an intent with two models of 40 bytes, at most two replicas of the first, which has
/// adapters of 15 bytes.
pub(crate) fn intent() -> intent::FleetIntent {
    intent::FleetIntent::from_json(
        r#"{"models": [
            {"name": "m", "version": "1", "bytes": 40, "max_replicas": 2,
             "adapters": [{"name": "x", "bytes": 15}, {"name": "y", "bytes": 15}]},
            {"name": "n", "version": "1", "bytes": 40, "max_replicas": 9}
        ]}"#,
    )
    .expect("the document is a valid intent")
}

pub(crate) fn artifact(model: &str, adapter: Option<&str>) -> placement::ReplicaArtifact {
    placement::ReplicaArtifact {
        model: name::ModelName::from(model),
        version: name::VersionName::from("1"),
        adapter: adapter.map(name::AdapterName::from),
    }
}

pub(crate) fn request(server: &str, model: &str) -> placement::ReplicaRequest {
    placement::ReplicaRequest {
        server: name::ServerName::from(server),
        incarnation: amount::IncarnationNumber(1),
        artifact: artifact(model, None),
        bytes: amount::ByteCount(40),
        sender: name::InstanceName::from("control-1"),
        sender_incarnation: amount::IncarnationNumber(1),
    }
}

pub(crate) fn adapter_request(server: &str, adapter: &str) -> placement::ReplicaRequest {
    placement::ReplicaRequest {
        artifact: artifact("m", Some(adapter)),
        bytes: amount::ByteCount(15),
        ..request(server, "m")
    }
}

/// A reservation table with the intent in force and the index of the latest log entry.
pub(crate) struct LoggedTable {
    pub(crate) table: placement::ReservationTable,
    pub(crate) intent: intent::FleetIntent,
    index: u64,
}

type TableResult = Result<placement::MemoryReservation, placement::ReservationRefusal>;

impl LoggedTable {
    pub(crate) fn new() -> Self {
        Self {
            table: placement::ReservationTable::default(),
            intent: intent(),
            index: 0,
        }
    }

    fn fence(&mut self) -> amount::FencingNumber {
        self.index += 1;
        amount::FencingNumber {
            term: 3,
            index: self.index,
        }
    }

    pub(crate) fn reserve(&mut self, request: &placement::ReplicaRequest) -> TableResult {
        let fence = self.fence();
        self.table.reserve(fence, request, CAPACITY, &self.intent)
    }

    pub(crate) fn adopt(&mut self, request: &placement::ReplicaRequest) -> TableResult {
        let fence = self.fence();
        self.table.adopt(fence, request)
    }

    pub(crate) fn advance(
        &mut self,
        id: placement::ReservationId,
        state: placement::ReservationState,
    ) -> TableResult {
        let fence = self.fence();
        let sender = name::InstanceName::from("control-2");
        let incarnation = amount::IncarnationNumber(7);
        self.table.advance(fence, id, state, &sender, incarnation)
    }

    /// Reserves memory for a replica and marks the replica as loaded.
    pub(crate) fn load(&mut self, request: &placement::ReplicaRequest) -> placement::ReservationId {
        let id = self
            .reserve(request)
            .expect("the reservation is accepted")
            .id;
        self.advance(id, placement::ReservationState::Loaded)
            .expect("the replica is loaded");
        id
    }
}
