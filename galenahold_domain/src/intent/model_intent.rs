//! The intent for one model, its replicas and its adapters.

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::intent;
use crate::name;

const DEFAULT_MAX_REPLICAS: u32 = 1;
const DEFAULT_MAX_REQUEST_TOKENS: u64 = 8_192;
const DEFAULT_REPLICA_CONCURRENCY: u32 = 16;

/// A model with its adapters and the limits on its replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelIntent {
    /// The model's name, unique among models and adapters.
    pub name: name::ModelName,
    /// The version of the model's checkpoint.
    pub version: name::VersionName,
    /// The accelerator memory that one replica takes.
    pub bytes: amount::ByteCount,
    /// The number of replicas that stay loaded without demand.
    #[serde(default)]
    pub min_replicas: u32,
    /// The maximum number of replicas that placement may decide on.
    #[serde(default = "default_max_replicas")]
    pub max_replicas: u32,
    /// The maximum number of tokens of one request, prompt and output together.
    #[serde(default = "default_max_request_tokens")]
    pub max_request_tokens: amount::TokenCount,
    /// The number of requests that one replica runs at once; further requests wait.
    #[serde(default = "default_replica_concurrency")]
    pub replica_concurrency: u32,
    /// The model's adapters.
    #[serde(default)]
    pub adapters: Vec<intent::AdapterIntent>,
}

fn default_max_replicas() -> u32 {
    DEFAULT_MAX_REPLICAS
}

fn default_max_request_tokens() -> amount::TokenCount {
    amount::TokenCount(DEFAULT_MAX_REQUEST_TOKENS)
}

fn default_replica_concurrency() -> u32 {
    DEFAULT_REPLICA_CONCURRENCY
}
