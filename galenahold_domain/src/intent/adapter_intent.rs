//! The intent for one adapter of a model.

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::name;

/// An adapter of a model. Callers select it by its name in the field `model` of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterIntent {
    /// The adapter's name, unique among models and adapters.
    pub name: name::AdapterName,
    /// The accelerator memory that the adapter takes.
    pub bytes: amount::ByteCount,
}
