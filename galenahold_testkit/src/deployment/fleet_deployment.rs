//! A whole deployment.

use std::fs;
use std::path;

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::{DeployedEngines, DeployedModel, DeployedService, DeployedTeam};
use crate::store;
use crate::testkit_error::{FileSnafu, JsonSnafu, TestkitError};

/// Tokens of the largest request that a model admits.
const REQUEST_TOKENS_LIMIT: u64 = 4_096;

/// The size of a user's deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetDeployment {
    /// Its name.
    pub name: String,
    /// The region of its data centres.
    pub region: String,
    /// Its data centres.
    pub data_centres: Vec<String>,
    /// Microseconds one way between data centres.
    pub between_data_centres_us: u64,
    /// Microseconds one way from clients.
    pub from_clients_us: u64,
    /// The entry instances.
    pub instances: usize,
    /// The instances among them that have a disk.
    pub control_instances: usize,
    /// Its model engines.
    pub engines: DeployedEngines,
    /// Its plain services.
    pub services: Vec<DeployedService>,
    /// Its weight store.
    pub store: store::StoreSettings,
    /// Its models.
    pub models: Vec<DeployedModel>,
    /// Its teams.
    pub teams: Vec<DeployedTeam>,
}

impl FleetDeployment {
    /// Reads a deployment file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or has another form.
    pub fn read(path: &path::Path) -> Result<Self, TestkitError> {
        let text = fs::read_to_string(path).context(FileSnafu { path })?;
        serde_json::from_str(&text).context(JsonSnafu {
            what: path.display().to_string(),
        })
    }

    /// Returns the data centre of the server at `index`.
    #[must_use]
    pub fn data_centre(&self, index: usize) -> &str {
        self.data_centres
            .get(index % self.data_centres.len().max(1))
            .map_or("local", String::as_str)
    }

    /// Counts the adapters of all models.
    #[must_use]
    pub fn adapter_count(&self) -> usize {
        self.models.iter().map(|model| model.adapters.len()).sum()
    }

    /// Returns the intent that an operator would state for this deployment.
    #[must_use]
    pub fn intent(&self) -> serde_json::Value {
        let names: Vec<_> = self.teams.iter().map(|team| &team.name).collect();
        let concurrency = self.engines.max_batch;
        let models = self.models.iter();
        let models: Vec<_> = models
            .map(|model| model_intent(model, concurrency))
            .collect();
        let model_names: Vec<_> = self.models.iter().map(|model| &model.name).collect();
        let mut services = vec![serde_json::json!({
            "name": self.engines.service,
            "kind": "models",
            "models": model_names,
            "teams": names,
        })];
        services.extend(self.services.iter().map(|service| {
            serde_json::json!({
                "name": service.name,
                "kind": "plain",
                "path_prefix": format!("/{}", service.name),
                "idempotent_methods": ["GET", "HEAD"],
                "call_tokens": service.call_tokens,
                "teams": names,
            })
        }));
        serde_json::json!({
            "teams": self.teams.iter().map(team_intent).collect::<Vec<_>>(),
            "models": models,
            "services": services,
            "store": {
                "loads_per_second": self.store.whole_starts_per_second(),
                "loads_in_flight": self.store.full_speed_loads,
                "adapters_in_flight": self.store.full_speed_adapters,
            },
        })
    }
}

fn team_intent(team: &DeployedTeam) -> serde_json::Value {
    serde_json::json!({
        "name": team.name,
        "rate_tokens_per_s": team.tokens_per_second,
        "burst_tokens": team.burst_tokens,
    })
}

/// States a model whose replicas run as many requests at once as an engine batches.
fn model_intent(model: &DeployedModel, concurrency: usize) -> serde_json::Value {
    serde_json::json!({
        "name": model.name,
        "version": model.version,
        "bytes": model.bytes,
        "replica_concurrency": concurrency,
        "max_replicas": model.max_replicas,
        "max_request_tokens": REQUEST_TOKENS_LIMIT,
        "adapters": model.adapters,
    })
}
