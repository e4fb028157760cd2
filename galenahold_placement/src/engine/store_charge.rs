//! Charge of a load to the store budget.

/// The part of the store budget that a load uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StoreCharge {
    /// None: the checkpoint is cached near the server.
    None,
    /// A model load.
    Model,
    /// An adapter load.
    Adapter,
}
