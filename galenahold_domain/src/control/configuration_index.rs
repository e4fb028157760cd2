//! Lookups of teams, keys, models and services by name, path or key.

use std::collections;
use std::sync;

use crate::amount;
use crate::control;
use crate::intent;
use crate::key;
use crate::name;

/// An immutable index of the configuration in force that is cheap to share.
///
/// An index that is built after a change of keys shares the lookup tables of the intent with the
/// index before it, so that such a change costs little.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationIndex {
    view: sync::Arc<control::ConfigurationView>,
    positions: sync::Arc<IntentPositions>,
}

/// The positions of teams, models, adapters and services in the lists of an intent.
#[derive(Debug, Default)]
struct IntentPositions {
    teams: collections::HashMap<name::TeamName, TeamPosition>,
    models: collections::HashMap<name::ModelName, ModelPosition>,
    adapters: collections::HashMap<name::AdapterName, AdapterPosition>,
    services: collections::HashMap<name::ServiceName, ServicePosition>,
    prefixes: collections::HashMap<String, ServicePosition>,
    offers: collections::HashMap<name::ModelName, Vec<ServicePosition>>,
}

#[derive(Debug, Clone, Copy)]
struct TeamPosition(usize);

#[derive(Debug, Clone, Copy)]
struct ModelPosition(usize);

#[derive(Debug, Clone, Copy)]
struct AdapterPosition {
    model: ModelPosition,
    adapter: usize,
}

#[derive(Debug, Clone, Copy)]
struct ServicePosition(usize);

impl ConfigurationIndex {
    /// Builds the index of a view.
    #[must_use]
    pub fn new(view: sync::Arc<control::ConfigurationView>) -> Self {
        let positions = sync::Arc::new(IntentPositions::of(&view.intent));
        Self { view, positions }
    }

    /// Builds the index of a later view, and shares the lookup tables if the intent did not change.
    #[must_use]
    pub fn with_view(&self, view: sync::Arc<control::ConfigurationView>) -> Self {
        if !sync::Arc::ptr_eq(&self.view.intent, &view.intent) {
            return Self::new(view);
        }
        Self {
            view,
            positions: sync::Arc::clone(&self.positions),
        }
    }

    /// Returns the view that is indexed.
    #[must_use]
    pub fn view(&self) -> &sync::Arc<control::ConfigurationView> {
        &self.view
    }

    /// Returns the revision of the view.
    #[must_use]
    pub fn revision(&self) -> amount::RevisionNumber {
        self.view.revision
    }

    /// Returns the team with this name.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&intent::TeamIntent> {
        let position = self.positions.teams.get(name)?;
        self.view.intent.teams.get(position.0)
    }

    /// Returns the key with this public part.
    #[must_use]
    pub fn key(&self, id: &str) -> Option<&key::KeyRecord> {
        self.view.keys.get(id)
    }

    /// Returns the team that the caller's key belongs to, if the key is in force and its secret
    /// matches.
    #[must_use]
    pub fn admitted_team(&self, key: &key::CallerKey) -> Option<&intent::TeamIntent> {
        let record = self.key(key.id())?;
        if !record.admits(key) {
            return None;
        }
        self.team(&record.team)
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&intent::ServiceIntent> {
        let position = self.positions.services.get(name)?;
        self.view.intent.services.get(position.0)
    }

    /// Returns the plain service whose path prefix matches the most segments of the path.
    ///
    /// The path has neither query nor fragment. The prefix `/orders` matches `/orders` and
    /// `/orders/7`, but not `/orders7`.
    #[must_use]
    pub fn service_for_path(&self, path: &str) -> Option<&intent::ServiceIntent> {
        let mut rest = path;
        loop {
            if let Some(position) = self.positions.prefixes.get(rest) {
                return self.view.intent.services.get(position.0);
            }
            rest = &rest[..rest.rfind('/')?];
        }
    }

    /// Returns the model or adapter with the name that a caller sent.
    #[must_use]
    pub fn resolve_model(&self, name: &str) -> Option<control::ResolvedModel<'_>> {
        if let Some(position) = self.positions.models.get(name) {
            let model = self.view.intent.models.get(position.0)?;
            return Some(control::ResolvedModel {
                model,
                adapter: None,
            });
        }
        let position = self.positions.adapters.get(name)?;
        let model = self.view.intent.models.get(position.model.0)?;
        let adapter = Some(model.adapters.get(position.adapter)?);
        Some(control::ResolvedModel { model, adapter })
    }

    /// Returns the services that offer the model or adapter with this name.
    pub fn services_offering(&self, name: &str) -> impl Iterator<Item = &intent::ServiceIntent> {
        self.resolve_model(name)
            .and_then(|resolved| self.positions.offers.get(&resolved.model.name))
            .into_iter()
            .flatten()
            .filter_map(|position| self.view.intent.services.get(position.0))
    }

    /// Returns the service through which the team may call the model or adapter.
    ///
    /// `None` as the team stands for a caller without a key. Of several services, the one with the
    /// lowest priority number is returned.
    #[must_use]
    pub fn service_for_model(
        &self,
        name: &str,
        team: Option<&name::TeamName>,
    ) -> Option<&intent::ServiceIntent> {
        self.services_offering(name)
            .filter(|service| service.admits(team))
            .min_by_key(|service| service.priority)
    }

    /// Returns whether the team may call the service.
    ///
    /// `None` as the team stands for a caller without a key.
    #[must_use]
    pub fn may_call(&self, service: &str, team: Option<&name::TeamName>) -> bool {
        self.service(service)
            .is_some_and(|service| service.admits(team))
    }
}

impl IntentPositions {
    fn of(intent: &intent::FleetIntent) -> Self {
        let mut positions = Self::default();
        for (position, team) in intent.teams.iter().enumerate() {
            positions
                .teams
                .insert(team.name.clone(), TeamPosition(position));
        }
        for (position, model) in intent.models.iter().enumerate() {
            positions.add_model(ModelPosition(position), model);
        }
        for (position, service) in intent.services.iter().enumerate() {
            positions.add_service(ServicePosition(position), service);
        }
        positions
    }

    fn add_model(&mut self, position: ModelPosition, model: &intent::ModelIntent) {
        self.models.insert(model.name.clone(), position);
        for (adapter, intent) in model.adapters.iter().enumerate() {
            let adapter = AdapterPosition {
                model: position,
                adapter,
            };
            self.adapters.insert(intent.name.clone(), adapter);
        }
    }

    fn add_service(&mut self, position: ServicePosition, service: &intent::ServiceIntent) {
        self.services.insert(service.name.clone(), position);
        match &service.route {
            intent::RouteKind::Models { models } => {
                for model in models {
                    self.offers.entry(model.clone()).or_default().push(position);
                }
            }
            intent::RouteKind::Plain { path_prefix, .. } => {
                self.prefixes.insert(path_prefix.clone(), position);
            }
        }
    }
}
