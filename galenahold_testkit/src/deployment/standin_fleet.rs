//! All stand-ins of a deployment in one process.

use std::net;
use std::sync;

use snafu::OptionExt;

use super::{DeployedModel, FleetDeployment};
use crate::announce;
use crate::control;
use crate::engine;
use crate::service;
use crate::store;
use crate::testkit_error::{NotRunningSnafu, TestkitError};

/// Runs the engines, plain services and weight store of a deployment until it is dropped.
#[derive(Debug)]
pub struct StandInFleet {
    engines: Vec<engine::EngineProcess>,
    services: Vec<service::ServiceProcess>,
    store: sync::Arc<store::WeightStore>,
}

impl StandInFleet {
    /// Starts all stand-ins; they announce themselves to `instances`.
    ///
    /// With `preload` models are ready at the start, up to their replica limits, as far as memory goes.
    ///
    /// # Errors
    ///
    /// Fails when an address or a runtime cannot be had.
    pub fn start(
        deployment: &FleetDeployment,
        instances: &[net::SocketAddr],
        preload: bool,
    ) -> Result<Self, TestkitError> {
        let store = sync::Arc::new(store::WeightStore::new(deployment.store.clone()));
        let mut settings: Vec<_> = (0..deployment.engines.count)
            .map(|index| engine_settings(deployment, index, instances))
            .collect();
        if preload {
            preload_models(deployment, &mut settings);
        }
        let engines = settings
            .into_iter()
            .map(|settings| {
                let target = store::StoreTarget::Shared(sync::Arc::clone(&store));
                let builder = engine::EngineBuilder::from_settings(settings);
                builder.store(target).start()
            })
            .collect::<Result<_, _>>()?;
        let services = deployment
            .services
            .iter()
            .flat_map(|deployed| (0..deployed.count).map(move |index| (deployed, index)))
            .map(|(deployed, index)| {
                let settings = service::ServiceSettings {
                    announce: announce_settings(deployment, &deployed.name, index, instances),
                    service: deployed.name.clone(),
                    call_us: deployed.call_us,
                    ..service::ServiceSettings::default()
                };
                service::ServiceBuilder::from_settings(settings).start()
            })
            .collect::<Result<_, _>>()?;
        Ok(Self {
            engines,
            services,
            store,
        })
    }

    /// Returns the engines.
    #[must_use]
    pub fn engines(&self) -> &[engine::EngineProcess] {
        &self.engines
    }

    /// Returns the plain services.
    #[must_use]
    pub fn services(&self) -> &[service::ServiceProcess] {
        &self.services
    }

    /// Ends the server with this name at once.
    ///
    /// # Errors
    ///
    /// Fails when there is no such server.
    pub fn crash(&self, name: &str) -> Result<(), TestkitError> {
        if let Some(engine) = self.engines.iter().find(|engine| engine.name() == name) {
            engine.crash();
            return Ok(());
        }
        let service = self.services.iter().find(|service| service.name() == name);
        service.context(NotRunningSnafu { name })?.crash();
        Ok(())
    }

    /// Starts the server with this name anew.
    ///
    /// # Errors
    ///
    /// Fails when there is no such server, or when its addresses were taken meanwhile.
    pub fn restart(&mut self, name: &str) -> Result<(), TestkitError> {
        let mut engines = self.engines.iter_mut();
        if let Some(engine) = engines.find(|engine| engine.name() == name) {
            return engine.restart();
        }
        let mut services = self.services.iter_mut();
        let service = services.find(|service| service.name() == name);
        service.context(NotRunningSnafu { name })?.restart()
    }

    /// Makes the server with this name misbehave; switches that it does not have are ignored.
    ///
    /// # Errors
    ///
    /// Fails when there is no such server.
    pub fn control(
        &self,
        name: &str,
        control: &control::ServerControl,
    ) -> Result<(), TestkitError> {
        if let Some(engine) = self.engines.iter().find(|engine| engine.name() == name) {
            engine.control(control);
            return Ok(());
        }
        let service = self.services.iter().find(|service| service.name() == name);
        service.context(NotRunningSnafu { name })?.control(control);
        Ok(())
    }

    /// Returns the weight store.
    #[must_use]
    pub fn store(&self) -> &store::WeightStore {
        &self.store
    }
}

fn announce_settings(
    deployment: &FleetDeployment,
    service: &str,
    index: usize,
    instances: &[net::SocketAddr],
) -> announce::AnnounceSettings {
    // Each server begins with another instance.
    let first = index % instances.len().max(1);
    let (head, tail) = instances.split_at(first);
    announce::AnnounceSettings {
        name: format!("{service}-{}", index + 1),
        data_centre: deployment.data_centre(index).to_owned(),
        instances: [tail, head].concat(),
        ..announce::AnnounceSettings::default()
    }
}

fn engine_settings(
    deployment: &FleetDeployment,
    index: usize,
    instances: &[net::SocketAddr],
) -> engine::EngineSettings {
    let engines = &deployment.engines;
    engine::EngineSettings {
        announce: announce_settings(deployment, &engines.service, index, instances),
        checks_fencing: index < engines.checking_fencing,
        memory_bytes: engines.memory_bytes,
        max_batch: engines.max_batch,
        timings: engines.timings.clone(),
        ..engine::EngineSettings::default()
    }
}

/// Gives each model one replica, then further ones up to its limit, as far as memory goes.
fn preload_models(deployment: &FleetDeployment, settings: &mut [engine::EngineSettings]) {
    let most = deployment
        .models
        .iter()
        .map(|model| model.max_replicas)
        .max();
    for replica in 0..most.unwrap_or_default() {
        let wanted = deployment.models.iter();
        for model in wanted.filter(|model| replica < model.max_replicas) {
            preload_model(model, settings);
        }
    }
}

/// Gives a model to the engine with the most free memory that does not have it.
fn preload_model(model: &DeployedModel, settings: &mut [engine::EngineSettings]) {
    let roomiest = settings
        .iter_mut()
        .filter(|settings| settings.models.iter().all(|held| held.model != model.name))
        .filter(|settings| free_bytes(settings) >= model.bytes)
        .max_by_key(|settings| free_bytes(settings));
    if let Some(settings) = roomiest {
        settings.models.push(engine::InitialModel {
            model: model.name.clone(),
            version: model.version.clone(),
            bytes: model.bytes,
        });
    }
}

fn free_bytes(settings: &engine::EngineSettings) -> u64 {
    let held: u64 = settings.models.iter().map(|model| model.bytes).sum();
    settings.memory_bytes.saturating_sub(held)
}
