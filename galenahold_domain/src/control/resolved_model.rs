//! The result of looking up the model name of a caller's request.

use crate::intent;

/// The model, or the adapter and its base model, that the `model` field of a request names.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResolvedModel<'a> {
    /// The model, or the adapter's base model.
    pub model: &'a intent::ModelIntent,
    /// The adapter, if the field names one.
    pub adapter: Option<&'a intent::AdapterIntent>,
}
