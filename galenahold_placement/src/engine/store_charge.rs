//! What a load counts against in the weight store's budget.

/// What a load counts against in the weight store's budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StoreCharge {
    /// Nothing: the checkpoint is near.
    None,
    /// A load of a model.
    Model,
    /// A load of an adapter.
    Adapter,
}
