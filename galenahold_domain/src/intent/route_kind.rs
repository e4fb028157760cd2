//! The two kinds of routes that a service may have.

use serde::{Deserialize, Serialize};

use crate::name;

/// The kind of a service's route: to models or to plain backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum RouteKind {
    /// A route to models, which are called on the paths under `/v1`.
    Models {
        /// The offered models; their adapters are offered as well.
        models: Vec<name::ModelName>,
    },
    /// A route to plain backend servers, which are called on a path of their own.
    Plain {
        /// The prefix of the caller's path, such as `/orders`; it is kept in the forwarded path.
        path_prefix: String,
        /// The methods, besides GET and HEAD, whose calls may be retried.
        #[serde(default)]
        idempotent_methods: Vec<String>,
        /// The number of tokens that one call is charged.
        #[serde(default)]
        call_tokens: u64,
    },
}
