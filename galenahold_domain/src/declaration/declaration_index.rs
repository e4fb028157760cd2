//! Lookup tables over the routes, teams and services of a declaration.

use std::collections;
use std::sync;

use crate::declaration;
use crate::name;

/// An immutable index of a declaration: finds routes, teams by their keys, and services.
#[derive(Debug)]
pub struct DeclarationIndex {
    declaration: declaration::FleetDeclaration,
    routes: collections::HashMap<sync::Arc<str>, HostRoutes>,
    teams: collections::HashMap<declaration::CallerSecret, usize>,
    services: collections::HashMap<name::ServiceName, usize>,
}

/// The positions of one host's routes, by their path prefix.
type HostRoutes = collections::HashMap<sync::Arc<str>, usize>;

impl DeclarationIndex {
    /// Builds the index of a declaration that passed [`declaration::FleetDeclaration::check`].
    #[must_use]
    pub fn new(declaration: declaration::FleetDeclaration) -> Self {
        let mut routes: collections::HashMap<sync::Arc<str>, HostRoutes> =
            collections::HashMap::new();
        for (index, route) in declaration.routes.iter().enumerate() {
            routes
                .entry(sync::Arc::clone(&route.host))
                .or_default()
                .insert(sync::Arc::clone(&route.path_prefix), index);
        }
        let teams = declaration.teams.iter().enumerate();
        let teams = teams
            .flat_map(|(index, team)| team.secrets.iter().map(move |key| (key.clone(), index)))
            .collect();
        let services = declaration.services.iter().enumerate();
        let services = services
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        Self {
            declaration,
            routes,
            teams,
            services,
        }
    }

    /// Returns the indexed declaration.
    #[must_use]
    pub fn declaration(&self) -> &declaration::FleetDeclaration {
        &self.declaration
    }

    /// Returns the host's route with the longest path prefix that matches the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&declaration::DeclaredRoute> {
        let routes = self.routes.get(host)?;
        let mut prefix = path;
        loop {
            let end = prefix.rfind('/')?;
            if let Some(index) = routes.get(&prefix[..=end]) {
                return self.declaration.routes.get(*index);
            }
            prefix = &prefix[..end];
        }
    }

    /// Returns the team that the key belongs to.
    #[must_use]
    pub fn team(&self, secret: &str) -> Option<&declaration::DeclaredTeam> {
        let index = self.teams.get(secret)?;
        self.declaration.teams.get(*index)
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&declaration::DeclaredService> {
        let index = self.services.get(name)?;
        self.declaration.services.get(*index)
    }

    /// Returns whether calls need a key, which they do if any team is declared.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        !self.declaration.teams.is_empty()
    }
}
