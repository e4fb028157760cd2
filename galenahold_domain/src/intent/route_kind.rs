//! What a service routes to.

use serde::{Deserialize, Serialize};

use crate::name;

/// What a service routes to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum RouteKind {
    /// Models behind the model-serving paths under `/v1`.
    Models {
        /// The models offered; their adapters are offered with them.
        models: Vec<name::ModelName>,
    },
    /// A plain service behind a path of its own.
    Plain {
        /// The first part of the caller's path, such as `/orders`; it is kept when the call is passed on.
        path_prefix: String,
        /// Methods, besides GET and HEAD, whose calls may be repeated.
        #[serde(default)]
        idempotent_methods: Vec<String>,
        /// Tokens that one call is charged.
        #[serde(default)]
        call_tokens: u64,
    },
}
