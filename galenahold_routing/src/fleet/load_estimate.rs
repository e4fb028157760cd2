//! Estimates of model load times.

use std::collections;
use std::time;

use galenahold_domain::declaration;
use galenahold_domain::name;

use crate::fleet;

/// Time beyond the load itself until a load is ordered and its end is known here.
const ORDER_TIME: time::Duration = time::Duration::from_millis(300);

/// Load time that is assumed for a model that the declaration does not list.
const DEFAULT_LOAD_TIME: time::Duration = time::Duration::from_secs(8);

/// Load times of models from memory, disk and the weight store, as the active declaration states them.
#[derive(Debug, Default)]
pub(super) struct LoadEstimate {
    models: collections::HashMap<(name::ServiceName, name::ModelName), LoadTimes>,
}

#[derive(Debug, Clone, Copy)]
struct LoadTimes {
    memory: time::Duration,
    disk: time::Duration,
    store: time::Duration,
}

impl LoadEstimate {
    pub(super) fn new(services: &[declaration::DeclaredService]) -> Self {
        let mut models = collections::HashMap::new();
        for service in services {
            let declared = service.engine.iter().flat_map(|engine| &engine.models);
            for model in declared {
                let times = LoadTimes {
                    memory: model.memory_load,
                    disk: model.disk_load,
                    store: model.store_load,
                };
                models.insert((service.name.clone(), model.name.clone()), times);
            }
        }
        Self { models }
    }

    /// Estimates the time until a model that no open server holds can be served.
    pub(super) fn until_loaded<'a>(
        &self,
        service: &name::ServiceName,
        model: &name::ModelName,
        servers: impl Iterator<Item = &'a fleet::SchedulerServer>,
        now: time::Instant,
    ) -> time::Duration {
        let Some(times) = self.models.get(&(service.clone(), model.clone())) else {
            return DEFAULT_LOAD_TIME;
        };
        let mut best = times.store + ORDER_TIME;
        for server in servers {
            let record = &server.record;
            let underway = record
                .loading
                .as_ref()
                .filter(|loading| loading.model == *model);
            if let (Some(loading), Some(since)) = (underway, server.loading_since) {
                let expected = time::Duration::from_millis(loading.expected_ms);
                return expected.saturating_sub(now.saturating_duration_since(since));
            }
            if record.copies.are_in_memory(model) {
                best = best.min(times.memory + ORDER_TIME);
            } else if record.copies.are_on_disk(model) {
                best = best.min(times.disk + ORDER_TIME);
            }
        }
        best
    }
}
