//! A model of a deployment.

use super::DeployedAdapter;
use serde::{Deserialize, Serialize};

/// A model with its adapters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DeployedModel {
    /// Its name.
    pub name: String,
    /// Its version.
    pub version: String,
    /// Memory it takes.
    pub bytes: u64,
    /// Its share of requests, relative to the other models.
    pub popularity: f64,
    /// The most replicas wanted.
    pub max_replicas: u32,
    /// Its adapters; they share the model's requests with it.
    #[serde(default)]
    pub adapters: Vec<DeployedAdapter>,
}
