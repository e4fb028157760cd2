//! An order to a model engine.

use std::time;

use galenahold_domain::placement;

use crate::backend;

/// An order to a model engine, for one committed reservation.
#[derive(Debug, Clone)]
pub(crate) struct EngineOrder {
    /// The engine.
    pub(crate) address: backend::BackendAddress,
    /// The reservation; its fencing number goes with the order.
    pub(crate) reservation: placement::MemoryReservation,
    /// What to do.
    pub(crate) action: OrderAction,
    /// When the outcome counts as unknown.
    pub(crate) deadline: time::Instant,
}

/// What an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderAction {
    /// Load the artifact.
    Load,
    /// Unload the artifact.
    Unload,
}
