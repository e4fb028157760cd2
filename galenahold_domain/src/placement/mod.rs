//! What is loaded where, as decided: reservations of accelerator memory.

mod memory_reservation;
mod replica_artifact;
mod reservation_id;
mod reservation_state;

pub use memory_reservation::MemoryReservation;
pub use replica_artifact::ReplicaArtifact;
pub use reservation_id::ReservationId;
pub use reservation_state::ReservationState;
