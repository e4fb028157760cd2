//! The order that loads or unloads a replica at a model engine.

use std::time;

use galenahold_domain::placement;

use crate::backend;

/// An order to a model engine, for one committed reservation.
#[derive(Debug, Clone)]
pub(crate) struct EngineOrder {
    /// The address of the engine.
    pub(crate) address: backend::BackendAddress,
    /// The reservation, whose fencing number is sent with the order.
    pub(crate) reservation: placement::MemoryReservation,
    /// The action of the order.
    pub(crate) action: OrderAction,
    /// The time after which the outcome counts as unknown.
    pub(crate) deadline: time::Instant,
}

/// The action that an order requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderAction {
    /// Load the artifact.
    Load,
    /// Unload the artifact.
    Unload,
}
