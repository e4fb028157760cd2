//! A parsed declaration and its validation.

use std::collections;

use crate::declaration;

/// The whole configuration of a fleet, as an operator declares it.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetDeclaration {
    /// The number assigned by the operator; the declaration with the highest number is in force.
    pub number: u64,
    /// The routes.
    pub routes: Vec<declaration::DeclaredRoute>,
    /// The services.
    pub services: Vec<declaration::DeclaredService>,
    /// The teams; if there are none, no call needs a key.
    pub teams: Vec<declaration::DeclaredTeam>,
    /// The limits on callers' requests and connections.
    pub limits: declaration::CallerLimits,
}

impl FleetDeclaration {
    /// Checks the routes, the services and the teams, and the references between them.
    ///
    /// # Errors
    ///
    /// Returns the first error found, with the names of the parts concerned.
    pub fn check(&self) -> Result<(), declaration::DeclarationError> {
        let first = self.errors().into_iter().next();
        first.map_or(Ok(()), |(_, error)| Err(error))
    }

    /// Returns all errors for which the declaration is refused, with their places.
    #[must_use]
    pub fn errors(&self) -> Vec<(declaration::DeclarationPlace, declaration::DeclarationError)> {
        let mut errors = PlacedErrors::new();
        self.check_services(&mut errors);
        self.check_routes(&mut errors);
        self.check_teams(&mut errors);
        errors
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&declaration::DeclaredService> {
        self.services
            .iter()
            .find(|service| service.name.as_str() == name)
    }

    fn check_services(&self, errors: &mut PlacedErrors) {
        let mut seen = collections::HashSet::new();
        for (index, service) in self.services.iter().enumerate() {
            if !seen.insert(&service.name) {
                let place = declaration::DeclarationPlace::field(
                    declaration::DeclaredPart::Service(index),
                    declaration::DeclaredField::Name,
                );
                let service = service.name.clone();
                errors.push((
                    place,
                    declaration::DeclarationError::DuplicateService { service },
                ));
            }
        }
    }

    fn check_routes(&self, errors: &mut PlacedErrors) {
        let services: collections::HashSet<_> =
            self.services.iter().map(|service| &service.name).collect();
        let mut routes_by_key = collections::HashMap::new();
        for (index, route) in self.routes.iter().enumerate() {
            check_route(index, route, &services, errors);
            let route_key = (&route.host, &route.path_prefix);
            if let Some(first) = routes_by_key.insert(route_key, &route.name) {
                let error = declaration::DeclarationError::DuplicateRoute {
                    first: first.clone(),
                    second: route.name.clone(),
                    host: route.host.to_string(),
                    path_prefix: route.path_prefix.to_string(),
                };
                errors.push((
                    declaration::DeclarationPlace::field(
                        declaration::DeclaredPart::Route(index),
                        declaration::DeclaredField::PathPrefix,
                    ),
                    error,
                ));
            }
        }
    }

    fn check_teams(&self, errors: &mut PlacedErrors) {
        let mut teams_by_secret = collections::HashMap::new();
        for (index, team) in self.teams.iter().enumerate() {
            for secret in &team.secrets {
                if let Some(first) = teams_by_secret.insert(secret, &team.name) {
                    let place = declaration::DeclarationPlace::field(
                        declaration::DeclaredPart::Team(index),
                        declaration::DeclaredField::Keys,
                    );
                    let error = declaration::DeclarationError::DuplicateKey {
                        first: first.clone(),
                        second: team.name.clone(),
                    };
                    errors.push((place, error));
                }
            }
        }
    }
}

type PlacedErrors = Vec<(declaration::DeclarationPlace, declaration::DeclarationError)>;

/// Checks one route by itself, and that its services are declared.
fn check_route(
    index: usize,
    route: &declaration::DeclaredRoute,
    services: &collections::HashSet<&crate::name::ServiceName>,
    errors: &mut PlacedErrors,
) {
    let part = declaration::DeclaredPart::Route(index);
    let name = &route.name;
    let unknown = route
        .shares
        .iter()
        .find(|share| !services.contains(&share.service));
    if let Some(share) = unknown {
        let error = declaration::DeclarationError::UnknownService {
            route: name.clone(),
            service: share.service.clone(),
        };
        errors.push((declaration::DeclarationPlace::part(part), error));
    }
    if route.shares.iter().all(|share| share.weight == 0) {
        let route = name.clone();
        let place = declaration::DeclarationPlace::field(part, declaration::DeclaredField::Shares);
        errors.push((place, declaration::DeclarationError::ZeroWeight { route }));
    }
    if route.timeout.is_zero() {
        let route = name.clone();
        let place = declaration::DeclarationPlace::field(part, declaration::DeclaredField::Timeout);
        errors.push((place, declaration::DeclarationError::ZeroTimeout { route }));
    }
    if !(route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/')) {
        let error = declaration::DeclarationError::MalformedPrefix {
            route: name.clone(),
            path_prefix: route.path_prefix.to_string(),
        };
        let field = declaration::DeclaredField::PathPrefix;
        errors.push((declaration::DeclarationPlace::field(part, field), error));
    }
}
