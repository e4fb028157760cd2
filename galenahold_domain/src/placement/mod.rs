//! Reservations of accelerator memory for the replicas that backend servers load.

mod memory_reservation;
mod replica_artifact;
mod replica_request;
mod reservation_id;
mod reservation_refusal;
mod reservation_state;
mod reservation_table;

pub use memory_reservation::MemoryReservation;
pub use replica_artifact::ReplicaArtifact;
pub use replica_request::ReplicaRequest;
pub use reservation_id::ReservationId;
pub use reservation_refusal::ReservationRefusal;
pub use reservation_state::ReservationState;
pub use reservation_table::ReservationTable;
