//! What a caller's field `model` stands for.

use crate::intent;

/// What a caller's field `model` stands for: a model, or an adapter beside its model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResolvedModel<'a> {
    /// The model, or the adapter's base model.
    pub model: &'a intent::ModelIntent,
    /// The adapter, for an adapter.
    pub adapter: Option<&'a intent::AdapterIntent>,
}
